#!/usr/bin/env bash
# Checks that src/telemetry/events.cpp and docs/events.md list the same events, by number, level and name.
set -eu
cd "$(dirname "$0")/.."
code=$(sed -nE 's/^ *\{([0-9]+), LogLevel::([A-Za-z]+), "([a-z_]+)",.*/\1 \2 \3/p' src/telemetry/events.cpp | tr '[:upper:]' '[:lower:]')
docs=$(sed -nE 's/^\| ([0-9]+) \| ([a-z]+) \| `([a-z_]+)` \|.*/\1 \2 \3/p' docs/events.md)
[ -n "$code" ] || { echo "no events found in the code"; exit 1; }
diff <(echo "$code") <(echo "$docs") && echo "events: $(echo "$code" | wc -l) in the code and in docs/events.md"
