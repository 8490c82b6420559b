// A small site on one machine, to start from: `beamshunt config check deploy/assigner.cue` says what is wrong
// with it, `beamshunt config print deploy/assigner.cue` all that is in force. docs/config.md has the language.
home: "north"
listen: {
  channel: "127.10.0.1:7000"
  admin: "127.10.0.1:7001"
}
discovery: "127.10.250.1:7100"
state: "/tmp/beamshunt-state"
site: {
  localities: [
    {name: "north", prefixes: ["127.10.0.0/16"]},
    {name: "south", prefixes: ["127.20.0.0/16"]},
  ]
  classes: [
    {name: "read", slo: 500ms, deadline: 2s, semantics: "retryable"},
    {name: "write", slo: 750ms, deadline: 3s, worth: 3},
  ]
  proxies: 10
}
