name: "zone-cut"
about: "one room is cut off from the others"
troubles: [
  {at: 2s, kind: "zone_cut", for: 3s, locality: "middle"},
]
