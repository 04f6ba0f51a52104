#!/usr/bin/env bash
# A rolling restart of every process under load: SIGTERM, wait for exit, start again. Exit code 1 if a job is
# lost or not completed, a task starts twice, or an answer is wrong.
set -euo pipefail
cd "$(dirname "$0")/.."
source bench/cluster.sh
trap cluster_stop EXIT
dir=$(mktemp -d)/cluster
cluster_start "$dir" 3 6 8 0ms 3
cluster_declare
{
    echo "follow_ready = true"
    echo "resubmit_share = 0.1"
    echo 'drain = "30s"'
    cluster_mixed_load 75
} >"$dir/load.toml"
build/apps/foxwing load --outcomes "$dir/outcomes.csv" "$dir/load.toml" >"$dir/report.txt" &
load=$!
sleep 3
for name in agent0 entry0 control0 agent1 agent2 entry1 control1 agent3 agent4 entry2 control2 agent5; do
    pid=$(cluster_pid "$name")
    kill -TERM "$pid"
    for _ in $(seq 150); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -0 "$pid" 2>/dev/null && echo "$name did not end within 15 s"
    cluster_run "$name"
    sleep 2
done
wait $load || true
cat "$dir/report.txt"
for i in $(seq 0 5); do curl -fs "http://127.0.0.1:$((7600 + i))/starts"; done >"$dir/starts.txt"
doubled=$(cluster_doubled <"$dir/starts.txt" | wc -l)
lost=$(awk '$1 == "all" {print $3 + $4 + $5}' "$dir/report.txt")
echo "started twice: $doubled; not complete: $lost"
[ "$doubled" = 0 ] && [ "$lost" = 0 ] && grep -q 'unanswered 0, wrong answers 0' "$dir/report.txt"
