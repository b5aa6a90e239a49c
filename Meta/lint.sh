#!/usr/bin/env bash
# Checks format and names. With --changed only the files that differ from main are linted.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp')
clang-format --dry-run --Werror "${files[@]}"
if [ "${1:-}" = --changed ]; then
    mapfile -t files < <(git diff --name-only --diff-filter=d main -- '*.cpp'; git ls-files --others --exclude-standard '*.cpp')
fi
sources=()
for file in "${files[@]}"; do
    case "$file" in *.cpp) sources+=("$file") ;; esac
done
[ ${#sources[@]} -eq 0 ] && exit 0
# clang-tidy reads g++'s compile commands; warnings that only clang knows are not ours to judge.
# A file whose preprocessed text was clean under the same rules before is not read again.
export LINT_CACHE=${LINT_CACHE:-$build/lint-cache} BUILD=$build
mkdir -p "$LINT_CACHE"
printf '%s\n' "${sources[@]}" | xargs -P "${BUILD_JOBS:-8}" -I{} Meta/lint-one.sh {}
echo "lint: ${#sources[@]} files clean"
