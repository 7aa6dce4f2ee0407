"""Compares ways of placing generations at engines of uneven pace, over several seeds.

Usage: PYTHONPATH=src:tests python benchmarks/run_placement.py [--seeds 6] [--for-s 30]
"""

import argparse
import statistics
import sys

from lib import decoding_engines
from spoolhead._internal.policy import run_placement

QUICK_BELOW = 0.9
"""Typical pace below which an engine is quick, for the hard split."""
MISPLACED_COST = 10.0

compute_placement = run_placement.compute_placement


def _split(engine, upstream, generation, pace):
    """Long answers at quick engines first, brief ones elsewhere first."""
    placement = compute_placement(engine, upstream, generation, pace)
    is_long = run_placement.is_long_answer(engine, generation)
    is_misplaced = is_long != (pace.typical < QUICK_BELOW)
    placement.risk_cost = MISPLACED_COST * is_misplaced
    placement.harm_cost = 0.0
    return placement


def _without(*parts):
    def _compute(engine, upstream, generation, pace):
        placement = compute_placement(engine, upstream, generation, pace)
        for part in parts:
            setattr(placement, part, 0.0)
        return placement

    return _compute


def _by_typical_pace(engine, upstream, generation, pace):
    typical = run_placement.Pace(pace.typical, pace.typical, pace.slow)
    return compute_placement(engine, upstream, generation, typical)


WAYS = {
    "no pace known": (None, compute_placement, {}),
    "present pace": (0.0, compute_placement, {}),
    "pace 0.5 s old": (0.5, compute_placement, {}),
    "typical pace": (0.0, _by_typical_pace, {}),
    "hard split": (0.0, _split, {}),
    "first token only": (0.0, _without("risk_cost", "harm_cost"), {}),
    "without risk": (0.0, _without("risk_cost"), {}),
    "without harm": (0.0, _without("harm_cost"), {}),
    "without shelter": (0.0, compute_placement, {"SHELTER_FACTOR": 0.0}),
}


def _play(pace_age_s, seed, for_s):
    long = decoding_engines.Kind(13.6, prompt_tokens=3_000, events=187, objective_ms=1_800)
    short = decoding_engines.Kind(15.3, prompt_tokens=2_200, events=2.5, objective_ms=1_500)
    play = decoding_engines.UnevenEngines(
        [long, short], engines=28, pace_age_s=pace_age_s, seed=seed
    )
    play.run(for_s)
    return play.get_spoilt_fraction(long), play.get_first_ms(long), play.get_first_ms(short)


def main():
    """Play each way and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--for-s", type=float, default=30.0)
    options = parser.parse_args()
    sys.stdout.write("way: long answers with a long pause; first tokens p95, long and short\n")
    for name, (pace_age_s, compute, constants) in WAYS.items():
        run_placement.compute_placement = compute
        before = {key: getattr(run_placement, key) for key in constants}
        for key, value in constants.items():
            setattr(run_placement, key, value)
        plays = [_play(pace_age_s, seed + 1, options.for_s) for seed in range(options.seeds)]
        for key, value in before.items():
            setattr(run_placement, key, value)
        spoilt, long_ms, short_ms = zip(*plays, strict=True)
        error = statistics.stdev(spoilt) / len(spoilt) ** 0.5 if len(spoilt) > 1 else 0.0
        sys.stdout.write(
            f"{name}: {statistics.mean(spoilt):.3f} +- {error:.3f};"
            f" {statistics.mean(long_ms):.0f} ms, {statistics.mean(short_ms):.0f} ms\n"
        )
        sys.stdout.flush()


if __name__ == "__main__":
    main()
