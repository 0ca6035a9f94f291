#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file. They need g++ alone.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
out="$root/target/review-2"
mkdir -p "$out"
for case in "$root"/review/[4-8]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/case-$number" "$case"
done
