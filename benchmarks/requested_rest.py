"""Compares rules by which entries share that an instance requested rest.

One of three instances rejects requests and requests 2 s of rest; each request may be sent to one
instance only. Usage: .venv/bin/python benchmarks/requested_rest.py
"""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "tools")]

from lib import limit_fleet  # noqa: E402
from spoolhead._internal.policy import requested_rest  # noqa: E402

SIZES = ((8, 3), (24, 3), (65, 4), (350, 15))
RULES = (("each by itself", 10**6), ("all at the first", 1), ("all at the second", 2))
REST_MS = 2_000
DURATION_S = 8.0


def _simulate(entries, halls, rejected_entries):
    fleet = limit_fleet.LimitFleet(entries=entries, halls=halls)
    instance = fleet.upstreams[fleet.instances[0]]
    fleet.begin_traffic(2 * max(50, entries))
    fleet.run(1.0)
    instance.rest_ms = REST_MS
    instance.rejected_entries = rejected_entries
    refused, arrived = len(fleet.refused), len(instance.arrivals)
    served = len(fleet.served)
    fleet.run(DURATION_S)
    refused = len(fleet.refused) - refused
    served = len(fleet.served) - served
    return refused, (len(instance.arrivals) - arrived) / (refused + served)


def main():
    """Print a table for an instance that rejects all entries, and for one that rejects one."""
    for text, rejected_entries in (("all entries", None), ("one entry", {0})):
        print(f"\nturned away: {text}")
        print("| entries | way | refused in 8 s | its share |\n|---|---|---|---|")
        for entries, halls in SIZES:
            for name, reporters in RULES:
                requested_rest.MIN_REPORTERS = reporters
                refused, share = _simulate(entries, halls, rejected_entries)
                print(f"| {entries} | {name} | {refused} | {share:.2f} |", flush=True)


if __name__ == "__main__":
    main()
