#!/usr/bin/env bash
# Builds everything into build/ (or $BUILD_DIR). Further arguments go to the configure step.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=g++ -DCMAKE_C_COMPILER=gcc \
    -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" >/dev/null
cmake --build "$build" -j "${BUILD_JOBS:-8}"
