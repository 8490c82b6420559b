name: "grow"
about: "the fleet doubles with cold servers, and half of the growth comes as traffic"
troubles: [
  {at: 1s, kind: "grow", for: 3s, size: 2, extra: 0.5},
]
