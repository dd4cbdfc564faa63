#!/usr/bin/env bash
# Routing, admission and retries, in virtual time: the results don't depend on the load of the machine.
set -euo pipefail
build=$1
results=$2
replay=$build/bin/ivypier-replay

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for trace in ghana-postal tumar-furnitura; do
    "$replay" --parameters "tests/traces/$trace.toml" --seed 1 --histograms "$work/$trace.csv" \
        >"$work/$trace.txt" &
    "$replay" --parameters "tests/traces/$trace.toml" --seed 2 >"$work/$trace.second.txt" &
    wait
done
{
    echo "Routing, admission and retries in virtual time; written by meta/measure routing."
    echo
    echo "Seed 1:"
    cat "$work/ghana-postal.txt" "$work/tumar-furnitura.txt"
    echo
    echo "Seed 2, the figures with a target:"
    grep -hE "met|MISSED" "$work/ghana-postal.second.txt" "$work/tumar-furnitura.second.txt" || true
} >"$results/routing.txt"

command -v gnuplot >/dev/null || { echo "no gnuplot: no plots"; exit 0; }
for trace in ghana-postal tumar-furnitura; do
    cp "$work/$trace.csv" "$results/routing-$trace.csv"
    accounts=$(cut -d, -f1 "$work/$trace.csv" | sed 1d | sort -u | tr '\n' ' ')
    gnuplot <<PLOT
set terminal svg size 800,420
set output "$results/routing-$trace.svg"
set title "$trace at 1.0 of capacity: time to the first token, by account"
set datafile separator ","
set logscale x
set xlabel "seconds (upper edge of the bucket)"
set ylabel "requests"
plot for [account in "$accounts"] "< grep -E '^".account.",[^,]*,first_token' $work/$trace.csv" \
    using 4:5 with linespoints title account
PLOT
done
