#!/usr/bin/env bash
# Installs what the build and the tests need, from Debian's packages only.
set -euo pipefail
packages=(g++ cmake make ninja-build ccache clang-format clang-tidy
    libevent-dev libwebsocketpp-dev prometheus-cpp-dev libdocopt-dev libgoogle-glog-dev
    libboost-dev doctest-dev libtomlplusplus-dev nlohmann-json3-dev librapidcheck-dev
    libxxhash-dev libhttp-parser-dev libssl-dev)
missing=()
for package in "${packages[@]}"; do
    status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
    [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
root=()
[ "$(id -u)" = 0 ] || root=(sudo)
"${root[@]}" apt-get update -q
"${root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
