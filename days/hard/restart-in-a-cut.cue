// A locality is cut off; meanwhile all assigners are killed and come back.
name: "restart-in-a-cut"
about: "all assigners restart while a locality is cut"
length: 15s
assigners: [{count: 3}]
troubles: [
  {at: 3s, kind: "zone_cut", for: 6s, locality: "south"},
  {at: 5s, kind: "balancer_crash", for: 1500ms},
]
expect: service: 0.93
