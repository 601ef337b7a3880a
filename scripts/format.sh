#!/usr/bin/env bash
# Formats all sources in place. With --check, only reports unformatted sources.
set -eu
cd "$(dirname "$0")/.."
mode="-i"
[ "${1:-}" = "--check" ] && mode="--dry-run -Werror"
# shellcheck disable=SC2086
git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '^src/generated/' | xargs -r clang-format $mode
