#!/bin/sh
# Builds and runs every test: core and codec under ASan and UBSan, net under TSan. What KNOWN-RED.txt
# names may fail, see known_red.sh.
set -eu
cd "$(dirname "$0")/.."
jobs=$(nproc)
sh tests/known_red_test.sh
cmake -S . -B target/test -DSCHEDULER_TESTS=ON -DSCHEDULER_SCALE=ON -DCMAKE_BUILD_TYPE=Debug \
  -DSCHEDULER_SANITIZE=address,undefined
cmake --build target/test -j"$jobs"
sh tests/known_red.sh target/test KNOWN-RED.txt -j"$jobs"
cmake -S . -B target/tsan -DSCHEDULER_TESTS=ON -DCMAKE_BUILD_TYPE=Debug \
  -DSCHEDULER_SANITIZE=thread
cmake --build target/tsan -j"$jobs" --target net_test
grep '^ *Net' KNOWN-RED.txt 2>/dev/null >target/tsan/known-red.txt || true # the others are not built there
sh tests/known_red.sh target/tsan target/tsan/known-red.txt -j"$jobs" -R '^Net'
