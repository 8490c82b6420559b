name: "shared-slow"
about: "something that all servers depend on makes each twice as slow"
troubles: [
  {at: 2s, kind: "shared_slow", for: 3s, size: 2},
]
