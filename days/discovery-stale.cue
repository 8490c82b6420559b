name: "discovery-stale"
about: "the list is two seconds late while servers die and come back"
troubles: [
  {at: 500ms, kind: "discovery_stale", for: 6s, size: 2},
  {at: 1500ms, kind: "crash", for: 2500ms, part: 0.3},
]
