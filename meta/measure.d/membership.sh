#!/usr/bin/env bash
# What membership and configuration take of a node, in virtual time with the daemons' own code. The largest sizes of
# the full exchange, the baseline, do not end in reasonable time and are left out by the tool.
set -euo pipefail
build=$1
results=$2

{
    echo "Membership and configuration; written by meta/measure membership. Seed 1, one run."
    echo "processors: $(nproc), load average before: $(cut -d' ' -f1 /proc/loadavg)"
    for what in gossip domain regions configuration; do
        "$build/bin/measure-membership" --what="$what" --seed=1
    done
} >"$results/membership.txt"
