// Forty minutes, for the emulator: a small loss of service that lasts, which only the slow burn alert may say.
name: "alert-service-burn-slow"
about: "a twentieth of the worth asked for is lost, for forty minutes"
length: 2400s
metrics: {receiver: true, interval: 5s, rules: ["alerts/beamshunt.yml"], expect: ["BeamshuntServiceBurnSlow"]}
traffic: {rate: 30/s, retries: 0}
troubles: [
  {at: 30s, kind: "fast_errors", for: 2400s, part: 1, size: 0.06},
]
