name: "alert-without-server"
about: "a room loses all its servers: its proxies lack one for the class that must stay at home"
length: 10s
metrics: {receiver: true, rules: ["alerts/beamshunt.yml"], expect: ["BeamshuntProxyWithoutServer"]}
troubles: [
  {at: 3s, kind: "zone_loss", for: 4s, locality: "south"},
]
