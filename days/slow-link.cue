name: "slow-link"
about: "the ways to one room are slow and lossy"
troubles: [
  {at: 1s, kind: "slow_link", for: 5s, size: 60, extra: 0.1, locality: "south"},
]
