#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.."
case=8
program=target/review-2/case-$case
[ -x "$program" ] && [ -x target/bin/anvilscaled ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
RIG_FOLDER=$folder RECORD=review/$case/record.txt timeout -k 1 110 "$program"
status=$?
[ "$status" = 0 ] || [ "$status" = 1 ] || exit 2
exit "$status"
