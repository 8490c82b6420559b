name: "deploy"
about: "every server is drained for 2.5 s, stopped and started cold, a ninth at a time"
length: 12s
troubles: [
  {at: 500ms, kind: "deploy", for: 8s, part: 1, size: 0.12, extra: 2.5},
]
