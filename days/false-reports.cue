name: "false-reports"
about: "a quarter of the servers are slower than they say"
troubles: [
  {at: 1s, kind: "false_reports", for: 5s, part: 0.25, size: 0.1, extra: 1},
]
