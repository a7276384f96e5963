#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with the stand-ins that they start as threads
# (review/lib-2/harness.h), into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$source/case.cpp" ] || continue
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "build/review-2/case-${source#review/}" "$source/case.cpp"
done
