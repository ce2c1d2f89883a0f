#!/usr/bin/env bash
# Plays scenario.cpp, see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
folder=$(mktemp -d)
timeout -k 1 118 build-review/case5 "$folder" "$here/record.txt" "${TROUBLE:-1}"
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] || status=2
exit "$status"
