// The stage that the days here share: three rooms, one assigner in the first, nine servers, six proxies. Times
// are short, so that a day is: a cold server is warm after 3 s, a drain has 1 s, a lack of servers 2 s.
seed: 7
length: *8s | duration
assigners: [{instance: 0, locality: "north"}]
servers: [
  {locality: "north", count: 3},
  {locality: "middle", count: 3},
  {locality: "south", count: 3},
]
proxies: [
  {locality: "north", count: 2},
  {locality: "middle", count: 2},
  {locality: "south", count: 2},
]
traffic: {
  rate: *150/s | rate
  classes: [
    {name: "balance", share: 53, work: 40ms},
    {name: "top-up", share: 27, work: 60ms},
    {name: "redeem", share: 20, work: 60ms},
  ]
}
site: {
  localities: [{name: "north", prefixes: []}, {name: "middle", prefixes: []}, {name: "south", prefixes: []}]
  classes: [
    {name: "balance", slo: 500ms, deadline: 1500ms, semantics: "retryable"},
    {name: "top-up", slo: 750ms, deadline: 2s, worth: 3, semantics: "dedup", dedup: {scope: "cell", window: 3s}},
    {name: "redeem", slo: 750ms, deadline: 2s, worth: 3, home_only: true},
  ]
  proxies: 6
  channel: {lines_per_s: 2000/s, most_waiting_lines: 4000, messages: 30, span: 10s, delay: 20ms, delay_most: 200ms}
  reports: {period: 250ms, lines_per_s: 1000/s}
  list: {must_ask_in: 4s, quiet: 2s}
  probes: timeout: 300ms
  guarantees: {empty_for: 2s, drain_grace: 1s, warm_up: 3s, fall: 800ms, start_capacity: 0.25, tip_multiple: 4}
}
