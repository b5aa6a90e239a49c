#!/usr/bin/env bash
# Installs, builds, lints and tests. The verdict is the same on every run: seeds are fixed.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
Meta/build.sh
Meta/check-platform-names.sh
Meta/check-deploy-build.sh
Meta/lint.sh
Meta/run-tests.sh
