#!/usr/bin/env bash
# Resource use of membership and configuration on a node, in virtual time with the daemons' code. The tool omits the
# largest sizes of the baseline (full exchange), which would take too long.
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
