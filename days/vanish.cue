name: "vanish"
about: "a fifth of the machines go silent and come back cold"
troubles: [
  {at: 2s, kind: "vanish", for: 3s, part: 0.2},
]
