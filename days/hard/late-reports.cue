// Every report of every proxy comes a minute late, while servers are slow and others crash.
name: "late-reports"
about: "every report is a minute late; a third of the servers slow at 20 s, some crash at 40 s"
length: 90s
troubles: [
  {at: 0s, kind: "reports_late", for: 90s, size: 60},
  {at: 20s, kind: "slow", for: 10s, part: 0.3, size: 4},
  {at: 40s, kind: "crash", for: 1s, part: 0.2},
]
expect: service: 0.93
