#!/usr/bin/env bash
# Checks that each test named in docs/PROOFS.md (as `Suite.Name` in backticks) or KNOWN-RED.txt (in
# a line `test: Suite.Name`) exists, and, given a log of ctest, that it ran.
# Usage: tests/check-proofs.sh [BUILD_DIR] [CTEST_LOG]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
log=${2:-}
page=docs/PROOFS.md
names=$(mktemp)
tests=$(mktemp)
ran=$(mktemp)
trap 'rm -f "$names" "$tests" "$ran"' EXIT

word='[A-Z][A-Za-z0-9]*'
grep -oE "\`($word/)?$word\.$word(/$word)?\`" "$page" | tr -d '`' | sort -u >"$names"
if [ -e KNOWN-RED.txt ]; then
    sed -n 's/^test: //p' KNOWN-RED.txt >>"$names"
fi
ctest --test-dir "$build" -N | sed -nE 's/^ *Test +#[0-9]+: ([^ ]+).*/\1/p' | sort -u >"$tests"
if [ -n "$log" ]; then
    sed -nE 's/^ *[0-9]+\/[0-9]+ Test +#[0-9]+: ([^ ]+) .*/\1/p' "$log" | sort -u >"$ran"
fi

status=0
count=0
while read -r name; do
    count=$((count + 1))
    if ! grep -qxF -- "$name" "$tests"; then
        echo "$page: no such test: $name"
        status=1
    elif [ -n "$log" ] && ! grep -qxF -- "$name" "$ran"; then
        echo "$page: did not run: $name"
        status=1
    fi
done <"$names"
if [ "$count" = 0 ]; then
    echo "$page: names no test"
    status=1
fi
echo "$page: $count tests named"
exit "$status"
