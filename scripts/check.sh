#!/usr/bin/env bash
# Runs all checks: packages, generated code, events, platform names, format, build, lint and tests.
# The output ends with the summary of the test runner.
set -eu
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/check_generated.sh
scripts/check_events.sh
scripts/check_platform.sh
scripts/format.sh --check
scripts/build.sh
scripts/lint.sh
[ -s KNOWN-RED.txt ] && { echo "known red:"; cat KNOWN-RED.txt; }
# Whole names, so that no other test is passed over.
skip=$(sed -nE 's/^([^#:]+):.*/^\1$/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' || true)
# The output of a failed run is kept: a later run overwrites the log of ctest.
if ! ctest --test-dir build --output-on-failure -j "$(nproc)" ${skip:+-E "$skip"}; then
    kept=build/failed-runs/$(date +%Y%m%dT%H%M%S)
    mkdir -p "$kept"
    cp -r build/Testing/Temporary/LastTest*.log build/test-results "$kept/" 2>/dev/null || true
    echo "kept: $kept"
    exit 1
fi
