name: "alert-service-burn"
about: "six in ten answers of all servers are errors: a good part of the worth asked for is not served"
length: 22s
metrics: {receiver: true, rules: ["alerts/beamshunt.yml"], expect: ["BeamshuntServiceBurnFast"]}
troubles: [
  {at: 1s, kind: "fast_errors", for: 20s, part: 1, size: 0.6},
]
