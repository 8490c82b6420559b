# The settings object of small deployments, with the names and units of the simulator's first message.

# head_office PROXIES LINES_PER_S [LINES_WAITING]: Sunbird's head office. The queue holds what the channel sends in 2 s,
# if nothing else is said.
head_office() {
  cat <<SETTINGS
{"azs":["room-north","room-middle","room-south"],"locality":"room-middle","balancers":1,"me":0,
 "family":"control","discovery":"on_request",
 "classes":[
  {"name":"balance","slo":1000.0,"deadline":3000.0,"semantics":"retryable","key_scope":"all","window":5000.0,
   "points":1.0,"late_value":0.2},
  {"name":"top-up","slo":1500.0,"deadline":5000.0,"semantics":"dedup","key_scope":"cell","window":3000.0,
   "points":3.0,"late_value":0.1},
  {"name":"redeem","slo":1500.0,"deadline":5000.0,"semantics":"fragile","key_scope":"all","window":5000.0,
   "points":3.0,"late_value":0.1}],
 "limits":{"may_probe":true,"may_tell":false,"conn_idle":15000.0,"connect_timeout":250.0,
  "streams_per_conn":100},
 "report":{"how":"probe","columns":["utilization","backlog"]},
 "family_info":{"key_ranges":0,"level_kind":"rate","default_retry":0,"try_factor":1.2,"default_size":6,
  "by_zone":false,"egress_per_s":$2.0,"envelope":3.0,"most_waiting":${3:-$((2 * $2))}.0,"pushes_allowed":30,
  "messages_over":10000.0,"agents":$1,"push_delay":81.0,"late_most":400.0,"period":500.0,"empty_for":5000.0,
  "hears_per_s":250.0,"home_only":[false,false,true],"writers":[false,true,true],"outlier_after":3,
  "lb_method":"weighted"},
 "guarantees":{"must_ask_in":10000.0,"drain_grace":2000.0,"warm_up":16000.0,"fall":3000.0,
  "start_capacity":0.27,"tip_multiple":4.0}}
SETTINGS
}

# fukuoka PROXIES: Chikushi's halls. The channel's queue holds what it sends in 1 s.
fukuoka() {
  cat <<SETTINGS
{"azs":["hakata-east","hakata-west","tenjin"],"locality":"hakata-west","balancers":1,"me":0,
 "family":"control","discovery":"on_request",
 "classes":[
  {"name":"day-plan","slo":1200.0,"deadline":4000.0,"semantics":"retryable","key_scope":"all",
   "window":5000.0,"points":2.0,"late_value":0.2},
  {"name":"lesson-edit","slo":1200.0,"deadline":4000.0,"semantics":"dedup","key_scope":"cell",
   "window":4000.0,"points":3.0,"late_value":0.2},
  {"name":"cover-notice","slo":800.0,"deadline":2000.0,"semantics":"fragile","key_scope":"all",
   "window":5000.0,"points":3.0,"late_value":0.2}],
 "limits":{"may_probe":true,"may_tell":false,"conn_idle":15000.0,"connect_timeout":250.0,
  "streams_per_conn":100},
 "report":{"how":"answers","columns":["utilization","backlog"]},
 "family_info":{"key_ranges":0,"level_kind":"rate","default_retry":1,"try_factor":1.0,"default_size":12,
  "by_zone":false,"egress_per_s":9000.0,"envelope":10.0,"most_waiting":9000.0,"pushes_allowed":12,
  "messages_over":10000.0,"agents":$1,"push_delay":130.0,"late_most":400.0,"period":500.0,
  "empty_for":5000.0,"hears_per_s":200.0,"home_only":[false,false,false],"writers":[false,true,true],
  "outlier_after":3,"lb_method":"weighted"},
 "guarantees":{"must_ask_in":10000.0,"drain_grace":2000.0,"warm_up":16000.0,"fall":3000.0,
  "start_capacity":0.21,"tip_multiple":3.0}}
SETTINGS
}
