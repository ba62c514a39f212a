#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl
  libevent-dev libcapnp-dev libboost-dev libboost-log-dev libboost-thread-dev
  libcxxopts-dev nlohmann-json3-dev libvalijson-dev libxxhash-dev libssl-dev
  zlib1g-dev
  libgtest-dev libgmock-dev librapidcheck-dev libbenchmark-dev
)

# apt is only called when something is missing, so that a second run is quick
# and works without a package index.
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -q -y "${missing[@]}"
fi
