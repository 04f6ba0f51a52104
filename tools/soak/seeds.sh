#!/usr/bin/env bash
# seeds.sh FIRST LAST [SECONDS] [PARALLEL]: runs the soak test with many seeds and prints a line for each. Fails if
# any run fails.
set -euo pipefail
cd "$(dirname "$0")/../.."
seconds=${3:-15}
parallel=${4:-4}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# Uses a copy, so that a concurrent build doesn't replace the program of running processes.
cp build/apps/foxwingd "$folder/foxwingd"
run_seed() {
    local seed=$1 block=$2
    timeout 180 python3 tools/soak/soak.py --daemon "$folder/foxwingd" --seed "$seed" --seconds "$seconds" \
        --block "$block" >"$folder/$seed.out" || true
    grep -E 'VIOLATION|^seed' "$folder/$seed.out" || echo "seed $seed: no result"
}
run_seeds() {
    for ((seed = $1 + $3; seed <= $2; seed += parallel)); do
        run_seed "$seed" "$3"
    done
}
for ((block = 0; block < parallel; ++block)); do
    run_seeds "$1" "$2" "$block" &
done | tee "$folder/results"
wait
! grep -E 'VIOLATION|no result' "$folder/results"
