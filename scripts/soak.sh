#!/usr/bin/env bash
# Plays the soak with the given seeds, one after the other: scripts/soak.sh FIRST LAST. Prints the seeds that failed.
set -eu
cd "$(dirname "$0")/.."
failed=""
for seed in $(seq "$1" "$2"); do
    echo "seed $seed"
    ANVILSCALE_BUILD=${ANVILSCALE_BUILD:-build} ANVILSCALE_SOAK_SEED=$seed build/tests/run_once_soak_test --gtest_brief=1 ||
        failed="$failed $seed"
done
echo "failed seeds:${failed:- none}"
[ -z "$failed" ]
