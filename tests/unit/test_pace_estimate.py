"""What an entry takes for the pace of an instance, from figures that include slow periods."""

import random
import statistics

import pytest

from lib import uneven_engines
from spoolhead._internal.policy import pace_estimate, slow_periods

FIGURE_INTERVAL_S = 0.2
"""An entry asks the health of the engines assigned to it five times a second."""
AGE_S = 0.5
"""Age of the newest figure when the estimate is used."""
ALLOWED_ERROR = 0.15


def _record(estimate, percents, *, since_s=100.0, interval_s=FIGURE_INTERVAL_S):
    for number, percent in enumerate(percents):
        estimate.record_stated(percent, since_s + number * interval_s)
    return since_s + (len(percents) - 1) * interval_s


class _Smoothed:
    """Exponentially smoothed figures, as one of the ways that are compared."""

    def __init__(self):
        self.factor = None

    def record(self, factor):
        self.factor = factor if self.factor is None else 0.9 * self.factor + 0.1 * factor


def _compare_ways(seed):
    """Return the share of moments with a wrong typical pace, by way.

    A moment is AGE_S after a figure; the first ten figures of each engine don't count.
    """
    rng = random.Random(seed)
    wrong = {"estimate": 0, "newest": 0, "median": 0, "smoothed": 0}
    moments = 0
    for number in range(28):
        engine = uneven_engines.Engine(number, rng)
        estimate, smoothed, figures = pace_estimate.PaceEstimate(), _Smoothed(), []
        for step in range(300):
            now_s = step * FIGURE_INTERVAL_S
            percent = engine.state_percent(now_s)
            estimate.record_stated(percent, now_s)
            smoothed.record(percent / 100)
            figures = [*figures, percent / 100][-25:]
            if step < pace_estimate.MIN_FIGURES:
                continue
            estimate.update(now_s + AGE_S)
            moments += 1
            ways = {
                "estimate": estimate.typical_factor,
                "newest": percent / 100,
                "median": statistics.median(figures),
                "smoothed": smoothed.factor,
            }
            for way, factor in ways.items():
                wrong[way] += abs(factor / engine.typical - 1) > ALLOWED_ERROR
    return {way: count / moments for way, count in wrong.items()}


@pytest.mark.parametrize("seed", range(3))
def test_slow_periods_do_not_move_the_typical_pace_as_they_move_other_estimates(seed):
    """Compares the ways: the newest figure, the median, a smoothed figure and the one in use."""
    wrong = _compare_ways(seed)
    assert wrong["estimate"] <= 0.01
    assert wrong["estimate"] <= wrong["median"] < wrong["newest"] < wrong["smoothed"]


def test_nothing_stated_is_the_usual_pace():
    estimate = pace_estimate.PaceEstimate()
    factors = estimate.typical_factor, estimate.slow_factor, estimate.get_current_factor(5.0)
    assert not estimate.is_known
    assert factors == (1.0, 1.0, 1.0)


def test_the_newest_figure_counts_less_with_its_age():
    estimate = pace_estimate.PaceEstimate()
    last_s = _record(estimate, [100] * 12 + [250])
    half_s = last_s + pace_estimate.FIGURE_TTL_S / 2
    assert estimate.get_current_factor(last_s) == 2.5
    assert estimate.get_current_factor(half_s) == pytest.approx(1.75)
    assert estimate.get_current_factor(last_s + pace_estimate.FIGURE_TTL_S + 0.01) == 1.0
    assert estimate.typical_factor == 1.0


def test_what_is_stated_is_clamped():
    estimate = pace_estimate.PaceEstimate()
    _record(estimate, [1])
    assert estimate.typical_factor == pace_estimate.MIN_FACTOR
    estimate = pace_estimate.PaceEstimate()
    _record(estimate, [9_999])
    assert estimate.typical_factor == pace_estimate.MAX_FACTOR


def test_an_engine_that_was_never_slow_is_expected_to_become_as_slow_as_the_others():
    pool = slow_periods.SlowPeriods()
    seen, unseen, unknown = (pace_estimate.PaceEstimate() for _ in range(3))
    for estimate in (seen, unseen, unknown):
        estimate.slow_periods = pool
    _record(seen, [55] * 12 + [138] * 3)
    _record(unseen, [120])
    assert seen.slow_factor == pytest.approx(0.55 * 2.5, rel=0.02)
    assert unseen.slow_factor == pytest.approx(1.2 * 2.5, rel=0.02)
    assert unknown.slow_factor == pytest.approx(2.5, rel=0.02)
    assert not unknown.is_known


def test_one_engine_does_not_set_the_slow_periods_of_all():
    pool = slow_periods.SlowPeriods()
    for number in range(20):
        pool.record("odd", 90.0, number)
    assert pool.ratio == slow_periods.MAX_RATIO
    for name in ("a", "b"):
        pool.record(name, 2.5, 20.0)
    assert pool.ratio == 2.5
    for number in range(slow_periods.MAX_INSTANCES):
        pool.record(number, 3.0, 20.0)
    assert pool.ratio == 3.0
    pool.expire(20.0 + slow_periods.RETENTION_S + 1.0)
    assert pool.ratio == 1.0


def test_a_typical_pace_that_changes_is_followed_within_the_window():
    estimate = pace_estimate.PaceEstimate()
    last_s = _record(estimate, [55] * 30)
    steps = round(pace_estimate.WINDOW_S / FIGURE_INTERVAL_S)
    last_s = _record(estimate, [120] * steps, since_s=last_s + FIGURE_INTERVAL_S)
    assert estimate.typical_factor == 1.2
    _record(estimate, [55] * (steps // 2), since_s=last_s + FIGURE_INTERVAL_S)
    assert estimate.typical_factor == 0.55


def test_a_reported_pace_is_used_until_enough_figures_are_read():
    estimate = pace_estimate.PaceEstimate()
    estimate.record_reported(55, 99.0, 100.0, is_measured=False)
    _record(estimate, [138] * (pace_estimate.MIN_FIGURES - 1))
    assert estimate.typical_factor == 0.55
    assert estimate.source is pace_estimate.Source.REPORTED
    _record(estimate, [120] * 40, since_s=110.0)
    assert estimate.typical_factor == 1.2
    assert estimate.source is pace_estimate.Source.STATED


def test_a_pace_that_is_not_confirmed_expires():
    estimate = pace_estimate.PaceEstimate()
    last_s = _record(estimate, [55] * 12)
    estimate.update(last_s + pace_estimate.RETENTION_S - 1.0)
    assert estimate.is_known
    estimate.update(last_s + pace_estimate.RETENTION_S + 1.0)
    assert not estimate.is_known
    assert estimate.typical_factor == 1.0


def test_a_clearly_slower_measurement_overrules_the_statements_for_a_time():
    estimate = pace_estimate.PaceEstimate()
    last_s = _record(estimate, [30] * 12)
    estimate.record_measured(0.4, last_s)
    assert not estimate.is_overruled
    estimate.record_measured(1.2, last_s)
    assert estimate.is_overruled
    assert estimate.get_current_factor(last_s) == estimate.typical_factor == 1.2
    _record(estimate, [30] * 5, since_s=last_s + pace_estimate.OVERRULE_TTL_S + 0.1)
    assert estimate.typical_factor == 0.3


def test_a_quicker_measurement_does_not_overrule_the_statements():
    estimate = pace_estimate.PaceEstimate()
    last_s = _record(estimate, [120] * 12)
    estimate.record_measured(0.5, last_s)
    assert estimate.typical_factor == 1.2
