name: "fast-errors"
about: "a quarter of the servers answer errors at once"
troubles: [
  {at: 2s, kind: "fast_errors", for: 4s, part: 0.25, size: 0.9},
]
