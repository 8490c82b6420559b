#!/usr/bin/env bash
# All tasks of one room are lost for 12 s. The assigner is restarted meanwhile. The first task that the list
# names again is cold.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../peers-2/play.sh"
. "$here/../peers-2/settings.sh"

lost="" others=""
for k in 0 1 2 3 4 5 6; do
  lost+="{\"uid\":\"t0-$k\",\"state\":\"terminated\"},"
  [ "$k" = 1 ] || others+="{\"uid\":\"t0-$k\",\"state\":\"in_service\",\"started_ago\":5600},"
done
events="{\"at\":14,\"do\":\"list\",\"targets\":[${lost%,}]},
  {\"at\":26.6,\"do\":\"list\",\"targets\":[{\"uid\":\"t0-1\",\"state\":\"in_service\",\"started_ago\":600}]},
  {\"at\":31.6,\"do\":\"list\",\"targets\":[${others%,}]}"
if [ "${TROUBLE:-1}" != 0 ]; then
  events+=',{"at":20,"do":"term"},{"at":21,"do":"start"}'
fi

play "$here" <<PLAN
{"judge":"cold","length_s":45,"seed":${SEED:-$RANDOM},
 "proxies":9,"rate":225,"shares":[0.53,0.27,0.20],"work_ms":[140,235,265],
 "tasks_per_zone":7,"capacities":[3.9,1.56,3.9,1.56,3.9,1.56,3.9],"standing":6,
 "redial_ms":[710,2400],"first_dials_ms":500,"heard_late_ms":700,"rtt_ms":240,
 "channel":{"lines_per_s":2000,"late_ms":81},
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "events":[$events],
 "settings":$(head_office 9 2000)}
PLAN
