name: "troubled"
about: "a third of the servers slow, some crash and come back cold, a deploy"
length: 12s
troubles: [
  {at: 2s, kind: "slow", for: 3s, part: 0.3, size: 4},
  {at: 4s, kind: "crash", for: 500ms, part: 0.3},
  {at: 6s, kind: "deploy", for: 4s, part: 0.6, size: 0.2, extra: 1},
  {at: 9s, kind: "fast_errors", for: 2s, part: 0.2, size: 1},
]
