name: "quiet"
about: "nothing happens"
