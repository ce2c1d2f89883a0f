#!/usr/bin/env bash
# Builds the stand-ins of the cases of REPORT-3.md into target/review-3/, one program for each case.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in loop fleet deployment; do
    g++ -std=c++20 -O1 -Wall -Wextra -c -o "target/review-3/$source.o" "review/stand-3/$source.cpp"
done
for folder in review/1[1-5]; do
    [ -f "$folder/run.sh" ] || continue
    number=$(basename "$folder")
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-3/$number" "$folder"/*.cpp \
        target/review-3/{loop,fleet,deployment}.o
done
