#!/usr/bin/env bash
# Placement: cost on the recorded prices against hindsight and always on-demand, and what a planner takes.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${BUILD_DIR:-build}

echo "== placement: cost on recorded prices"
"$build/bin/measure-placement" cost --trace=tests/traces/placement-prices.json --seed=1
echo "== placement: planner by number of upstreams"
"$build/bin/measure-placement" slope --seed=1
