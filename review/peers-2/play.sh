# Plays a plan against the program of the deploy file: `play FOLDER`, with the plan on standard input. Leaves
# FOLDER/record.txt and returns 0 (held), 1 (broken) or 2 (could not run). Ends all that it started.
play() {
  local folder=$1 root temporary result
  root=$(cd "$folder/../.." && pwd)
  RUN=$(sed -n 's/^run = "\(.*\)" *#.*/\1/p' "$root/deploy/balancer.toml")
  export RUN
  [ -n "$RUN" ] && [ -x "$root/build-review-2/world" ] || { echo "build first"; return 2; }
  temporary=$(mktemp -d) || return 2
  cat >"$temporary/plan.json"
  (cd "$root" && exec timeout -k 2 115 build-review-2/world "$temporary/plan.json" "$folder/record.txt" "$temporary")
  result=$?
  [ $result -le 1 ] || result=2
  [ -z "${KEEP_LOG:-}" ] || cp "$temporary/assigner.log" "$KEEP_LOG"
  rm -rf "$temporary"
  return $result
}
