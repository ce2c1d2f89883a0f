#!/usr/bin/env bash
# Compiles the cases of the second review and their stand-ins into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/stand/stand.cpp -o target/review-2/stand.o
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" target/review-2/stand.o -o "target/review-2/case-$number"
done
