name: "proxies"
about: "what grows with the proxies: 1,000 servers, two assigners, channel and intake in step with the proxies"
stage: ["fleet.cue"]
seeds: 3
sweep: [{
  name: "proxies"
  unit: "proxies"
  values: [1000, 3000, 10000, 30000]
  set: [
    "proxies: [{locality: \"east\", count: {proxies/2}}, {locality: \"west\", count: {proxies/2}}]",
    "servers: [{locality: \"east\", count: 500}, {locality: \"west\", count: 500}]",
    "traffic: rate: {proxies*1}/s",
    "site: proxies: {proxies}",
    "site: channel: {lines_per_s: {proxies*10}/s, most_waiting_lines: {proxies*20}}",
    "site: reports: lines_per_s: {proxies*10}/s",
  ]
}]
plots: [
  {name: "deciding", title: "Real time of deciding, all assigners", x: "proxies", y: "deciding", log_x: true, log_y: true},
  {name: "turn", title: "The longest turn of an assigner", x: "proxies", y: "longest_turn", log_x: true, log_y: true},
  {name: "age", title: "Age of orders as they come, p99", x: "proxies", y: "order_age_99", log_x: true},
  {name: "service", title: "Service", x: "proxies", y: "service", log_x: true},
]
