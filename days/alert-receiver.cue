name: "alert-receiver"
about: "the receiver of figures is away for longer than the alert allows; the alert fires once it is back"
length: 48s
metrics: {receiver: true, rules: ["alerts/beamshunt.yml"], expect: ["BeamshuntReceiverUnreachable"]}
traffic: rate: 60/s
troubles: [
  {at: 10s, kind: "receiver_away", for: 34s},
]
