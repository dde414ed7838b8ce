#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review/. Needs g++ and nlohmann-json3-dev, which the
# build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
compile=(g++ -std=c++20 -O1 -g -Wall -Wextra -pthread)
"${compile[@]}" -c review/standins/standins.cpp -o target/review/standins.o
for source in review/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    "${compile[@]}" "$source" target/review/standins.o -o "target/review/case-$name"
done
