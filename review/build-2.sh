#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start: target/review-2/trial.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
g++ -std=c++20 -O1 -o target/review-2/trial review/standin-2/main.cpp -ljsoncpp -lpthread
