"""Compares ways to share the room of engines among all entries, without a network.

A burst of 2.6 times the room for six seconds, at random entries. One workspace sends half of all.
Usage: .venv/bin/python benchmarks/shared_room.py [ENTRIES ...]
"""

import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "tools")]

from lib import room_fleet  # noqa: E402
from spoolhead._internal.policy import shared_queue  # noqa: E402

SIZES = (6, 24, 67)
BURST_S = 6.0
SEEDS = (1, 2)
LONG_LOAD = 2.4
SHORT_LOAD = 0.2
WORKSPACES = ("large",) * 20 + tuple(f"small-{number}" for number in range(20))
STRICT = shared_queue.Demand.get_ahead_tokens


def _get_random(demand, request, waiting_class):
    """Return the demand ahead as if all requests were in random order."""
    del waiting_class
    return demand.get_random_ahead_tokens(request)


def _play(way, entries, seed):
    engines = room_fleet.get_engine_count(entries)
    fleet = room_fleet.RoomFleet(
        entries=entries, engines=engines, shares_room=way != "as now", seed=seed
    )
    for kind, load in ((room_fleet.LONG, 0.7), (room_fleet.SHORT, 0.1)):
        fleet.begin_traffic(kind, kind.get_rate(load * engines), for_s=4.0, workspaces=WORKSPACES)
    fleet.run(4.0)
    since_s = fleet.clock()
    fleet.clear_traffic()
    for kind, load in ((room_fleet.LONG, LONG_LOAD), (room_fleet.SHORT, SHORT_LOAD)):
        rate = kind.get_rate(load * engines)
        fleet.begin_traffic(kind, rate, for_s=BURST_S, workspaces=WORKSPACES)
    fleet.run(BURST_S)
    until_s = fleet.clock()
    bytes_per_s, _ = fleet.get_traffic(fleet.entry_processes, BURST_S)
    hub_bytes_per_s = fleet.get_traffic(fleet.hubs, BURST_S)[0] / entries
    fleet.run(8.0)
    window = (since_s + 1.0, until_s)
    late = [
        run.started_s - run.arrived_s > run.kind.objective_ms / 1000
        for run in fleet.runs
        if run.started_s is not None and since_s <= run.arrived_s < until_s
    ]
    smalls = [
        fleet.get_served(since_s, until_s, workspace=name) for name in sorted(set(WORKSPACES[20:]))
    ]
    return {
        "unused": fleet.get_unused(*window),
        "over": fleet.get_overshoot(*window),
        "long": fleet.get_served(since_s, until_s, kind=room_fleet.LONG),
        "short": fleet.get_served(since_s, until_s, kind=room_fleet.SHORT),
        "all": fleet.get_served(since_s, until_s),
        "late": sum(late) / max(1, len(late)),
        "large use": fleet.get_usage("large", *window),
        "large": fleet.get_served(since_s, until_s, workspace="large"),
        "least small": min(smalls),
        "B/s sent": bytes_per_s,
        "B/s received": hub_bytes_per_s,
    }


def _main():
    sizes = [int(item) for item in sys.argv[1:]] or SIZES
    for entries in sizes:
        for way in ("as now", "random", "shared"):
            ahead = _get_random if way == "random" else STRICT
            shared_queue.Demand.get_ahead_tokens = ahead
            began_s = time.monotonic()
            results = [_play(way, entries, seed) for seed in SEEDS]
            means = {name: sum(r[name] for r in results) / len(results) for name in results[0]}
            text = ", ".join(f"{name} {value:.3f}" for name, value in means.items())
            print(
                f"{entries} entries, {way}: {text} ({time.monotonic() - began_s:.0f} s)", flush=True
            )


if __name__ == "__main__":
    _main()
