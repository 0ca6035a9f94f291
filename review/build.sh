#!/bin/sh
# Builds the stand-ins of the review cases: target/review/review-case.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in world cases main; do
    g++ -std=c++20 -O1 $(pkg-config --cflags cpp-httplib) -DMSGPACK_NO_BOOST -Wall -Wextra -Wno-missing-field-initializers \
        -c "review/harness/$source.cpp" -o "target/review/$source.o" &
    pids="$pids $!"
done
for pid in $pids; do
    wait "$pid"
done
g++ target/review/world.o target/review/cases.o target/review/main.o -o target/review/review-case \
    $(pkg-config --libs cpp-httplib) -lpthread
