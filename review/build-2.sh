#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, into build-review-2/, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++20 -O2 -Wall -Wextra -o build-review-2/world review/peers-2/world.cpp
