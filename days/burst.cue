name: "burst"
about: "traffic rises to 2.2 times the usual"
troubles: [
  {at: 2s, kind: "burst", for: 3s, size: 2.2},
]
