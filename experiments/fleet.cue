// The fleet that the experiments on scale share: two localities, servers of two cores that are a third busy,
// proxies that each send two requests a second. Experiments set its sizes.
name: "fleet"
about: "a large fleet on an ordinary day: one crash, one slow server in fifty, a deploy"
seed: 7
length: 10s
heartbeat: 2s
calm: 3s
assigners: [{instance: 0, locality: "east"}, {instance: 100, locality: "west"}]
servers: [{locality: "east", count: 250}, {locality: "west", count: 250}]
proxies: [{locality: "east", count: 2500}, {locality: "west", count: 2500}]
proxy: redial: 500ms
traffic: {
  rate: 10000/s
  classes: [
    {name: "read", share: 70, work: 25ms},
    {name: "write", share: 20, work: 40ms},
    {name: "pay", share: 10, work: 40ms},
  ]
}
troubles: [
  {at: 2s, kind: "slow", for: 4s, part: 0.02, size: 4},
  {at: 3s, kind: "crash", for: 2s, part: 0.01},
  {at: 4s, kind: "deploy", for: 4s, part: 0.1, size: 0.02, extra: 1},
]
site: {
  localities: [{name: "east", prefixes: []}, {name: "west", prefixes: []}]
  classes: [
    {name: "read", slo: 500ms, deadline: 1500ms, semantics: "retryable"},
    {name: "write", slo: 750ms, deadline: 2s, worth: 3, semantics: "dedup", dedup: {scope: "cell", window: 3s}},
    {name: "pay", slo: 750ms, deadline: 2s, worth: 3, home_only: true},
  ]
  proxies: 5000
  channel: {
    lines_per_s: 50000/s, most_waiting_lines: 100000, messages: 30, span: 10s, delay: 20ms, delay_most: 200ms
  }
  reports: {period: 1s, lines_per_s: 50000/s}
  list: {must_ask_in: 4s, quiet: 2s}
  probes: timeout: 300ms
  guarantees: {empty_for: 2s, drain_grace: 1s, warm_up: 3s, fall: 800ms, start_capacity: 0.25, tip_multiple: 4}
}
