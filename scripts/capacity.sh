#!/usr/bin/env bash
# Runs the slopes bench and updates the measured part of docs/CAPACITY.md. Requires a complete ./build.
set -eu
cd "$(dirname "$0")/.."
tables=$(mktemp)
trap 'rm -f "$tables"' EXIT
build/bench/slopes --page >"$tables"
sed -i -e "/<!-- measured -->/,/<!-- end of measured -->/{/<!-- measured -->/{p;r $tables
};/<!-- end of measured -->/p;d}" docs/CAPACITY.md
