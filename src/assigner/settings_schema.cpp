// The schema of an assigner's settings: every field with its type, bounds and default. A default suits a
// small site; every bound keeps out a value that someone could type and that would do harm.
#include "assigner/assigner_settings.h"

namespace beamshunt::assigner {

const config::Source& settings_schema() {
  static const config::Source kSchema{"schema", R"cue(
#Locality: {
  name: string & =~"^[a-z0-9][a-z0-9-]*$"
  prefixes: [...cidr]            // peers with such addresses are in it; the longest prefix wins
}
#Class: {
  name: string & =~"^[a-z0-9][a-z0-9-]*$"
  slo: duration & >0ms           // answers within it earn full worth
  deadline: duration & >0ms      // the client's total wait
  worth: number & >0 | *1
  semantics: "retryable" | "dedup" | *"fragile"
  dedup: {                       // where semantics is dedup: who drops repeats, and for how long
    scope: "all" | "zone" | *"cell"
    window: duration & >=0ms | *0ms
  }
  home_only: bool | *false       // may go only to endpoints of the proxy's locality
}
#Site: {
  localities: [...#Locality]
  classes: [...#Class]
  proxies: int & >0 & <=100000   // of all assigners
  levels: "share" | *"rate" | "none"
  default_retry: *"never" | "after_proof" | "once" | "twice"
  retry_wait_factor: number & >0 & <=100 | *1.2
  connection_idle: duration & >0ms | *15s
  local_proxies_only: bool | *false
  channel: {
    lines_per_s: rate & >0/s | *2000/s
    envelope_lines: number & >=0 | *3
    most_waiting_lines: number & >0 | *4000
    messages: int & >=0 | *30    // to one proxy within `span`; 0: no limit
    span: duration & >0ms | *10s
    delay: duration & >=0ms | *50ms
    delay_most: duration & >=0ms | *500ms
  }
  reports: {
    period: duration & >=20ms & <=60s | *500ms
    lines_per_s: rate & >0/s | *250/s
    load: "probe" | *"answers" | "none"
  }
  list: {
    on_request: bool | *true
    must_ask_in: duration & >0ms | *10s
    quiet: duration & >0ms | *3s // a watch without a byte for so long is broken
  }
  probes: {
    allowed: bool | *true
    timeout: duration & >0ms | *500ms
  }
  guarantees: {
    empty_for: duration & >0ms | *5s
    drain_grace: duration & >0ms | *2s
    warm_up: duration & >0ms | *16s
    fall: duration & >0ms | *3s
    start_capacity: number & >0 & <=1 | *0.25
    tip_multiple: number & >=1 | *4
    gone_is_advice: bool | *false
  }
}
#Assigner: {
  instance: int & >=0 & <65536 | *0
  seed: int & >=0 | *1
  home: string                   // the locality it runs in
  listen: {
    channel: address
    admin?: address
  }
  admit: [...cidr]               // peers that may open a stream; none given: any that has a locality
  discovery: address
  peers: [...{ instance: int & >=0 & <65536, address: address }]
  state: string & !=""           // the folder that outlives a restart
  record?: string & !=""         // the flight record's file
  log: {
    file?: string & !=""         // standard error if there is none
    level: "debug" | *"info" | "warning" | "error"
  }
  streams: {
    heartbeat: duration & >=10ms & <=60s | *500ms
    hello_within: duration & >=10ms | *2s
    confirm_within: duration & >=100ms | *10s  // of a message's leaving; who does not apply is cut off
    most: int & >0 & <=1000000 | *20000
    most_unsent: size & >=4KiB | *8MiB
    most_frame: size & >=1KiB & <=4MiB | *4MiB
  }
  stop_within: duration & >=0ms | *1s
  control?: #Control             // settings that change while it runs
  remote_write?: #RemoteWrite
  site: #Site
}
#Control: {                      // a control service of settings, and what is done with its versions
  origin: string & !=""          // whose versions are taken; other origins' numbers mean nothing
  services: [...address]         // dialled in this order, one at a time
  heartbeat: duration & >=10ms & <=60s | *1s
  return_after: duration & >0ms | *60s  // on another than the first: then the first is tried again
  deliver_within: duration & >=100ms | *10s  // from a version's first part to its last
  backoff: {
    least: duration & >0ms | *200ms
    most: duration & >0ms | *10s
  }
  most_frame: size & >=1KiB & <=4MiB | *1MiB
  most_bytes: size & >=1KiB & <=64MiB | *4MiB  // of a version
  most_resources: int & >0 & <=100000 | *1000
  shadow: {                      // the rehearsal of a version before it is taken
    length: duration & >=0ms & <=60s | *4s  // of simulated time; 0: none
    budget: duration & >0ms | *2s           // of real time
  }
  watch: {                       // of a version in force; it goes back by itself
    time: duration & >=0ms | *30s
    service_drop: number & >0 & <=1 | *0.1   // of the part served in time, against the time before
    least_requests: int & >0 | *100          // that the figures must be made of
  }
}
#RemoteWrite: {                  // figures to a Prometheus remote write receiver
  url: string & =~"^https?://[0-9.]+:[0-9]+/"
  ca_file: string | *""          // for https: whom to trust; the system's if there is none
  interval: duration & >=50ms & <=60s | *5s
  timeout: duration & >=10ms | *5s
  external: [...{ name: string & =~"^[a-zA-Z_][a-zA-Z0-9_]*$", value: string }]  // labels of every series
  credentials?: {
    kind: "bearer" | "basic"     // a token; user:password
    file: string & !=""
  }
  shards: int & >0 & <=64 | *2
  batch: {
    samples: int & >0 & <=100000 | *2000
    wait: duration | *1s         // a batch that is not full leaves after so long
  }
  backoff: {
    least: duration & >0ms | *200ms
    most: duration & >0ms | *30s
  }
  buffer: {                      // on disk, in the state folder
    bytes: size & >=64KiB | *64MiB
    segment: size & >=4KiB | *1MiB
    age: duration & >=1s | *6h
  }
}
)cue"};
  return kSchema;
}

}  // namespace beamshunt::assigner
