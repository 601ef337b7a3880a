#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin

for source in */*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "bin/$(basename "$source" .cpp)"
done
