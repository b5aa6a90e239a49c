#!/usr/bin/env bash
# The build of deploy/system.toml must configure without the packages that only the tests use.
set -euo pipefail
cd "$(dirname "$0")/.."
configure=$(sed -n 's/^build = "\(cmake [^&"]*\).*/\1/p' deploy/system.toml)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# shellcheck disable=SC2086
${configure/-B target/-B $folder} \
    -DCMAKE_DISABLE_FIND_PACKAGE_rapidcheck=ON --no-warn-unused-cli >/dev/null
if cmake --build "$folder" --target help | grep -q Test; then
    echo "the build of deploy/system.toml has targets of the tests"
    exit 1
fi
echo "deploy build: configures without the tests"
