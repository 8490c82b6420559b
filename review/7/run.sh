#!/usr/bin/env bash
# 18 of 30 tasks are replaced within 7 s, one at a time, while the assigner serves 240 proxies.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../peers-2/play.sh"
. "$here/../peers-2/settings.sh"

events=""
if [ "${TROUBLE:-1}" != 0 ]; then
  names=(room-north room-middle room-south)
  for k in $(seq 0 17); do
    zone=$((k % 3)) number=$((k / 3))
    events+="{\"at\":$(awk "BEGIN {print 12 + $k * 7 / 18}"),\"do\":\"list\",\"targets\":[
      {\"uid\":\"t$zone-$number\",\"state\":\"terminating\"},
      {\"uid\":\"n$zone-$number\",\"zone\":\"${names[$zone]}\",\"state\":\"in_service\",\"started_ago\":0}]},"
  done
fi

play "$here" <<PLAN
{"judge":"drain","length_s":26,"seed":${SEED:-$RANDOM},
 "proxies":240,"rate":350,"shares":[0.53,0.27,0.20],"tasks_per_zone":10,"standing":6,
 "redial_ms":[710,2400],"first_dials_ms":2000,"heard_late_ms":700,"rtt_ms":240,"util":0.5,
 "channel":{"lines_per_s":1700,"late_ms":81},
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "events":[${events%,}],
 "settings":$(head_office 240 1700)}
PLAN
