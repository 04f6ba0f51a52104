#!/usr/bin/env bash
# Control under load and leader failures: changes per second, time to accept a change, time until it is applied
# everywhere, and time without a leader. Fails if an accepted change is lost after kill -9 of a leader.
#
#   bench/control.sh [DELAY] [KILLS]      DELAY is added to each synced write, e.g. 4ms
set -euo pipefail
cd "$(dirname "$0")/.."
source bench/cluster.sh
trap cluster_stop EXIT
delay=${1:-0ms}
kills=${2:-6}
dir=$(mktemp -d)/cluster
cluster_start "$dir" 2 4 8 "$delay" 3
cluster_declare
export FOXWING_URL FOXWING_TOKEN=bench-operator
FOXWING_URL=$(cluster_control_url)
foxwing=build/apps/foxwing
spec='{"kind":"service","name":"NAME","spec":{"mostTasks":NUMBER}}'
now() { date +%s%N; }

echo "== 300 changes, one after the other, each a call of the command line; and 8 writers at once"
: >"$dir/durations"
for i in $(seq 300); do
    echo "${spec//NAME/serial}" | sed "s/NUMBER/$i/" >"$dir/change.json"
    begin=$(now)
    $foxwing apply "$dir/change.json" >/dev/null
    echo $(((now_end = $(now)) - begin)) >>"$dir/durations"
done
sort -n "$dir/durations" | awk '{v[NR] = $1 / 1e6} END {printf "p50 %.1f ms, p99 %.1f ms, with the start of the program\n", v[int(NR / 2)], v[int(NR * 0.99)]}'
begin=$(now)
for writer in $(seq 8); do
    (
        for i in $(seq 100); do
            echo "${spec//NAME/writer$writer}" | sed "s/NUMBER/$i/" >"$dir/change$writer.json"
            $foxwing apply "$dir/change$writer.json" >/dev/null
        done
    ) &
    writers[$writer]=$!
done
for pid in "${writers[@]}"; do wait "$pid"; done
echo "8 writers: $((800 * 1000000000 / ($(now) - begin))) changes/s"

echo "== from accepted to applied everywhere, 10 times"
for i in $(seq 10); do
    echo "${spec//NAME/forced}" | sed "s/NUMBER/$i/" >"$dir/change.json"
    $foxwing apply "$dir/change.json" >/dev/null
    begin=$(now)
    until $foxwing --json show service/forced | grep -q '"inForce":true'; do sleep 0.02; done
    echo $((($(now) - begin) / 1000000))
done | sort -n | awk '{v[NR] = $1} END {print "median " v[5] " ms, longest " v[NR] " ms"}'

echo "== $kills kills of the leader under a writer and a watcher"
revision=$($foxwing --json show all | grep -o '"revision":[0-9]*}$' | grep -o '[0-9]*')
$foxwing watch --json --from "$revision" >"$dir/watched" 2>/dev/null &
watcher=$!
(
    for i in $(seq 100000); do
        echo "${spec//NAME/loop$i}" | sed "s/NUMBER/1/" >"$dir/loop.json"
        if $foxwing apply "$dir/loop.json" >"$dir/loop.out" 2>/dev/null; then echo "loop$i"; fi
    done >"$dir/accepted"
) &
writer=$!
for _ in $(seq "$kills"); do
    sleep 2
    leader=$($foxwing --json members | grep -o '"leader":"[^"]*"' | cut -d'"' -f4)
    [ -n "$leader" ] || continue
    count=$(wc -l <"$dir/accepted")
    kill -9 "$(cluster_pid "$leader")"
    begin=$(now)
    until [ "$(wc -l <"$dir/accepted")" -gt "$((count + 1))" ]; do sleep 0.01; done
    echo "$leader killed: changes are accepted again after $((($(now) - begin) / 1000000)) ms"
    cluster_run "$leader"
done
sleep 2
kill $writer 2>/dev/null || true
sleep 2
kill $watcher 2>/dev/null || true
$foxwing --json show service | grep -o '"name":"loop[0-9]*"' | cut -d'"' -f4 | sort >"$dir/present"
lost=$(sort "$dir/accepted" | comm -23 - "$dir/present" | wc -l)
unseen=$(sort "$dir/accepted" | comm -23 - <(grep -o '"name":"loop[0-9]*"' "$dir/watched" | cut -d'"' -f4 | sort) | wc -l)
order=$(grep -o '"revision":[0-9]*' "$dir/watched" | cut -d: -f2 | awk 'NR > 1 && $1 != last + 1 {bad++} {last = $1} END {print bad + 0}')
echo "accepted $(wc -l <"$dir/accepted"), lost $lost, not seen by the watcher $unseen, out of order or doubled $order"
[ "$lost" = 0 ] && [ "$unseen" = 0 ] && [ "$order" = 0 ]
