name: "shift"
about: "half of the traffic moves to one room for good"
troubles: [
  {at: 2s, kind: "shift", size: 0.5, locality: "south"},
]
