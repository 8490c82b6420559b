name: "assigners"
about: "10,000 proxies and 1,000 servers shared by more and more assigners, each with a channel of its own"
stage: ["fleet.cue"]
seeds: 3
sweep: [{
  name: "assigners"
  unit: "assigners"
  values: [2, 4, 8, 16, 32]
  set: [
    "assigners: [{instance: 0, locality: \"east\", count: {assigners/2}}, {instance: 100, locality: \"west\", count: {assigners/2}}]",
    "servers: [{locality: \"east\", count: 500}, {locality: \"west\", count: 500}]",
    "proxies: [{locality: \"east\", count: 5000}, {locality: \"west\", count: 5000}]",
    "traffic: rate: 20000/s",
    "site: proxies: 10000",
    "site: channel: {lines_per_s: 100000/s, most_waiting_lines: 200000}",
  ]
}]
plots: [
  {name: "turn", title: "The longest turn of an assigner", x: "assigners", y: "longest_turn", log_x: true, log_y: true},
  {name: "deciding", title: "Real time of deciding, all assigners", x: "assigners", y: "deciding", log_x: true},
  {name: "service", title: "Service", x: "assigners", y: "service", log_x: true},
  {name: "cold", title: "How near rule 4 (cold servers) came to its limit", x: "assigners", y: "margin_cold", log_x: true},
]
