#!/usr/bin/env bash
# The whole check: packages, generated code, format, build, lint, tests. Closes with the test runner's summary.
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
skip=$(sed -nE 's/^([^#:]+):.*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' || true)
ctest --test-dir build --output-on-failure -j "$(nproc)" ${skip:+-E "$skip"}
