#!/bin/sh
# Runs the benchmark of the core on an earlier state of the sources and on this one, one after the other:
#   bench/compare.sh REF [options of core_bench]
# The earlier sources may take minutes at 10,000 machines: give a filter.
set -eu
[ $# -ge 1 ] || { echo "usage: bench/compare.sh REF [options of core_bench]" >&2; exit 2; }
cd "$(dirname "$0")/.."
ref=$1
shift
there=target/compare
rm -rf "$there"
mkdir -p "$there"
git archive "$ref" | tar -x -C "$there"
rm -rf "$there/bench"
cp -r bench "$there/bench"
grep -q 'add_subdirectory(bench)' "$there/CMakeLists.txt" || echo 'add_subdirectory(bench)' >> "$there/CMakeLists.txt"
for tree in "$there" .; do
  cmake -S "$tree" -B "$tree/target/bench" -DSCHEDULER_BENCH=ON -DCMAKE_BUILD_TYPE=Release >/dev/null
  cmake --build "$tree/target/bench" -j"$(nproc)" --target core_bench >/dev/null
done
echo "== $ref"
"$there/target/bench/bench/core_bench" "$@"
echo "== this one"
target/bench/bench/core_bench "$@"
