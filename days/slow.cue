name: "slow"
about: "a quarter of the servers are five times slower"
troubles: [
  {at: 2s, kind: "slow", for: 4s, part: 0.25, size: 5},
]
