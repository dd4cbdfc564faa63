#!/usr/bin/env bash
# Processor time of the parsers of bytes from upstreams, by the size of the pieces in which the bytes come.
set -euo pipefail
build=$1
results=$2
{
    echo "Processor time of parsers for input without end; written by meta/measure parsers."
    echo
    "$build/libraries/relay/ivypier-relay-tests" "table of processor time of parsers by size of the pieces" | grep -E "ms|pieces of"
} >"$results/parsers.txt"
