#!/usr/bin/env bash
# Runs a case: run.sh FOLDER. Exits with 1 if its rule was broken, 0 if it held, 2 if it couldn't run.
set -uo pipefail
case=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
program="target/review-3/$(basename "$case")"
if [ ! -x "$program" ] || [ ! -x target/bin/shallotproxyd ]; then
    echo "build the system and run review/build-3.sh first"
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 5 118 "$program" "$case/record.txt" "$folder"
code=$?
[ "${KEEP_LOGS:-}" = "" ] || cp "$folder"/*.log "$KEEP_LOGS"
[ "$code" -le 1 ] || code=2
exit "$code"
