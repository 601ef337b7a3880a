#!/usr/bin/env bash
# Makes src/generated from schema. Run after each change of a schema and commit the result.
set -eu
cd "$(dirname "$0")/../schema"
protoc --cpp_out=../src/generated ./*.proto
