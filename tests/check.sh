#!/usr/bin/env bash
# The second command of the README: builds the project and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
tests/run-tests.sh build
