#!/usr/bin/env bash
# Runs one deployment with 8 members, on stand-ins of the key-value service, the targets and the
# workers. Sends its traffic, takes a data centre out of service and brings it back, and prints the
# outcomes of the requests, the gap of each team to its share while pools were full, and the use of
# capacity during the absence. Then stops all processes and ends.
# Usage: examples/run-demo.sh [blyglass|kragenwerk] [BUILD_DIR] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-blyglass}
bin=${2:-build}/bin
seconds=${3:-36}
folder=examples/$deployment
work=$(mktemp -d)
pids=()

stop() {
    local pid
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop EXIT

start() { # LOG COMMAND...
    local log=$1
    shift
    "$@" >"$work/$log.log" 2>&1 &
    pids+=($!)
}

counts() { # runs and repeats at all targets
    exec 3<>"/dev/tcp/127.0.0.1/$((base + 301))"
    printf 'GET /counts HTTP/1.1\r\nHost: targets\r\nConnection: close\r\n\r\n' >&3
    grep -oE '"(runs|repeats)":[0-9]+' <&3 | tr '\n' ' '
    exec 3>&-
}

case $deployment in
blyglass) base=18000 targets=21000 workers=22000 centre=floro ;;
kragenwerk) base=19000 targets=23000 workers=24000 centre=nuernberg ;;
*) echo "unknown deployment: $deployment" >&2; exit 2 ;;
esac
target_count=$(grep -c 'role: target' "$folder/declarations/30-hosts.yaml")

start store "$bin/standin_store" --listen "127.0.0.1:$((base + 300))"
start targets "$bin/standin_targets" --first-port "$targets" --count "$target_count" \
    --control "127.0.0.1:$((base + 301))"
worker_count=$(grep -c 'role: worker' "$folder/declarations/30-hosts.yaml")
start workers "$bin/standin_workers" --first-port "$workers" --count "$worker_count" \
    --platform "127.0.0.1:$((base + 302))"
members=""
for i in 1 2 3 4 5 6 7 8; do
    start "entry-$i" "$bin/shallotproxyd" --settings "$folder/members/entry-$i.yaml"
    members+="127.0.0.1:$((base + i)),"
    SHALLOTPROXY_MEMBERS=${SHALLOTPROXY_MEMBERS:+$SHALLOTPROXY_MEMBERS,}127.0.0.1:$((base + 100 + i))
done
export SHALLOTPROXY_MEMBERS SHALLOTPROXY_OPERATOR_KEY=demo-operator-key-$deployment
ctl=$bin/shallotctl

for _ in $(seq 50); do
    status=$("$ctl" --output json status 2>/dev/null || true)
    [ "$(grep -o '"name"' <<<"$status" | wc -l)" = 8 ] && grep -q '"fresh":true' <<<"$status" && break
    sleep 0.2
done
"$ctl" config check "$folder/declarations"
"$ctl" --yes config apply "$folder/declarations" | tail -n 1
streams=()
while read -r queue team rate work_ms; do
    [ -n "$queue" ] || continue
    key=-
    if [ "$team" != open ]; then
        if [ ! -e "$work/$team.key" ]; then
            "$ctl" --yes key create "$team" | sed -n 's/^key (shown once): //p' >"$work/$team.key"
        fi
        key=$(cat "$work/$team.key")
    fi
    streams+=(--stream "$queue:$team:$key:$rate:$work_ms")
done <"$folder/traffic.txt"
"$ctl" status

"$bin/standin_callers" --members "${members%,}" --seconds "$seconds" "${streams[@]}" \
    >"$work/table.txt" 2>&1 &
callers=$!
sleep $((seconds / 3))
"$ctl" --yes --may-break-budget data-centre out "$centre" | tail -n 1
sleep $((seconds / 4))
"$ctl" --yes data-centre in "$centre" | tail -n 1
status=0
wait "$callers" || status=$?
echo
cat "$work/table.txt"
echo
"$ctl" --output json timeline >"$work/timeline"
"$bin/standin_report" --declarations "$folder/declarations" --timeline "$work/timeline"
echo
echo "runs at the targets: $(counts)"
echo "time line events: $(wc -l <"$work/timeline")"
exit "$status"
