"""A series of one deadly request under normal load: the cost of each rule for holding it.

The pattern: a request that crashes each engine which runs it is sent every 1.5 s for 15 s, to any
of eight entries. Nine engines run four generations each on average, of some four seconds; those
that are cut off are sent once more half a second later, with the same content. In such an incident
eight engines crashed within 15 s, each with up to four long answers.
"""

import pytest

from lib import content_fleet
from spoolhead._internal.policy import quarantine

DEADLY = content_fleet.make_id("deadly")
SEEDS = range(6)
NEVER = 99


class Outcome:
    """Result of a series.

    :ivar ends: engines that crashed.
    :ivar cut: other answers that were cut off.
    :ivar refused: harmless requests that were refused.
    """

    def __init__(self, fleet):
        self.ends = len(fleet.crashes)
        self.cut = sum(run.content_id != DEADLY for run in fleet.lost)
        self.refused = sum(content_id != DEADLY for content_id, _, _ in fleet.refused)


def _simulate(seed):
    fleet = content_fleet.ContentFleet(entries=8, simulated_instances=9, seed=seed)
    fleet.deadly.add(DEADLY)
    fleet.run(2.0)
    fleet.begin_traffic(9.0, duration_s=4.0)
    fleet.run(8.0)
    fleet.retry_lost_requests(0.5, duration_s=4.0)
    fleet.send_repeatedly(DEADLY, pause_s=1.5, for_s=15.0)
    fleet.run(16.0)
    return Outcome(fleet)


def _simulate_all(monkeypatch, *, waves, ends):
    monkeypatch.setattr(quarantine, "WAVES_TO_HOLD", waves)
    monkeypatch.setattr(quarantine, "ENDS_TO_HOLD", ends)
    return [_simulate(seed) for seed in SEEDS]


@pytest.fixture(scope="module")
def current():
    return [_simulate(seed) for seed in SEEDS]


def test_a_series_ends_two_engines_and_no_sound_request_is_refused(current):
    assert [outcome.ends for outcome in current] == [2] * len(SEEDS)
    assert sum(outcome.refused for outcome in current) == 0


def test_holding_at_the_third_end_costs_the_others_more(current, monkeypatch):
    third = _simulate_all(monkeypatch, waves=3, ends=3)
    assert sum(item.cut for item in current) < sum(item.cut for item in third)


def test_running_it_apart_alone_does_not_do(current, monkeypatch):
    never = _simulate_all(monkeypatch, waves=NEVER, ends=NEVER)
    assert sum(item.cut for item in current) < sum(item.cut for item in never)
    assert min(item.ends for item in never) > max(item.ends for item in current)


def test_holding_at_the_first_end_refuses_sound_requests(monkeypatch):
    first = _simulate_all(monkeypatch, waves=1, ends=1)
    assert sum(item.refused for item in first) > 0
