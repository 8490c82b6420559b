#!/usr/bin/env bash
# Tests of the program as a process: exit codes, one-line error messages, recovery after SIGKILL, incomplete
# or damaged state files, and a second process on the same state.
set -uo pipefail
program=$(realpath "$1")
work=$(mktemp -d)
pids=()
cleanup() { for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done; rm -rf "$work"; }
trap cleanup EXIT
failures=0
fail() { echo "FAILED: $*"; failures=$((failures + 1)); }
wait_for() {  # wait_for PATTERN FILE: fails unless the file has a matching line within ten seconds
  for _ in $(seq 200); do grep -q "$1" "$2" 2>/dev/null && return 0; sleep 0.05; done
  fail "no '$1' in $2: $(tail -2 "$2" 2>/dev/null)"
}
wait_until() {  # wait_until MESSAGE COMMAND...: fails unless the command succeeds within ten seconds
  local message=$1; shift
  for _ in $(seq 200); do "$@" && return 0; sleep 0.05; done
  fail "$message"
}
expect() {  # expect STATUS PATTERN COMMAND...: checks the exit status and that a line of output matches
  local expected=$1 pattern=$2; shift 2
  "$@" >"$work/out" 2>&1; local status=$?
  [ "$status" = "$expected" ] || fail "exit status $status, expected $expected: $*"
  grep -qE -- "$pattern" "$work/out" || fail "no '$pattern' in the output of $*: $(head -2 "$work/out")"
}
sed "s|/tmp/beamshunt-state|$work/state|; s|127\.10\.|127.211.|g; s|127\.20\.|127.212.|g" deploy/assigner.cue >"$work/site.cue"
echo "record: \"$work/record\"" >"$work/record.cue"
echo "log: file: \"$work/log\"" >"$work/log.cue"

expect 0 'sound: 1 file' "$program" config check deploy/assigner.cue
expect 0 'sound: 2 files' "$program" config check --kind day days/stage.cue days/bad-day.cue
expect 0 'most_waiting_lines: 4000  // schema' "$program" config print deploy/assigner.cue
echo 'hme: "north"' >"$work/bad.cue"
expect 2 'bad.cue:1:1: hme: unknown field; is home meant\?' "$program" config check "$work/site.cue" "$work/bad.cue"
expect 2 'there is no such file' "$program" serve "$work/none.cue"
expect 2 'no settings are given' "$program" serve
expect 2 'not a known|could not|not in|was not expected|required' "$program" nonsense

"$program" standin list --address 127.211.250.1:7100 --localities north south \
  --prefix 127.211.0.0/16 127.212.0.0/16 --server 5=north=127.211.2.1:8000 & pids+=($!)
"$program" standin server --address 127.211.2.1:8000 --id 5 --prefix 127.211.0.0/16 --localities north --locality north & pids+=($!)
"$program" serve "$work/site.cue" "$work/log.cue" "$work/record.cue" & assigner=$!; pids+=($assigner)
wait_for '"event":"serving"' "$work/log"
expect 2 'held by another process' "$program" serve "$work/site.cue"
"$program" standin proxy --address 127.211.1.1:9000 --id 3 --assigner 127.211.0.1:7000 \
  --localities north south --prefix 127.211.0.0/16 127.212.0.0/16 --locality north & pids+=($!)
wait_for '"event":"proxy_registered","proxy":"3"' "$work/log"
wait_until "the endpoint list was not cached" test -s "$work/state/list"

# After SIGKILL at any point, the assigner starts with its last endpoint list and a higher epoch, and continues
# its flight record.
for round in 1 2 3; do
  kill -9 $assigner; wait $assigner 2>/dev/null
  "$program" serve "$work/site.cue" "$work/log.cue" "$work/record.cue" & assigner=$!; pids+=($assigner)
  sleep 0.$((round * 2 + 2))
done
wait_for '"event":"proxy_registered","proxy":"3"' "$work/log"
kill -9 $assigner; wait $assigner 2>/dev/null
expect 0 'the module decides the same' "$program" replay "$work/record"
grep -q '4 runs' "$work/out" || fail "the flight record does not have 4 runs: $(cat "$work/out")"

# With damaged state files, an incomplete record at the end of the flight record is truncated, the previous
# version of the endpoint list is used, and the epoch does not decrease. Each is logged once.
printf 'torn' >>"$work/record"
printf 'x' >"$work/state/list"; printf 'x' >"$work/state/epoch"; : >"$work/log"
"$program" serve "$work/site.cue" "$work/log.cue" "$work/record.cue" & assigner=$!; pids+=($assigner)
wait_for '"event":"serving"' "$work/log"
for event in flight_record_truncated cached_list_rejected epoch_rejected; do wait_for "\"event\":\"$event\"" "$work/log"; done
wait_for '"event":"proxy_registered","proxy":"3"' "$work/log"
# SIGTERM: the assigner notifies its streams and exits in an orderly way.
kill -TERM $assigner; wait $assigner; code=$?
[ $code = 0 ] || fail "exit status $code after SIGTERM"
wait_for '"event":"stopped"' "$work/log"
expect 0 'the module decides the same' "$program" replay "$work/record"
# Streamed settings: the last good version stays in force without the control service, and an operator can roll
# back.
cat >"$work/control.cue" <<EOF
control: {origin: "ops", services: ["127.211.250.2:7300"], watch: {time: 300ms}}
listen: admin: "127.211.0.1:7001"
EOF
cat >"$work/one.cue" <<EOF
site: channel: delay_most: 300ms
EOF
echo 'site: channel: delay_most: 310ms' >"$work/two.cue"
echo 'site: guarantees: drain_grace: 1ms' >"$work/harm.cue"
settings=("$work/site.cue" "$work/log.cue" "$work/record.cue" "$work/control.cue")
expect 1 'form: hme: ' "$program" config gate "${settings[@]}" --resource "limits=$work/bad.cue"
expect 0 'it would pass' "$program" config gate "${settings[@]}" --resource "limits=$work/one.cue"
: >"$work/log"
"$program" standin control --address 127.211.250.2:7300 --origin ops --offer "limits=$work/one.cue" \
  --offer "limits=$work/two.cue" --offer "limits=$work/harm.cue" --every-ms 900 >"$work/answers" & control=$!; pids+=($control)
"$program" serve "${settings[@]}" & assigner=$!; pids+=($assigner)
wait_for '"event":"config_applied","version":"2"' "$work/log"
wait_for 'version 3 nack' "$work/answers"
wait_for '"event":"config_confirmed","version":"2"' "$work/log"
kill -9 $control $assigner; wait $control $assigner 2>/dev/null
: >"$work/log"
"$program" serve "${settings[@]}" & assigner=$!; pids+=($assigner)
wait_for '"event":"serving"' "$work/log"
expect 0 'in force: 2; last good: 2; pinned: none' "$program" config history "${settings[@]}"
grep -q 'rule 3: site.guarantees.drain_grace' "$work/out" ||
  fail "the history does not give the reason for the rejection of version 3"
expect 0 'site.channel.delay_most: 300ms -> 310ms' "$program" config diff "${settings[@]}" --from 1 --to 2
expect 1 'no version 9' "$program" config rollback "${settings[@]}" --to 9
expect 0 'done' "$program" config rollback "${settings[@]}" --to 1
wait_for '"event":"config_applied","version":"1"' "$work/log"
kill -9 $assigner; wait $assigner 2>/dev/null
expect 0 'in force: 1; last good: 1; pinned: 1' "$program" config history "${settings[@]}"
expect 0 'written down for the next start' "$program" config unpin "${settings[@]}"
# Settings files that are incomplete by themselves are accepted together with the last good version only.
grep -v 'proxies: ' "$work/site.cue" >"$work/part.cue"
mv "$work/state/config/config.log" "$work/kept"
expect 2 'site.proxies' "$program" serve "$work/part.cue" "$work/control.cue"
# A damaged version log is rejected, and the damage is not skipped.
(head -c 30 "$work/kept"; printf 'XX'; tail -c +33 "$work/kept") >"$work/state/config/config.log"
expect 2 'damaged at byte 0' "$program" serve "${settings[@]}"
rm "$work/state/config/config.log"
# Damage in the middle of a flight record is not treated as an incomplete last record.
printf 'damaged!' | dd of="$work/record" bs=1 seek=100 conv=notrunc 2>/dev/null
expect 2 'damaged at offset' "$program" replay "$work/record"
[ $failures = 0 ] && echo "all checks passed"
exit $failures
