#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-$folder
[ -x "$program" ] || exit 2
exec "$program" "review/$folder"
