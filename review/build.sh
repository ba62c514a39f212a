#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Run it after
# the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."

[ -f target/build.ninja ] ||
  cmake -S Build -B target -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DPARSLEYSTAIR_TESTS=OFF
cmake --build target -j8 --target parsleystair_gateway standins

mkdir -p target/review
flags=(-std=c++20 -O1 -g -Wall -Wextra
  -Wno-missing-field-initializers -I. -pthread -DBOOST_LOG_DYN_LINK)
read -ra libraries < <(pkg-config --cflags --libs libevent libevent_pthreads \
  libxxhash capnp-rpc)
g++ "${flags[@]}" review/support/Store.cpp -o target/review/store \
  target/libstandins.a target/libparsleystair_core.a "${libraries[@]}" \
  -lboost_log -lboost_thread -lz
for source in review/[1-5]/Driver.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" -o "target/review/driver-$number"
done
echo "review: stand-ins built"
