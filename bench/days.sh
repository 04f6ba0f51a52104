#!/usr/bin/env bash
# days.sh BENCH SITE [SEED...]: runs every day of deploy/days on a site and prints a line for each.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
site=$2
shift 2
run_day() {
    local day=$1 seed=$2
    local report
    report=$("$bench" run "$site" "deploy/days/$day.toml" --seed "$seed" \
        --why "own day $day, seed $seed: do all rules hold" 2>&1) || true
    printf '%s seed %s: %s\n' "$day" "$seed" "$(grep -E "^$day " <<<"$report" | tail -1)"
    grep -E '^ *(LIMIT|TWICE|ORDER|ROUTE|BUDGET|GANG|UNASKED|REFUSED|CONFIG|DRAIN|LOST|RECOVER|MIXED)' \
        <<<"$report" | head -5 || true
}
"$bench" build >/dev/null
for seed in "${@:-7}"; do
    for file in deploy/days/*.toml; do
        run_day "$(basename "$file" .toml)" "$seed" &
        while [ "$(jobs -rp | wc -l)" -ge 5 ]; do wait -n; done
    done
done
wait
