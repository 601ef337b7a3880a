#!/usr/bin/env bash
# Installs missing build and test dependencies on Debian 12.
set -eu
packages="g++ cmake ninja-build ccache clang-format clang-tidy git python3
 libpoco-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler liblog4cxx-dev libcxxopts-dev
 libexpected-dev librapidcheck-dev libboost-dev libbenchmark-dev libgtest-dev"
missing=""
for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
sudo=""
[ "$(id -u)" = 0 ] || sudo="sudo"
$sudo apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends $missing
