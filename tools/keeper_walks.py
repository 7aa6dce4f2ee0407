"""Plays many random walks of the keepers' consensus and counts the ones that break a promise.

Usage: PYTHONPATH=tests:tools .venv/bin/python tools/keeper_walks.py SCENARIO FIRST_SEED COUNT
"""

import collections
import sys

from lib import keeper_walk


def main():
    """Play the seeds and print what broke, with the first seeds of each kind."""
    name, first, count = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    names = list(keeper_walk.SCENARIOS) if name == "each" else [name]
    for scenario in names:
        broken = collections.defaultdict(list)
        for seed in range(first, first + count):
            try:
                keeper_walk.SCENARIOS[scenario](seed)
            except AssertionError as error:
                broken[str(error).splitlines()[0]].append(seed)
        total = sum(len(seeds) for seeds in broken.values())
        print(f"{scenario}: {total} of {count} broken", flush=True)
        for text, seeds in sorted(broken.items()):
            print(f"    {text}: {len(seeds)}, seeds {seeds[:8]}", flush=True)


if __name__ == "__main__":
    main()
