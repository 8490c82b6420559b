name: "zone-loss"
about: "one room loses its servers and its proxies"
troubles: [
  {at: 2s, kind: "zone_loss", for: 2500ms, locality: "south", how: "all"},
]
