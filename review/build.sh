#!/usr/bin/env bash
# Builds the stand-ins and judges of the cases, one program a case, into review/build. Needs the packages of the
# deploy file (nlohmann-json3-dev).
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [123]/*.cpp; do
  g++ -std=c++20 -O1 -g -Wall -Wextra -o "build/$(basename "$source" .cpp)" "$source" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
