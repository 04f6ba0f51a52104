#!/usr/bin/env bash
# Measures the scaling figures of docs/CAPACITY.md: processor time, memory and bytes of control per node, processor
# time and memory of an entry and an agent per start, and memory per claim.
set -euo pipefail
cd "$(dirname "$0")/.."
source bench/cluster.sh
trap cluster_stop EXIT
dir=$(mktemp -d)/cluster
cpu_ms() { awk '{print ($14 + $15) * 10}' "/proc/$(cluster_pid "$1")/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$(cluster_pid "$1")/status"; }

echo "== control: one host, agents with a heartbeat per second for 8 s"
for agents in 250 500 1000 2000; do
    cluster_start "$dir" 1 0 8
    cluster_declare
    before=$(cpu_ms control0)
    line=$(build/bench/heartbeats 127.0.0.1:7300 "a secret for one benchmark" "$agents" 8 7290)
    after=$(cpu_ms control0)
    echo "$line; control: $(((after - before) / 9)) ms of processor a second, $(rss_kb control0) kB; entry0: $(rss_kb entry0) kB"
    cluster_stop
done

echo "== entry and agents: 10 s at each rate, jobs of 8 tasks of 20 ms, 8 agents of 32 slots"
cluster_start "$dir" 1 8 32
cluster_declare
for rate in 50 100 200; do
    { echo "urls = $(cluster_urls)"; echo "metrics_urls = $(cluster_metrics_urls)"; cat <<TOML
duration = "10s"
[[mix]]
class = "jobs"
service = "svc"
token = "a.secret"
rate = $rate.0
fewest_tasks = 8
mean = "20ms"
TOML
    } >"$dir/rate.toml"
    e=$(cpu_ms entry0) a=$(cpu_ms agent0) m=$(rss_kb entry0) n=$(rss_kb agent0)
    c=$(curl -fs http://127.0.0.1:7350/metrics | awk '/^foxwing_claims_held/ {print $2}')
    build/apps/foxwing load "$dir/rate.toml" | grep -E '^(all|starts)'
    c2=$(curl -fs http://127.0.0.1:7350/metrics | awk '/^foxwing_claims_held/ {print $2}')
    echo "rate $((rate * 8)) starts/s: entry0 $((($(cpu_ms entry0) - e) / 10)) ms a second, $(($(rss_kb entry0) - m)) kB more for $((c2 - c)) jobs; agent0 $((($(cpu_ms agent0) - a) / 10)) ms a second for an eighth of the starts, $(($(rss_kb agent0) - n)) kB more"
done
before=$(cpu_ms agent0)
sleep 10
echo "agent0 at rest: $((($(cpu_ms agent0) - before) / 10)) ms a second, $(rss_kb agent0) kB; entry0 $(rss_kb entry0) kB"
