#!/usr/bin/env bash
# seeds.sh FIRST LAST [SECONDS] [SIDE-BY-SIDE]: plays the soak with many seeds, a line for each; fails if one does.
set -euo pipefail
cd "$(dirname "$0")/../.."
seconds=${3:-15}
beside=${4:-4}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# A copy: a build that goes on beside must not change the program under the processes.
cp build/apps/foxwingd "$folder/foxwingd"
play() {
    local seed=$1 block=$2
    timeout 180 python3 tools/soak/soak.py --daemon "$folder/foxwingd" --seed "$seed" --seconds "$seconds" \
        --block "$block" >"$folder/$seed.out" || true
    grep -E 'VIOLATION|^seed' "$folder/$seed.out" || echo "seed $seed: no verdict"
}
lane() {
    for ((seed = $1 + $3; seed <= $2; seed += beside)); do
        play "$seed" "$3"
    done
}
for ((block = 0; block < beside; ++block)); do
    lane "$1" "$2" "$block" &
done | tee "$folder/verdicts"
wait
! grep -E 'VIOLATION|no verdict' "$folder/verdicts"
