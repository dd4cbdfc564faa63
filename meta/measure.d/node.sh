#!/usr/bin/env bash
# The latency that a node adds to a call, with real processes on loopback. The results depend on the load of the
# machine, which is therefore recorded with them.
set -euo pipefail
build=$1
results=$2

{
    echo "What a node adds to a call; written by meta/measure node. Pairs of one call directly and one through"
    echo "the node, from one run; the direct call takes the plain service's own time."
    echo
    echo "processors: $(nproc), load average before: $(cut -d' ' -f1 /proc/loadavg)"
    "$build/bin/scenario-runner" --bin "$build/bin" tests/bench/node_latency.lua 2>&1 | grep -E "^(experiment|node )"
    echo "load average after: $(cut -d' ' -f1 /proc/loadavg)"
} >"$results/node.txt"
