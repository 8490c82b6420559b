name: "alert-down"
about: "the assigner is killed and does not come back"
length: 50s
metrics: {receiver: true, rules: ["alerts/beamshunt.yml"], expect: ["BeamshuntDown"]}
traffic: rate: 60/s
troubles: [
  {at: 8s, kind: "balancer_crash", for: 60s},
]
