#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/. Run
# it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."

[ -f target/build.ninja ] ||
  cmake -S Build -B target -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DPARSLEYSTAIR_TESTS=OFF
cmake --build target -j8 --target parsleystair_gateway standins

mkdir -p target/review-2
flags=(-std=c++20 -O1 -g -Wall -Wextra
  -Wno-missing-field-initializers -I. -pthread -DBOOST_LOG_DYN_LINK)
read -ra libraries < <(pkg-config --cflags --libs libevent libevent_pthreads \
  libxxhash capnp-rpc)
objects=()
for source in review/support-2/*.cpp; do
  object=target/review-2/$(basename "$source" .cpp).o
  g++ "${flags[@]}" -c "$source" -o "$object"
  objects+=("$object")
done
for number in 6 7 8 9 10; do
  source=review/$number/Driver.cpp
  [ -f "$source" ] || continue
  g++ "${flags[@]}" "$source" -o "target/review-2/driver-$number" \
    "${objects[@]}" target/libstandins.a target/libparsleystair_core.a \
    "${libraries[@]}" -lboost_log -lboost_thread -lz
done
echo "review: stand-ins of the second review built"
