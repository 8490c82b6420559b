// Nine servers become ninety within ten seconds, all new and cold, and traffic follows.
name: "tenfold"
about: "a fleet that grows tenfold in ten seconds, with its traffic"
length: 25s
troubles: [{at: 3s, kind: "grow", for: 10s, size: 10, extra: 1}]
expect: service: 0.97
