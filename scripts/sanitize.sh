#!/usr/bin/env bash
# Builds with the address and undefined-behaviour sanitizers into ./build-asan and runs the tests.
set -eu
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B build-asan -G Ninja -DANVILSCALE_ASAN=ON >/dev/null
cmake --build build-asan
ctest --test-dir build-asan --output-on-failure -j "$(nproc)"
