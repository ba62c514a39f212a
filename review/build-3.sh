#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/11 to review/13, after the build
# of the deploy file. Needs no network and no package beyond those of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
g++ -std=c++20 -O2 -Wall -Wextra -pthread \
  -o target/review-3/review_world review/support-3/World.cpp
echo "review 3: built"
