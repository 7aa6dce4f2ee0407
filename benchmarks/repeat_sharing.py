"""Compares ways to bound the repeats of all entries, over a simulated network.

Requests fail and are repeated while instances leave, whose runs have to move within two seconds.
Usage: .venv/bin/python benchmarks/repeat_sharing.py
"""

import logging
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "tools")]

from lib import repeat_fleet  # noqa: E402
from spoolhead._internal.policy import retry_allowance  # noqa: E402

SIZES = ((24, 3, 22), (61, 3, 57))
FAILED_SHARES = (0.3, 1.0)
SEEDS = (1, 2)
NOTICES = 6
RUNS_PER_ENTRY = 0.65
"""Runs of an instance that leaves, for each entry: 40 of 61 entries."""
PATIENCE_S = 2.0
RETRY_FRACTION = retry_allowance.RETRY_FRACTION


def _use_equal_parts(allowances):
    """Let each entry use its own part only."""
    allowances.connect(lambda key: None, is_current=lambda: False)


def _count_no_moves(allowances):
    """Let each entry use its own part only, and grant every move without counting it."""
    _use_equal_parts(allowances)
    try_acquire, record_sent = allowances.try_acquire, allowances.record_sent

    def _try_acquire(job, reason, fields):
        return reason is repeat_fleet.MOVE or try_acquire(job, reason, fields)

    def _record_sent(job, reason, fields):
        if reason is not repeat_fleet.MOVE:
            record_sent(job, reason, fields)

    allowances.try_acquire, allowances.record_sent = _try_acquire, _record_sent


def _leave_half(allowances):
    """Share all repeats, and leave half of the bound to moves."""
    retry_allowance.RETRY_FRACTION = 0.5


def _share(allowances):
    """Share all repeats, as the entries do."""


WAYS = {
    "equal parts, moves not counted": _count_no_moves,
    "equal parts": _use_equal_parts,
    "shared": _share,
    "shared, retries up to 0.5": _leave_half,
}


def _play(change, size, failed, seed, *, restarts):
    retry_allowance.RETRY_FRACTION = RETRY_FRACTION
    entries, halls, per_s = size
    fleet = repeat_fleet.RepeatFleet(entries=entries, halls=halls, seed=seed)
    for allowances in fleet.allowances:
        change(allowances)
    connect = fleet.connect

    def _connect(entry, **options):
        made = connect(entry, **options)
        change(made)
        return made

    fleet.connect = _connect
    fleet.run(11.0)
    fleet.begin_requests(per_s, fails=failed)
    fleet.run(10.0)
    runs = round(RUNS_PER_ENTRY * entries)
    moved = []
    for _ in range(NOTICES):
        moved.append(fleet.move_runs(runs, patience_s=PATIENCE_S))
        if restarts:
            for number in range(0, entries, 3):
                fleet.restart(number)
        fleet.run(2.5)
    fleet.run(3.0)
    retries = sum(reason is repeat_fleet.RETRY for _, reason in fleet.repeats)
    wanted = retries + fleet.rejected[repeat_fleet.RETRY]
    moved_share = sum(len(item) for item in moved) / (NOTICES * runs)
    return fleet.get_worst(), moved_share, retries / wanted


def main():
    """Print a row for each way and load."""
    logging.disable(logging.WARNING)
    print("| entries, failed, restarts | way | worst part of the bound | moved | retries granted |")
    print("|---|---|---|---|---|")
    for size in SIZES:
        for failed in FAILED_SHARES:
            for restarts in (False, True):
                for name, change in WAYS.items():
                    plays = [_play(change, size, failed, seed, restarts=restarts) for seed in SEEDS]
                    worst = max(play[0] for play in plays)
                    means = [sum(play[i] for play in plays) / len(plays) for i in (1, 2)]
                    load = f"{size[0]}, {failed}, {'yes' if restarts else 'no'}"
                    row = f"| {load} | {name} | {worst:.2f} | {means[0]:.2f} | {means[1]:.2f} |"
                    print(row, flush=True)


if __name__ == "__main__":
    main()
