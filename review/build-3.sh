#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 13 into target/review-3. Needs the packages and the build of the
# deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in ownership evacuation reading; do
    source="review/lib-3/$name.cpp"
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "target/review-3/$name" &
done
for job in $(jobs -p); do
    wait "$job"
done
