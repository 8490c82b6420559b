name: "reports"
about: "an intake from twice what 2,000 proxies report to each assigner down to a tenth of it"
stage: ["fleet.cue"]
seeds: 3
sweep: [{
  name: "intake"
  unit: "lines/s"
  values: [40000, 20000, 10000, 4000, 2000]
  set: [
    "proxies: [{locality: \"east\", count: 2000}, {locality: \"west\", count: 2000}]",
    "site: proxies: 4000",
    "traffic: rate: 24000/s",
    "servers: [{locality: \"east\", count: 500}, {locality: \"west\", count: 500}]",
    "site: channel: {lines_per_s: 80000/s, most_waiting_lines: 160000}",
    "site: reports: lines_per_s: {intake}/s",
  ]
}]
plots: [
  {name: "wait", title: "The longest wait of a report line", x: "intake", y: "report_wait", log_x: true},
  {name: "service", title: "Service", x: "intake", y: "service", log_x: true},
]
