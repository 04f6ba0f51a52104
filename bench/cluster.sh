# Functions for benchmarks and fault tests: a cluster of real processes on this host.
#
#   source bench/cluster.sh
#   cluster_start FOLDER ENTRIES AGENTS SLOTS
#   cluster_declare                # teams a and b, service svc
#   cluster_stop
#
# Ports from 7300 up. Process ids are kept in FOLDER/NAME.pid.

cluster_node() { # name, roles, inner port, outer port, extra settings
    cat >"$cluster_dir/$1.toml" <<TOML
[node]
id = "$1"
data_centre = "${6:-oviedo}"
data_folder = "$cluster_dir/$1.data"
roles = [$2]
[listen]
inner = "127.0.0.1:$3"
outer = "127.0.0.1:$4"
[cluster]
secret = "a secret for one benchmark"
$cluster_control
$5
[log]
level = "info"
TOML
    cluster_run "$1"
}

cluster_run() { # name: starts or restarts a node
    "$cluster_build/apps/foxwingd" --settings "$cluster_dir/$1.toml" >>"$cluster_dir/$1.log" 2>&1 &
    echo $! >"$cluster_dir/$1.pid"
}

cluster_pid() { cat "$cluster_dir/$1.pid"; }

cluster_start() { # folder, entries, agents, slots [journal delay] [control hosts]
    cluster_dir=$1
    cluster_entries=$2
    cluster_agents=$3
    cluster_controls=${6:-1}
    cluster_build=${cluster_build:-build}
    rm -rf "$cluster_dir"
    mkdir -p "$cluster_dir"
    local operator salt=5f0c3a1e
    operator=$(printf '%s:bench-operator' $salt | sha256sum | cut -d' ' -f1)
    cluster_control=""
    for i in $(seq 0 $((cluster_controls - 1))); do
        cluster_control+=$(printf '\n[[cluster.control]]\nid = "control%s"\naddress = "127.0.0.1:%s"\n' "$i" $((7300 + i)))
        cluster_control+=$'\n'
    done
    local control="[control]
operator_salt = \"$salt\"
operator_token_hash = \"$operator\"
journal_added_delay = \"${5:-0ms}\"
bootstrap = $([ "$cluster_controls" -gt 1 ] && echo true || echo false)"
    for i in $(seq 0 $((cluster_controls - 1))); do
        cluster_node "control$i" '"control"' $((7300 + i)) $((7305 + i)) "$control"
    done
    for i in $(seq 0 $((cluster_entries - 1))); do
        cluster_node "entry$i" '"entry"' $((7310 + i)) $((7350 + i)) "${cluster_entry_extra:-}" "dc$((i % 3))"
    done
    for i in $(seq 0 $((cluster_agents - 1))); do
        "$cluster_build/tests/standin_endpoint" $((7600 + i)) ${cluster_standin_mode:-} >"$cluster_dir/endpoint$i.log" 2>&1 &
        echo $! >"$cluster_dir/endpoint$i.pid"
        cluster_node "agent$i" '"agent"' $((7400 + i)) $((7500 + i)) "[agent]
endpoint = \"http://127.0.0.1:$((7600 + i))\"
service = \"svc\"
slots = $4" "dc$((i % 3))"
    done
}

cluster_wait_ready() {
    for i in $(seq 0 $((cluster_entries - 1))); do
        for _ in $(seq 150); do
            curl -fs "http://127.0.0.1:$((7350 + i))/readyz" >/dev/null && break
            sleep 0.1
        done
    done
}

cluster_declare() {
    cat >"$cluster_dir/declarations.toml" <<TOML
[[resource]]
kind = "service"
name = "svc"
spec = { mostTasks = 220 }
[[resource]]
kind = "team"
name = "a"
spec = { salt = "a1b2c3d4", tokenHash = "$(printf 'a1b2c3d4:secret' | sha256sum | cut -d' ' -f1)" }
[[resource]]
kind = "team"
name = "b"
spec = { salt = "b2c3d4e5", tokenHash = "$(printf 'b2c3d4e5:secret' | sha256sum | cut -d' ' -f1)" }
TOML
    for _ in $(seq 50); do
        "$cluster_build/apps/foxwing" apply --url "$(cluster_control_url)" --token bench-operator \
            "$cluster_dir/declarations.toml" >/dev/null 2>&1 && break
        sleep 0.1
    done
    cluster_wait_ready
    sleep 1.5 # until the declarations are applied everywhere
}

cluster_control_url() { # all control hosts, for the command line
    local list=""
    for i in $(seq 0 $((cluster_controls - 1))); do list+="http://127.0.0.1:$((7305 + i)),"; done
    echo "${list%,}"
}

cluster_urls() { # entry URLs as a TOML list
    local list=""
    for i in $(seq 0 $((cluster_entries - 1))); do list+="\"http://127.0.0.1:$((7350 + i))\", "; done
    echo "[$list]"
}

cluster_metrics_urls() {
    local list=""
    for i in $(seq 0 $((cluster_entries - 1))); do list+="\"http://127.0.0.1:$((7350 + i))\", "; done
    for i in $(seq 0 $((cluster_agents - 1))); do list+="\"http://127.0.0.1:$((7500 + i))\", "; done
    echo "[$list]"
}

cluster_mixed_load() { # seconds: jobs of team a and single requests of team b, 20 of each per second
    cat <<TOML
urls = $(cluster_urls)
duration = "${1}s"
[[mix]]
class = "jobs"
service = "svc"
token = "a.secret"
rate = 20.0
fewest_tasks = 1
most_tasks = 6
mean = "150ms"
spread = "lognormal"
deadline = "15s"
[[mix]]
class = "holds"
service = "svc"
token = "b.secret"
rate = 20.0
mean = "60ms"
request = true
deadline = "10s"
TOML
}

cluster_doubled() { # starts on standard input: prints tasks that were started more than once, counting all attempts
    awk '{split($1, p, "/"); n[p[3] "/" p[4] "/" p[5]] += $2} END {for (k in n) if (n[k] > 1) print k, n[k]}'
}

cluster_stop() {
    disown -a 2>/dev/null
    for file in "$cluster_dir"/*.pid; do
        kill -CONT "$(cat "$file")" 2>/dev/null
        kill -9 "$(cat "$file")" 2>/dev/null
    done
    sleep 0.3
    return 0
}
