#!/usr/bin/env bash
# Compares the committed generated code with the output of the installed protoc. Skipped, with a message, if protoc is
# missing or has another version than the one that generated the committed code.
set -eu
cd "$(dirname "$0")/.."
command -v protoc >/dev/null || { echo "generated code: no generator here, not compared"; exit 0; }
made=$(grep -ho '[0-9]* < PROTOBUF_MIN_PROTOC_VERSION' src/generated/wire.pb.h | head -1 | grep -o '^[0-9]*')
here=$(protoc --version | sed 's/libprotoc //' | awk -F. '{printf "%d", ($1>=20 ? 3000000+$1*1000+$2 : $1*1000000+$2*1000+$3)}')
[ "$made" = "$here" ] || { echo "generated code: made by $made, generator here is $here, not compared"; exit 0; }
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
(cd schema && protoc --cpp_out="$out" ./*.proto)
diff -rq "$out" src/generated && echo "generated code matches its schema"
