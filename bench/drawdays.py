#!/usr/bin/env python3
"""Generates random days from a table of faults and runs them on the users' bench.

    bench/drawdays.py BENCH SITE --days 24 --seed 1 [--side-by-side 6] [--keep FOLDER]

Each day has a few entries of FAULTS at random times, some of them twice, including kinds that the
site's own days lack. Prints a line for each day, with broken rules below it, and keeps the day's
file in FOLDER (default: the temporary folder) to repeat the day. Deterministic for a seed.

[SECTION] Faults
[SECTION] Generation
[SECTION] Runs
"""
import argparse
import concurrent.futures
import pathlib
import random
import re
import subprocess
import tempfile

# [SECTION] Faults

# The bench's kinds of faults, and for each field the values to choose from: the usual ones of the
# bench's list, and some well above.
FAULTS = [
    ("burst", {"x": [1.2, 1.5, 2.0], "for_s": [3, 6]}),
    ("shift", {"share": [0.3, 0.6], "for_s": [4, 8]}),
    ("give_up", {"share": [0.2, 0.5], "for_s": [4, 8]}),
    ("hot_key", {"share": [0.6, 0.9], "for_s": [4, 8]}),
    ("poison", {"share": [0.05, 0.2], "for_s": [3]}),
    ("srv_crash", {"share": [0.15, 0.3], "how": ["", "dark", "gone", "dark gone", "rack"], "for_s": [2, 5]}),
    ("srv_slow", {"share": [0.15, 0.3], "x": [4, 8], "for_s": [4, 8]}),
    ("srv_grey", {"share": [0.15, 0.3], "x": [0.4, 1.0], "for_s": [4, 8],
                  "how": ["errors", "shed", "busy", "hang", "reset", "mute", "slow"]}),
    ("srv_lying_health", {"share": [0.15], "how": ["errors", "hang", "reset", "bad"], "for_s": [5]}),
    ("srv_flap", {"share": [0.15, 0.3], "gap_s": [0.7, 1.5], "for_s": [6]}),
    ("release", {"share": [0.5], "x": [1, 3], "gap_s": [0.6, 1.0]}),
    ("scale_in", {"share": [0.15], "how": ["", "spot", "reclaim"]}),
    ("applied_late", {"x": [0.05, 0.3, 0.5], "how": ["orders", "all"], "for_s": [3, 6]}),
    ("answer_lost", {"share": [0.5], "x": [0.03, 0.3], "for_s": [5]}),
    ("node_kill", {"share": [0.2, 0.4], "on": ["front", "side", "core"], "how": ["", "power"], "for_s": [2, 4]}),
    ("node_freeze", {"share": [0.2], "on": ["front", "side", "core"], "for_s": [0.5, 1, 3]}),
    ("node_cut", {"share": [0.2], "on": ["front", "side"], "how": ["", "all", "servers"], "for_s": [1, 4]}),
    ("node_slow", {"share": [0.2], "on": ["front", "side", "core"], "x": [5], "for_s": [4]}),
    ("srv_cut", {"share": [0.2], "how": ["", "fronts", "some", "one_way", "reset"], "for_s": [4]}),
    ("roll_term", {"share": [0.5, 1.0], "on": ["front", "side", "core"], "gap_s": [1.0, 2.0], "how": ["", "busy"]}),
    ("reset_conns", {"share": [0.3, 0.8], "x": [0.5, 0.9], "on": ["front", "side", "core"]}),
    ("lossy", {"for_s": [4]}),
    ("herd_kill", {"share": [0.6], "how": ["", "power"], "for_s": [1, 2]}),
    ("core_cut", {"count": [1, 2], "how": ["", "leader", "split", "one_way", "behind", "leader refuse"], "for_s": [3, 5]}),
    ("disk_stall", {"count": [1, 2], "how": ["", "leader"], "for_s": [2, 4]}),
    ("disk_slow", {"count": [1, 2], "x": [30], "for_s": [4]}),
    ("disk_full", {"count": [1, 2], "for_s": [4]}),
    ("clock_step", {"share": [0.3, 0.6], "x": [2000, 20000], "how": ["", "back", "ahead"], "for_s": [4]}),
    ("after_ack_kill", {"how": ["", "kill", "timed", "taken"], "for_s": [2]}),
    ("after_ack_wipe", {"how": ["", "oldest"], "for_s": [2]}),
    ("seed_turnover", {"for_s": [3]}),
    ("replace_core", {"how": ["", "planned", "oldest"]}),
    ("ack_lost", {"x": [0.6], "for_s": [6]}),
    ("config_change", {"how": ["route", "timeout", "idle"]}),
    ("config_race", {"count": [2, 3], "gap_s": [1.0]}),
    ("config_storm", {"gap_s": [0.3], "for_s": [4]}),
    ("bad_config", {"count": [3], "gap_s": [0.6], "how": ["cut_short", "unknown_service", "same_place", "no_timeout",
                                                            "old_version", "same_version"]}),
    ("hup", {"share": [0.5], "gap_s": [1.0]}),
]

# Faults that only exist on sites with health checks.
HEALTH = {"srv_lying_health", "srv_flap"}

# Planned work, which a day lists separately from faults.
PLANNED = {"release", "scale_in", "roll_term", "config_change", "config_race", "config_storm", "bad_config", "hup",
           "seed_turnover", "replace_core"}

CLOSINGS = [None, "power_off_all", "kill_all", "wipe_after_ack"]

# [SECTION] Generation


def make_fault(random_source, kind, fields):
    entry = {"kind": kind, "at": round(random_source.uniform(1, 26), 2)}
    for field, values in fields.items():
        value = random_source.choice(values)
        if value != "":
            entry[field] = value
    return entry


def write_table(entry):
    cells = [f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}" for key, value in entry.items()]
    return "{ " + ", ".join(cells) + " }"


def make_day(seed, number, has_health):
    source = random.Random(f"{seed}/{number}")
    plan, faults = [], []
    candidates = [candidate for candidate in FAULTS if has_health or candidate[0] not in HEALTH]
    for kind, fields in source.sample(candidates, source.randint(3, 6)):
        for _ in range(source.choice([1, 1, 2])):
            (plan if kind in PLANNED else faults).append(make_fault(source, kind, fields))
    closing = source.choice(CLOSINGS)
    name = f"drawn-{seed}-{number}"
    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {source.randint(1, 10**8)}", "one = 1.0",
             "zero = 0.0", "goal = { floor = 0.1 }", "labels = []"]
    if closing:
        lines.append(f'closing = {{ kind = "{closing}", down_s = {source.choice([0.8, 1.5])} }}')
    for label, entries in (("plan", plan), ("faults", faults)):
        lines += [f"{label} = ["] + [f"  {write_table(entry)}," for entry in entries] + ["]"]
    return name, "\n".join(lines) + "\n"


# [SECTION] Runs

RULES = re.compile(r"^\s*(LIMIT|TWICE|ORDER|ROUTE|BUDGET|GANG|UNASKED|REFUSED|CONFIG|DRAIN|LOST|RECOVER|MIXED|AVAIL|"
                   r"HARM|ONE)\b")


def run_day(bench, site, path, name):
    process = subprocess.run([bench, "run", site, str(path), "--why", f"drawn day {name}: do all rules hold"],
                             capture_output=True, text=True, errors="replace")
    report = process.stdout + process.stderr
    rows = [line for line in report.splitlines() if line.startswith(name + " ")]
    broken = [line for line in report.splitlines() if RULES.match(line) or "rule broken" in line or "fault:" in line]
    return (rows or report.splitlines()[-1:] or ["nothing was printed"])[-1], broken


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--days", type=int, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--side-by-side", type=int, default=6)
    parser.add_argument("--keep", default=tempfile.gettempdir())
    options = parser.parse_args()
    subprocess.run([options.bench, "build"], check=True, capture_output=True)
    has_health = '"health"' in pathlib.Path(options.site).read_text()
    days = [make_day(options.seed, number, has_health) for number in range(options.days)]
    with concurrent.futures.ThreadPoolExecutor(options.side_by_side) as pool:
        results = {}
        for name, text in days:
            path = pathlib.Path(options.keep) / f"{name}.toml"
            path.write_text(text)
            results[name] = pool.submit(run_day, options.bench, options.site, path, name)
        failed = 0
        for name, result in results.items():
            row, broken = result.result()
            failed += bool(broken)
            print(row[:130])
            for line in broken[:4]:
                print("    " + line.strip()[:160])
    print(f"{options.days} days, {failed} with something broken")


if __name__ == "__main__":
    main()
