name: "endpoints"
about: "what grows with the servers: 4,000 proxies, two assigners, half a core of load a server"
stage: ["fleet.cue"]
seeds: 3
sweep: [{
  name: "servers"
  unit: "servers"
  values: [100, 300, 1000, 3000, 10000]
  set: [
    "servers: [{locality: \"east\", count: {servers/2}}, {locality: \"west\", count: {servers/2}}]",
    "proxies: [{locality: \"east\", count: 2000}, {locality: \"west\", count: 2000}]",
    "traffic: rate: {servers*4}/s",
    "site: proxies: 4000",
    "site: channel: {lines_per_s: 80000/s, most_waiting_lines: 160000}",
  ]
}]
plots: [
  {name: "deciding", title: "Real time of deciding, all assigners", x: "servers", y: "deciding", log_x: true, log_y: true},
  {name: "turn", title: "The longest turn of an assigner", x: "servers", y: "longest_turn", log_x: true, log_y: true},
  {name: "age", title: "Age of orders as they come, p99", x: "servers", y: "order_age_99", log_x: true},
  {name: "service", title: "Service", x: "servers", y: "service", log_x: true},
]
