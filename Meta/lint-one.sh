#!/usr/bin/env bash
# Lints one source file ($1); the result is kept under a hash of its text, our headers and the rules.
set -euo pipefail
file=$1
key=$( (cat .clang-tidy "$file"; git ls-files --cached --others --exclude-standard '*.h' | xargs cat) | sha256sum | cut -c1-40)
[ -e "$LINT_CACHE/$key" ] && exit 0
if ! out=$(clang-tidy --quiet -p "$BUILD" --extra-arg=-Wno-unknown-warning-option --extra-arg=-Wno-everything "$file" 2>&1); then
    printf '%s\n' "$out"
    exit 1
fi
touch "$LINT_CACHE/$key"
