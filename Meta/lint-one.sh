#!/usr/bin/env bash
# Lints one source file ($1). A clean result is kept under a hash of the rules, the file and the
# headers of ours that it includes.
set -euo pipefail
file=$1
includes=(-I. -ILibraries -IServices -IUtilities -ITests)
mapfile -t parts < <(g++ -std=c++20 -MM "${includes[@]}" "$file" 2>/dev/null | tr -d '\\\n' | cut -d: -f2 | tr -s ' ' '\n' | grep . || echo "$file")
key=$(cat .clang-tidy "${parts[@]}" | sha256sum | cut -c1-40)
[ -e "$LINT_CACHE/$key" ] && exit 0
if ! out=$(clang-tidy --quiet -p "$BUILD" --extra-arg=-Wno-unknown-warning-option --extra-arg=-Wno-everything "$file" 2>&1); then
    printf '%s\n' "$out"
    exit 1
fi
touch "$LINT_CACHE/$key"
