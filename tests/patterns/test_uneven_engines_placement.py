"""Load pattern: engines of which a quarter works in half the time, and each of which is slow for
0.6 s now and then. Prompts of short and long answers are read between the decoding steps of long
ones, five engines leave each 3.3 s, and the traffic of each hall swings."""

import statistics

import pytest

from lib import decoding_engines

SEEDS = (1, 2, 3)
FOR_S = 20


class Result:
    """Means over all seeds.

    :param pace_age_s: age of the known paces; None if no pace is known.
    """

    def __init__(self, pace_age_s):
        long = decoding_engines.Kind(13.6, prompt_tokens=3_000, events=187, objective_ms=1_800)
        short = decoding_engines.Kind(15.3, prompt_tokens=2_200, events=2.5, objective_ms=1_500)
        plays = []
        for seed in SEEDS:
            play = decoding_engines.UnevenEngines(
                [long, short], engines=28, pace_age_s=pace_age_s, seed=seed
            )
            play.run(FOR_S)
            plays.append(play)
        self.spoilt = statistics.mean(play.get_spoilt_fraction(long) for play in plays)
        self.long_ms = statistics.mean(play.get_first_ms(long) for play in plays)
        self.short_ms = statistics.mean(play.get_first_ms(short) for play in plays)


@pytest.fixture(scope="module")
def unknown():
    return Result(None)


@pytest.fixture(scope="module")
def present():
    return Result(0.0)


@pytest.fixture(scope="module")
def aged():
    return Result(0.5)


def test_known_paces_keep_long_answers_from_long_pauses(unknown, present):
    assert unknown.spoilt > 0.15, "the load must spoil answers without the paces"
    assert present.spoilt <= unknown.spoilt / 4
    assert present.short_ms <= unknown.short_ms


def test_paces_of_half_a_second_ago_give_nearly_the_same_first_tokens(unknown, present, aged):
    assert aged.long_ms <= 1.1 * present.long_ms
    assert aged.short_ms <= 1.1 * present.short_ms
    assert aged.short_ms <= unknown.short_ms
