#!/usr/bin/env bash
# Runs clang-tidy on all sources or the given files. Requires a configured ./build. Files that passed with unchanged
# text, headers and rules are skipped.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD:-build}
cache=${LINT_CACHE:-$HOME/.cache/anvilscale-lint}
mkdir -p "$cache"
files=("$@")
if [ ${#files[@]} = 0 ]; then
    mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' | grep -v '^src/generated/')
fi
common=$( (cat .clang-tidy schema/*.proto; git ls-files -co --exclude-standard '*.h' | grep -v '^src/generated/' | sort | xargs cat) | sha256sum | cut -c1-16)
export build cache common
lintOne() {
    key="$cache/$( (echo "$common $1"; cat "$1") | sha256sum | cut -c1-32)"
    [ -e "$key" ] && return 0
    if clang-tidy -p "$build" --quiet "$1" 2>/tmp/lint.$$.err; then touch "$key"; rm -f /tmp/lint.$$.err; return 0; fi
    grep -v 'warnings generated' /tmp/lint.$$.err || true
    rm -f /tmp/lint.$$.err
    return 1
}
export -f lintOne
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lintOne {}'
