#!/usr/bin/env bash
# The demo: builds foxwing, starts it with a fake endpoint, and shows each feature with its answer.
set -euo pipefail
cd "$(dirname "$0")"
bash tools/build.sh | tail -n 1

rm -rf build/demo-data
build/tests/standin_endpoint 7201 &
build/apps/foxwingd --settings demo/foxwing.toml 2>build/demo.log &
trap 'kill $(jobs -p) 2>/dev/null; wait 2>/dev/null' EXIT
for _ in $(seq 100); do
    curl -fs http://127.0.0.1:7001/readyz >/dev/null && break
    sleep 0.1
done

run() { # shows a command, its answer and its exit code
    printf '\n$ foxwing %s\n' "$*"
    local code=0
    build/apps/foxwing "$@" || code=$?
    printf '(exit code %s)\n' "$code"
}

export FOXWING_TOKEN=demo-operator
echo; echo "== An operator watches, and declares a service and two teams"
build/apps/foxwing watch --count 3 >build/demo-watch.log &
watch=$!
run apply demo/declarations.toml
wait $watch
echo; echo "What the watch saw:"; cat build/demo-watch.log
for _ in $(seq 100); do
    build/apps/foxwing show service/habla-svc | grep -q '"inForce" : true' && break
    sleep 0.1
done
run show service/habla-svc
run status

export FOXWING_TOKEN=archivo.demo-secret
echo; echo "== A caller submits a job of three tasks and gets one whole answer"
id=$(cat /proc/sys/kernel/random/uuid); ms=$(printf '%012x' "$(date +%s%3N)")
id="${ms:0:8}-${ms:8:4}-7${id:15:21}"
job=(submit --service habla-svc --class align --submission "$id")
run "${job[@]}" '{"sleepMs":50,"echo":"uno"}' '{"sleepMs":80,"echo":"dos"}' '{"sleepMs":20,"echo":"tres"}'
echo; echo "== The same submission again: nothing starts twice, the answer is the same"
run "${job[@]}" '{"sleepMs":50,"echo":"uno"}' '{"sleepMs":80,"echo":"dos"}' '{"sleepMs":20,"echo":"tres"}'
echo; echo "== The same id for other work is a conflict"
run "${job[@]}" '{"sleepMs":50,"echo":"otro"}'
echo; echo "== A single request that must not run twice"
run request --service habla-svc --class hold '{"sleepMs":30,"echo":"held"}'
echo; echo "== Refused, and certain not to have run"
run request --service no-such-service '{}'
run request --service habla-svc --deadline 50 --declared 200 '{}'
echo; echo "== A task that fails: the job fails as a whole"
run submit --service habla-svc '{"echo":"fine"}' '{"fail":true}'
echo; echo "== Cancelled while it runs"
id="${ms:0:8}-${ms:8:4}-7${id:15:20}f"
build/apps/foxwing submit --service habla-svc --submission "$id" --wait 0 '{"sleepMs":5000}'
run cancel --wait 1000 "$id"
echo; echo "== Another team sees nothing of it"
FOXWING_TOKEN=taller.demo-secret run fetch "$id"
echo; echo "== What the endpoint saw: every start once"
curl -fs http://127.0.0.1:7201/starts
echo; echo "== Some of the metrics"
curl -fs http://127.0.0.1:7001/metrics | grep -E '^foxwing_(starts|replies|claims_granted|response_ms_quantile)'
