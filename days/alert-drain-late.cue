name: "alert-drain-late"
about: "the way to one room's proxies is slow, and they confirm late that they left a draining server"
length: 12s
heartbeat: 1s
metrics: {receiver: true, interval: 50ms, rules: ["alerts/beamshunt.yml"], expect: ["BeamshuntDrainLate"]}
troubles: [
  {at: 2s, kind: "slow_link", for: 9s, size: 880, extra: 0, locality: "south"},
  {at: 4s, kind: "deploy", for: 4s, part: 0.3, size: 0.12, extra: 2.5, locality: "south"},
]
