#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review; run.sh of each case starts them. The nodes
# come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for scenario in review/[0-9]*/scenario.cc; do
    number=$(basename "$(dirname "$scenario")")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review/lab -o "target/review/case-$number" \
        "$scenario" review/lab/Lab.cc
done
