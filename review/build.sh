#!/usr/bin/env bash
# Builds the stand-ins of the cases into build-review/, with the compiler and the JSON library that
# the deploy file already asks for.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
objects=()
pids=()
compile() { # SOURCE OBJECT
    g++ "${flags[@]}" -c "$1" -o "$2" &
    pids+=($!)
}
for source in review/common/*.cpp; do
    object=$out/$(basename "$source" .cpp).o
    objects+=("$object")
    compile "$source" "$object"
done
for source in review/[0-9]/scenario.cpp; do
    compile "$source" "$out/case$(basename "$(dirname "$source")").o"
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/[0-9]/scenario.cpp; do
    name=case$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$out/$name.o" "${objects[@]}" -o "$out/$name"
done
