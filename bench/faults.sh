#!/usr/bin/env bash
# Fault test with real processes: kills (-9), pauses and restarts entries, agents and control under load with
# resubmissions and cancellations, then compares the answers to callers with the starts that endpoints saw. Exit
# code 1 if a task started twice, an answer was wrong, or a job ran although it was reported as not run.
#
#   bench/faults.sh [SECONDS] [SEED] [CONTROL HOSTS]
set -euo pipefail
cd "$(dirname "$0")/.."
source bench/cluster.sh
trap cluster_stop EXIT
seconds=${1:-40}
RANDOM=${2:-1}
dir=$(mktemp -d)/cluster
cluster_start "$dir" 3 6 8 0ms "${3:-1}"
cluster_declare
{
    echo "metrics_urls = $(cluster_metrics_urls)"
    echo "resubmit_share = 0.2"
    echo "cancel_share = 0.05"
    echo 'drain = "40s"'
    cluster_mixed_load "$seconds"
} >"$dir/load.toml"
build/apps/foxwing load --outcomes "$dir/outcomes.csv" "$dir/load.toml" >"$dir/report.txt" &
load=$!

victims=(entry0 entry1 entry2 agent0 agent1 agent2 agent3 agent4 agent5 control0)
killed=0 stopped=0
end=$(($(date +%s) + seconds - 5))
while [ "$(date +%s)" -lt "$end" ]; do
    sleep "$((1 + RANDOM % 2)).$((RANDOM % 10))"
    name=${victims[$((RANDOM % ${#victims[@]}))]}
    if [ $((RANDOM % 2)) = 0 ]; then
        kill -9 "$(cluster_pid "$name")" 2>/dev/null || true
        killed=$((killed + 1))
        sleep "0.$((RANDOM % 9))"
        cluster_run "$name"
    else
        pid=$(cluster_pid "$name")
        kill -STOP "$pid" 2>/dev/null || true
        stopped=$((stopped + 1))
        (sleep "$((1 + RANDOM % 5))"; kill -CONT "$pid" 2>/dev/null) &
    fi
done
wait $load || true
cat "$dir/report.txt"

for i in $(seq 0 5); do curl -fs "http://127.0.0.1:$((7600 + i))/starts"; done >"$dir/starts.txt"
doubled=$(cluster_doubled <"$dir/starts.txt")
false_not_run=$(awk -F, 'NR == FNR {if ($2 == "not run" && $3 != "conflict" && $3 != "not-found") reported[$1] = 1; next}
    {split($0, p, "/"); if (p[4] in reported) print p[4]}' "$dir/outcomes.csv" "$dir/starts.txt" | sort -u)
echo "killed $killed, stopped $stopped; starts seen by endpoints: $(awk '{n += $2} END {print n}' "$dir/starts.txt")"
echo "started twice: $(printf '%s' "$doubled" | grep -c . || true); false \"not run\": $(printf '%s' "$false_not_run" | grep -c . || true)"
printf '%s\n%s\n' "$doubled" "$false_not_run" | grep . && exit 1
grep -q 'wrong answers 0' "$dir/report.txt"
