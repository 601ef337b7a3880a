#!/usr/bin/env bash
# Regenerates src/generated from schema. Run after each schema change and commit the result.
set -eu
cd "$(dirname "$0")/../schema"
protoc --cpp_out=../src/generated ./*.proto
