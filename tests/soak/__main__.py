"""Command line of the fault soak."""

import argparse
import concurrent.futures
import pathlib
import sys
import tempfile

from soak import run


def parse_seeds(text):
    """Parse a list of seeds such as ``3``, ``1-50`` or ``1,5,9-12``."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def _play(seed, folder):
    path = pathlib.Path(folder) / f"seed-{seed}"
    path.mkdir(parents=True)
    try:
        return run.run_seed(seed, path)
    except Exception as error:
        return [f"the run itself failed: {error!r}"], 0


def main(arguments):
    parser = argparse.ArgumentParser(prog="soak", description="A randomized fault soak.")
    parser.add_argument("--seeds", default="1-50", help="for example 3, 1-50 or 1,5,9-12")
    parser.add_argument("--jobs", type=int, default=3, help="runs at once")
    parser.add_argument("--folder", help="where logs stay; a new one if left out")
    options = parser.parse_args(arguments)
    folder = options.folder or tempfile.mkdtemp(prefix="soak-")
    print(f"logs in {folder}")
    failed = []
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        seeds = parse_seeds(options.seeds)
        for seed, (violations, count) in zip(
            seeds, pool.map(lambda seed: _play(seed, folder), seeds), strict=True
        ):
            print(f"seed {seed}: {count} requests, {len(violations)} broken", flush=True)
            for line in violations:
                print(f"  {line}")
            if violations:
                failed.append(seed)
    print(f"{len(seeds)} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
