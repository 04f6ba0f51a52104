#!/usr/bin/env bash
# seeds.sh FIRST LAST [SECONDS] [SIDE-BY-SIDE]: plays the soak with many seeds, a line for each; fails if one does.
set -euo pipefail
cd "$(dirname "$0")/../.."
seconds=${3:-15}
beside=${4:-4}
play() {
    local seed=$1 block=$2
    timeout 180 python3 tools/soak/soak.py --daemon build/apps/foxwingd --seed "$seed" --seconds "$seconds" \
        --block "$block" | grep -E 'VIOLATION|^seed' || echo "seed $seed: no verdict"
}
lane() {
    for ((seed = $1 + $3; seed <= $2; seed += beside)); do
        play "$seed" "$3"
    done
}
for ((block = 0; block < beside; ++block)); do
    lane "$1" "$2" "$block" &
done | tee /tmp/foxwing-soak-seeds.txt
wait
! grep -qE 'VIOLATION|no verdict' /tmp/foxwing-soak-seeds.txt
