name: "alert-list-stale"
about: "the list answers nobody for longer than the alert allows, and nobody drains meanwhile"
length: 25s
metrics: {receiver: true, rules: ["alerts/beamshunt.yml"], expect: ["BeamshuntListStale"]}
traffic: rate: 60/s
troubles: [
  {at: 500ms, kind: "discovery_down", for: 24s},
]
