#!/usr/bin/env bash
# Builds all targets into ./build or the given folder.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B "$build" -G Ninja >"$build.configure.log" 2>&1 || { cat "$build.configure.log"; exit 1; }
rm -f "$build.configure.log"
cmake --build "$build"
