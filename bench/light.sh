#!/usr/bin/env bash
# Light load: the latency that foxwing adds to 100 ms tasks, and the starts per second that one entry handles.
set -euo pipefail
cd "$(dirname "$0")/.."
source bench/cluster.sh
trap cluster_stop EXIT
dir=$(mktemp -d)/cluster

experiment() { # file, then mix lines on standard input
    { echo "urls = $(cluster_urls)"; echo "metrics_urls = $(cluster_metrics_urls)"; cat; } >"$1"
}

cluster_start "$dir" 1 4 8
cluster_declare
echo "== 100 ms requests at 10 a second, against direct calls to the stand-in"
experiment "$dir/light.toml" <<TOML
baseline_url = "http://127.0.0.1:7600"
duration = "10s"
[[mix]]
class = "light"
service = "svc"
token = "a.secret"
rate = 10.0
mean = "100ms"
request = true
TOML
build/apps/foxwing load "$dir/light.toml"
echo "== 50 ms jobs of 4 tasks at 10 a second"
experiment "$dir/jobs.toml" <<TOML
duration = "10s"
[[mix]]
class = "jobs"
service = "svc"
token = "a.secret"
rate = 10.0
fewest_tasks = 4
mean = "50ms"
TOML
build/apps/foxwing load "$dir/jobs.toml"
echo "== agents at rest: processor share and memory over 5 s"
before=$(awk '{print $14 + $15}' "/proc/$(cluster_pid agent0)/stat")
sleep 5
after=$(awk '{print $14 + $15}' "/proc/$(cluster_pid agent0)/stat")
echo "agent0: $(( (after - before) * 2 ))e-3 of a core, $(awk '/VmRSS/ {print $2}' "/proc/$(cluster_pid agent0)/status") kB resident"
cluster_stop

echo "== one entry, 8 agents of 16 slots, 1 ms tasks in jobs of 16, 4,000 starts a second offered"
cluster_start "$dir" 1 8 16
cluster_declare
experiment "$dir/heavy.toml" <<TOML
duration = "10s"
[[mix]]
class = "heavy"
service = "svc"
token = "a.secret"
rate = 250.0
fewest_tasks = 16
mean = "1ms"
TOML
build/apps/foxwing load "$dir/heavy.toml"
