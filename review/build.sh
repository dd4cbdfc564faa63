#!/usr/bin/env bash
# Builds the stand-ins and the cases that are scripts into target/review/, with packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
read -ra include < <(pkg-config --cflags jsoncpp)
read -ra libraries < <(pkg-config --libs jsoncpp)
jobs=()
for source in review/tests/*.cpp; do
    g++ -std=c++20 -O1 -pthread "${include[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
for source in review/tests/case*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -pthread "$out/$name.o" "$out"/{net,deployment,scene}.o -o "$out/$name" "${libraries[@]}"
done
