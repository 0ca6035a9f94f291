#!/bin/sh
# Builds and runs every test: core and codec under ASan and UBSan, net under TSan.
set -eu
cd "$(dirname "$0")/.."
jobs=$(nproc)
cmake -S . -B target/test -DORCHIDLANDING_TESTS=ON -DCMAKE_BUILD_TYPE=Debug \
  -DORCHIDLANDING_SANITIZE=address,undefined
cmake --build target/test -j"$jobs"
ctest --test-dir target/test --output-on-failure -j"$jobs"
cmake -S . -B target/tsan -DORCHIDLANDING_TESTS=ON -DCMAKE_BUILD_TYPE=Debug \
  -DORCHIDLANDING_SANITIZE=thread
cmake --build target/tsan -j"$jobs" --target net_test
ctest --test-dir target/tsan --output-on-failure -R '^Net'
