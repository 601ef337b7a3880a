#!/usr/bin/env bash
# Compares the committed code with what the installed generator makes of the schema. Only the generator's version
# that made the committed code can be compared; another one is named and passed over.
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
