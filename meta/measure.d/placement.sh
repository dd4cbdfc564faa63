#!/usr/bin/env bash
# Placement: cost with recorded prices compared with hindsight and with on-demand VMs only; resource use of a planner
# by number of upstreams (in virtual time, without transport); resource use of real planner processes, active and idle.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${1:-build}
results=${2:-}
[ -z "$results" ] || exec > >(tee "$results/placement.txt")
work=$(mktemp -d)
started=()
finish() {
    for process in "${started[@]}"; do kill "$process" 2>/dev/null || true; done
    wait
    rm -rf "$work"
}
trap finish EXIT

echo "== placement: cost on recorded prices"
"$build/bin/measure-placement" cost --trace=tests/traces/placement-prices.json --seed=1
echo "== placement: planner by number of upstreams"
"$build/bin/measure-placement" slope --seed=1

# document <runners>: prints a configuration whose runners all have the address of one stand-in engine.
document() {
    printf '[deployment]\nname = "measure"\n[[services]]\nname = "tariff"\nkind = "model"\nmodel = "tariff-model"\n'
    printf 'first_token_ms = 570\nbetween_tokens_ms = 51\nbudget_per_hour = 40.0\n'
    for ((index = 0; index < $1; index++)); do
        printf '[[upstreams]]\nname = "runner-%d"\nservice = "tariff"\naddress = "127.93.0.3:9100"\n' "$index"
        printf 'failure_domain = "hall-a"\n'
    done
}

# settings <index>: prints the settings of a planner.
settings() {
    printf 'name = "planner-%d"\naddress = "127.93.0.1%d:8090"\nfailure_domain = "hall-a"\n' "$1" "$1"
    printf 'platform = "127.93.0.2:9000"\n'
}

# ticks <process>: prints the processor time used so far, in clock ticks.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
# memory <process>: prints the resident memory in KB.
memory() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

echo "== placement: real planner processes, with transport, over 20 s"
"$build/bin/standin-platform" --listen=127.93.0.2:9000 2>"$work/platform.log" & started+=($!)
"$build/bin/standin-engine" --listen=127.93.0.3:9100 --model=tariff-model 2>"$work/engine.log" & started+=($!)
sleep 1
for index in 1 2; do
    settings "$index" >"$work/planner-$index.toml"
    "$build/bin/ivypier-planner" --settings="$work/planner-$index.toml" 2>"$work/planner-$index.log" & started+=($!)
done
for runners in 10 50 200 800; do
    document "$runners" >"$work/document.toml"
    "$build/bin/ivypierctl" --platform=127.93.0.2:9000 submit "$work/document.toml" >"$work/submit.log" 2>&1
    sleep 12 # until both planners have the document and one of them holds the lease
    before=("$(ticks "${started[2]}")" "$(ticks "${started[3]}")")
    sleep 20
    for index in 0 1; do
        process=${started[$((index + 2))]}
        held=$(grep -c "lease.acquired" "$work/planner-$((index + 1)).log" || true)
        awk -v used=$(($(ticks "$process") - before[index])) -v hertz="$(getconf CLK_TCK)" -v runners="$runners" \
            -v role="$([ "$held" -gt 0 ] && echo active || echo idle)" -v memory="$(memory "$process")" \
            'BEGIN {printf "runners %4d  %-6s  part of a core %.4f  memory KB %d\n", runners, role, used / hertz / 20, memory}'
    done
done
