#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
RUN=$(sed -n 's/^run = "\(.*\)" *#.*/\1/p' deploy/balancer.toml)
export RUN
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x review/build/herd ] || exit 2
timeout -k 5 110 review/build/herd "$folder" review/3/record.txt
code=$?
[ $code -le 1 ] && exit $code
exit 2
