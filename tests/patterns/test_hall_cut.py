"""Pattern: a hall is cut off while long answers run.

A run in another hall than its entry is lost or late when either hall is cut off; a hall is cut off
once or twice a year in the target deployment, and once on most days of the trials. So before a cut
few runs should be in another hall, as far as that does not delay first tokens.

The load: long answers of 3,079 + 950 tokens and short ones of 2,550 + 12, 10 ms per generated
token; 11.9 and 16.9 a second on 32 engines in five halls as in the large fleet, 1.7 and 2.4 on five
engines in three halls as in the small ones. 60 s are some six durations of a long answer.
"""

import pytest

from lib import placement_load
from spoolhead._internal.policy import upstream_choice

SECONDS = 60


def _simulate(halls, engines, long_per_s, short_per_s):
    kinds = (
        placement_load.Kind(long_per_s, prompt_tokens=3_079, output_tokens=950),
        placement_load.Kind(short_per_s, prompt_tokens=2_550, output_tokens=12),
    )
    load = placement_load.PlacementLoad(halls=halls, engines=engines, kinds=kinds)
    load.run(SECONDS)
    return load


LARGE = (5, 32, 11.9, 16.9)
SMALL = (3, 5, 1.7, 2.4)


def test_with_many_engines_at_home_few_runs_stand_across_halls():
    assert _simulate(*LARGE).get_cross_hall_fraction() < 0.1


@pytest.mark.parametrize("fleet", [LARGE, SMALL], ids=["large", "small"])
def test_first_tokens_come_as_soon_as_when_halls_are_nearly_one(fleet, monkeypatch):
    now = _simulate(*fleet)
    monkeypatch.setattr(upstream_choice, "MAX_OTHER_HALL_FACTOR", 1)
    nearly_one = _simulate(*fleet)
    assert now.get_first_token_ms(0.95) < 1.1 * nearly_one.get_first_token_ms(0.95)
    assert now.get_fill(0.99) < 0.8


def test_with_one_or_two_engines_a_hall_the_others_still_help():
    assert _simulate(*SMALL).get_cross_hall_fraction() > 0.2
