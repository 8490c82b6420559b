name: "bad-day"
about: "a deploy with flapping servers and a burst; a room is cut off, and the assigner in it is killed"
length: 16s
troubles: [
  {at: 1s, kind: "deploy", for: 9s, part: 0.7, size: 0.12, extra: 1},
  {at: 2s, kind: "flapping", for: 8s, part: 0.25, size: 2, extra: 0.4, locality: "south"},
  {at: 4s, kind: "zone_cut", for: 4s, locality: "north"},
  {at: 5s, kind: "balancer_crash", for: 2s},
  {at: 9s, kind: "burst", for: 3s, size: 1.8},
]
