name: "hang"
about: "a fifth of the servers take requests and answer none"
troubles: [
  {at: 2s, kind: "hang", for: 3s, part: 0.2},
]
