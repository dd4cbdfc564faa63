#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 11 to 15 into target/review-3/. The build of the deploy file comes
# first. Needs g++ and libjsoncpp-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra $(pkg-config --cflags jsoncpp) "$source" -o "target/review-3/$name" \
        $(pkg-config --libs jsoncpp) -pthread
done
