"""Pattern: uneven engines that share their machines.

Work takes 0.55 of the usual time at a quarter of the engines and 1.2 at the rest, and 2.5 times as
long in slow periods of 0.6 s, which come with a probability of 0.15. Each engine reads prompts a
quarter of the time, during which its events take twice as long. An entry has three streams at a
time and reads a figure of each engine every half second.
"""

import random

import pytest

from lib import gateway_setting, simulated_clock, uneven_engines
from spoolhead._internal.gateway import upstream_paces
from spoolhead._internal.models import dialects
from spoolhead._internal.policy import upstream_registry

ENGINES = 28
STREAMS = 3
STREAM_S = 4.5
EVENT_S = 0.028
"""Interval between events at the usual pace: four tokens of 7 ms."""
PROMPT_SHARE, PROMPT_RATIO, PROMPT_S = 0.25, 2.0, 0.3
FIGURE_AGE_S = 0.5
WARM_UP_S = 45.0
ALLOWED_ERROR = 0.15
MAX_DETECTION_S = 2.0
FALSE_PERCENT = 30


class _Entry:
    """One entry with streams at engines, on simulated time."""

    def __init__(self, seed, *, states_pace=True, measures_pace=False):
        self.clock = simulated_clock.Clock()
        self.rng = random.Random(seed)
        self.states_pace = states_pace
        self.overruled = 0
        self.false_percents = {}
        self.registry = upstream_registry.UpstreamRegistry()
        names = [f"i-{number}" for number in range(ENGINES)]
        self.registry.update_instances(map(gateway_setting.make_instance, names), 0.0)
        self.engines = {
            name: uneven_engines.Engine(number, self.rng) for number, name in enumerate(names)
        }
        self.paces = upstream_paces.UpstreamPaces(
            self.registry,
            request_broadcast=lambda: None,
            measures_pace=measures_pace,
            on_overruled=self._count_overruled,
        )
        self.paces.refresh(0.0)
        for name in names:
            self.clock.call_later(self.rng.uniform(0.0, 0.5), lambda name=name: self._state(name))
        for _ in range(STREAMS):
            self.begin_stream()

    def _count_overruled(self):
        self.overruled += 1

    def get_pace(self, name):
        return self.registry.get(name).pace

    def _state(self, name):
        if not self.states_pace:
            return
        now_s = self.clock()
        percent = self.false_percents.get(name) or self.engines[name].state_percent(now_s)
        load = dialects.UpstreamLoad(running=4, waiting=0, slots=24, pace_percent=percent)
        head = gateway_setting.make_answer_head(load=load)
        self.paces.handle_answer(self.registry.get(name), head, now_s)
        self.clock.call_later(FIGURE_AGE_S, lambda: self._state(name))

    def begin_stream(self, name=None):
        """Stream from an engine, a random one if none is given, then from others."""
        others = [item for item in self.engines if item not in self.false_percents]
        _Stream(self, name or self.rng.choice(others))


class _Stream:
    def __init__(self, entry, name):
        self.entry = entry
        self.name = name
        self.meter = upstream_paces.block_meter.BlockMeter()
        self.ends_s = entry.clock() + STREAM_S
        self._handle_event()

    def _handle_event(self):
        entry, now_s = self.entry, self.entry.clock()
        entry.paces.handle_events(entry.registry.get(self.name), self.meter, 1, now_s)
        if now_s >= self.ends_s:
            entry.begin_stream()
            return
        engine = entry.engines[self.name]
        slot = (self.name, int(now_s / PROMPT_S))
        is_reading = random.Random(str(slot)).random() < PROMPT_SHARE
        interval_s = EVENT_S * engine.get_factor(now_s) * (PROMPT_RATIO if is_reading else 1.0)
        entry.clock.call_later(interval_s * entry.rng.uniform(0.9, 1.1), self._handle_event)


def _count_wrong(entry, seconds):
    """Return the share of moments and engines with a wrong typical pace."""
    wrong = moments = 0
    for _ in range(seconds):
        entry.clock.run(1.0)
        for name, engine in entry.engines.items():
            moments += 1
            error = abs(entry.get_pace(name).typical_factor / engine.typical - 1)
            wrong += error > ALLOWED_ERROR
    return wrong / moments


@pytest.mark.parametrize("seed", range(4))
def test_the_typical_pace_is_known_by_figures_half_a_second_old(seed):
    entry = _Entry(seed)
    entry.clock.run(10.0)
    assert _count_wrong(entry, 60) <= 0.01


@pytest.mark.parametrize("seed", range(4))
def test_the_slow_periods_are_known_at_all_engines(seed):
    entry = _Entry(seed)
    entry.clock.run(10.0)
    for name, engine in entry.engines.items():
        slow_factor = engine.typical * uneven_engines.SLOW_RATIO
        assert entry.get_pace(name).slow_factor == pytest.approx(slow_factor, rel=0.2)


@pytest.mark.parametrize("seed", range(8))
def test_an_engine_that_states_less_than_it_takes_gets_its_measured_pace(seed):
    entry = _Entry(seed)
    misstating = "i-1"
    entry.false_percents[misstating] = FALSE_PERCENT
    entry.clock.run(WARM_UP_S)
    assert entry.get_pace(misstating).typical_factor == pytest.approx(FALSE_PERCENT / 100)
    entry.begin_stream(misstating)
    entry.clock.run(MAX_DETECTION_S)
    assert entry.get_pace(misstating).is_overruled
    assert entry.get_pace(misstating).typical_factor >= 1.1


@pytest.mark.parametrize("seed", range(4))
def test_where_nothing_is_stated_clear_differences_are_measured(seed):
    entry = _Entry(seed, states_pace=False, measures_pace=True)
    entry.clock.run(200.0)
    known = {name for name in entry.engines if entry.get_pace(name).is_known}
    quick = {name for name, engine in entry.engines.items() if engine.typical < 1}
    assert quick & known
    ratio = uneven_engines.QUICK_FACTOR / uneven_engines.USUAL_FACTOR
    for name in quick & known:
        assert entry.get_pace(name).typical_factor == pytest.approx(ratio, rel=0.3)


def test_where_nothing_is_stated_nothing_is_measured_unless_asked_for():
    entry = _Entry(1, states_pace=False)
    entry.clock.run(60.0)
    assert entry.paces.known_count == 0
