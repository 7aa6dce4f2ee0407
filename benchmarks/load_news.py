"""Measures the traffic of the load broadcast and the age of known loads, by size of the fleet.

Runs the real classes in one process with simulated time (tests/lib/load_fleet.py), so results are
reproducible. Usage: .venv/bin/python benchmarks/load_news.py
"""

import pathlib
import statistics
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests"))

from lib import load_fleet  # noqa: E402

LINK_BYTES_PER_MS = 625
"""Bytes per ms of an entry's link of 5 Mbit/s."""
SECONDS = 6.0
SIZES = (
    (8, 3, 3, 8, 17),
    (24, 3, 5, 14, 10),
    (77, 3, 6, 27, 90),
    (195, 5, 5, 37, 82),
    (350, 15, 7, 200, 575),
)
"""Entries, halls, keepers, instances, requests per second. The last has an eighth of the target's
1,600 instances and 4,600 requests/s, since the simulation's run time grows with their product."""


def main() -> None:
    """Print a row for each fleet size."""
    print(
        "entries halls keepers instances req/s | entry B/s, burst ms | hub KB/s | age p50, p99 ms"
    )
    for entries, halls, keepers, instances, requests_per_s in SIZES:
        made = load_fleet.LoadFleet(
            entries=entries, halls=halls, keepers=keepers, instances=instances
        )
        made.run(2.0)
        made.clear_traffic()
        began_s = time.perf_counter()
        made.begin_load(requests_per_s, duration_s=3.0)
        made.run(SECONDS)
        took_s = time.perf_counter() - began_s
        mean, burst = made.get_traffic(made.entry_processes, SECONDS)
        hub_mean, _ = made.get_traffic(made.hubs, SECONDS)
        ages_ms = statistics.quantiles(made.ages_ms, n=100)
        print(
            f"{entries:7} {halls:5} {keepers:7} {instances:9} {requests_per_s:5} |"
            f" {mean:9.0f}, {burst / LINK_BYTES_PER_MS:8.2f} | {hub_mean / 1000:8.0f} |"
            f" {statistics.median(made.ages_ms):.0f}, {ages_ms[98]:.0f}   ({took_s:.0f} s)"
        )


if __name__ == "__main__":
    main()
