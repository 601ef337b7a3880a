#!/usr/bin/env bash
# Measures the slopes and rewrites the measured part of docs/CAPACITY.md. Needs a built ./build.
set -eu
cd "$(dirname "$0")/.."
tables=$(mktemp)
trap 'rm -f "$tables"' EXIT
build/bench/slopes --page >"$tables"
sed -i -e "/<!-- measured -->/,/<!-- end of measured -->/{/<!-- measured -->/{p;r $tables
};/<!-- end of measured -->/p;d}" docs/CAPACITY.md
