name: "flapping"
about: "a fifth of the servers go up and down"
troubles: [
  {at: 1s, kind: "flapping", for: 6s, part: 0.2, size: 2, extra: 0.4},
]
