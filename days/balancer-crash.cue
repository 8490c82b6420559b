name: "balancer-crash"
about: "the assigner is killed and comes back with its last list; then half the proxies die"
troubles: [
  {at: 1s, kind: "balancer_crash", for: 2s},
  {at: 4500ms, kind: "balancer_crash", for: 1500ms, part: 0.5, how: "proxies"},
]
