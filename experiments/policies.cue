name: "policies"
about: "the module and the baselines on one day of troubles, from light load to overload"
stage: ["../days/stage.cue", "troubled.cue"]
policies: [
  "module", "round-robin", "static-weights", "least-load", "two-choice", "module-two-choice", "module-least-load"
]
seeds: 20
sample: 500ms
sweep: [{
  name: "rate"
  unit: "requests/s"
  values: [100, 150, 200, 250, 300, 350, 400]
  set: ["traffic: rate: {rate}/s"]
}]
plots: [
  {name: "service", title: "Service on a day of troubles", x: "rate", y: "service"},
  {name: "latency", title: "Latency of good answers, p99", x: "rate", y: "took_99"},
  {name: "fell", title: "Servers that fell over", x: "rate", y: "fell_over"},
  {name: "rules", title: "Rules kept, of five", x: "rate", y: "rules_kept"},
  {name: "time", title: "Service by time, over all rates", kind: "time", y: "service"},
]
