#!/usr/bin/env bash
# Runs the tests; those named in KNOWN-RED.txt may fail and are printed, all others must pass.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
red=$( (grep -oE '^Test[A-Za-z]+' KNOWN-RED.txt 2>/dev/null || true) | sort -u | paste -sd'|' -)
exclude=()
if [ -n "$red" ]; then
    echo "Known red, run but not judged:"
    cat KNOWN-RED.txt
    ctest --test-dir "$build" --output-on-failure -R "^($red)\$" || true
    exclude=(-E "^($red)\$")
fi
# Unit tests share the machine; tests with processes and time in them run one at a time.
ctest --test-dir "$build" --output-on-failure -j 6 -L unit "${exclude[@]}"
ctest --test-dir "$build" --output-on-failure --no-tests=error -L integration "${exclude[@]}"
