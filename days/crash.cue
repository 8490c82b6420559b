name: "crash"
about: "a third of the servers die and come back cold"
troubles: [
  {at: 2s, kind: "crash", for: 2s, part: 0.3},
]
