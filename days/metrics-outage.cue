name: "metrics-outage"
about: "the receiver of figures goes away, the assigner is killed meanwhile; later the receiver answers 503, hangs and cuts"
length: 14s
metrics: {receiver: true, rules: ["alerts/beamshunt.yml"]}
troubles: [
  {at: 1s, kind: "receiver_away", for: 4s},
  {at: 2500ms, kind: "balancer_crash", for: 1s},
  {at: 7s, kind: "receiver_status", for: 1s, size: 503, extra: 0},
  {at: 9s, kind: "receiver_hangs", for: 1500ms},
  {at: 11500ms, kind: "receiver_cuts", for: 500ms},
]
