name: "discovery-down"
about: "the list answers nobody while servers die"
troubles: [
  {at: 1s, kind: "discovery_down", for: 4s},
  {at: 2s, kind: "crash", for: 2s, part: 0.3},
]
