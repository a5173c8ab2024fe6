#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I standin \
        -o "bin/case${source%%/*}" "$source"
done
