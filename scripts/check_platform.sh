#!/usr/bin/env bash
# Checks that headers, paths, keys and fields of the users' platform appear in platform/ and deploy/ only.
set -eu
cd "$(dirname "$0")/.."
names='X-Anvilscale-|/api/(kv-|order|report|readyz)|op/(config|version)|"servers/|fencing_token|"Kv-(From|Fetch)'
found=$(git grep -nE "$names" -- src include tools bench ':!src/generated' || true)
[ -z "$found" ] || { echo "the platform is named outside platform/:"; echo "$found"; exit 1; }
echo "platform: named in its own folder only"
