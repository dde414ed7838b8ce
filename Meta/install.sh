#!/usr/bin/env bash
# Installs everything that building, testing and linting need, from Debian's packages.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy git curl python3-minimal
    libboost1.81-dev libnng-dev libpopt-dev libgoogle-glog-dev doctest-dev nlohmann-json3-dev
    librapidcheck-dev libxxhash-dev libssl-dev)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -q -y "${packages[@]}"
