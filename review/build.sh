#!/usr/bin/env bash
# Builds the programs of the review cases, with their stand-ins, into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]/case.cpp; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "build/case${source%%/*}"
done
