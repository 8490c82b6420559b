name: "ageing"
about: "a third of the servers grow slower and slower, then die once"
troubles: [
  {at: 1s, kind: "ageing", for: 4s, part: 0.3, size: 8, extra: 1},
]
