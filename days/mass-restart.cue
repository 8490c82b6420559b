name: "mass-restart"
about: "the servers of one room go down at once and return cold"
troubles: [
  {at: 2s, kind: "mass_restart", for: 1500ms, part: 1, locality: "middle"},
]
