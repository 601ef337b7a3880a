#!/usr/bin/env bash
# Formats all sources in place; with --check it only says whether they are formatted.
set -eu
cd "$(dirname "$0")/.."
mode="-i"
[ "${1:-}" = "--check" ] && mode="--dry-run -Werror"
# shellcheck disable=SC2086
git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '^src/generated/' | xargs -r clang-format $mode
