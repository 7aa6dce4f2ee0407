"""Pattern: a burst of 2.6 times the room for 7 s, and refused callers that return when asked.

Long generations (3,750 tokens, 7 s) arrive at 24 engines of 26,900 tokens. What cannot start within
twice the objective of 4 s is refused. A caller is helped by a refusal only if it comes at once and
the stated time is true: those who return as asked find room, and they do not return together.
"""

import functools
import heapq
import itertools
import math
import random

import pytest

from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import return_places, run_admission, run_refusal, start_forecast

OBJECTIVE_MS = 4_000
TIMEOUT_MS = 39_000
NEED_TOKENS = 3_750
RUN_S = 7.0
ROOM_TOKENS = 24 * 26_900
USUAL_PER_S = ROOM_TOKENS / NEED_TOKENS / RUN_S
BURST_S = (5.0, 12.0)
ENTRIES = 24
CHECK_S = 0.1
BIN_S = 0.5
SEEDS = (0, 1)


class Call:
    """One attempt of a caller."""

    def __init__(self, number, arrived_s, *, is_return=False):
        self.content_id = number.to_bytes(4, "big")
        self.is_return = is_return
        self.has_place = False
        self.arrived_s = arrived_s
        self.refused_s = self.began_s = self.due_s = None
        self.admission = run_admission.Request(
            rank=0,
            need_tokens=NEED_TOKENS,
            prompt_tokens=3_000,
            objective_ms=OBJECTIVE_MS,
            arrived_s=arrived_s,
        )


class Room:
    """Engine memory with one queue, and entries that publish their places without delay."""

    def __init__(self, seed, *, spreads_returns=True, keeps_places=True):
        self.rows = {}
        self.rng = random.Random(seed)
        self.flow = start_forecast.MemoryFlow()
        self.places = [
            return_places.ReturnPlaces(functools.partial(self._get_other_load, number))
            for number in range(ENTRIES)
        ]
        self.spreads_returns, self.keeps_places = spreads_returns, keeps_places
        self.free_tokens, self.released_tokens = ROOM_TOKENS, 0
        self.waiting, self.calls, self.due = [], [], []
        self.order = itertools.count()

    def play(self, until_s):
        for number, arrived_s in enumerate(self._make_arrivals(until_s)):
            self._at(arrived_s, self._arrive, Call(number, arrived_s))
        for step in range(int(until_s / CHECK_S)):
            self._at(step * CHECK_S, self._publish)
        while self.due:
            now_s, _, act, args = heapq.heappop(self.due)
            act(now_s, *args)

    def _get_other_load(self, number, key):
        """Return what the other entries published at the last check."""
        loads = [rows.get(key) for other, rows in self.rows.items() if other != number]
        total = shared_load.InstanceLoad()
        for load in loads:
            total.add(load or shared_load.InstanceLoad())
        return total

    def _at(self, at_s, act, *args):
        heapq.heappush(self.due, (at_s, next(self.order), act, args))

    def _make_arrivals(self, until_s):
        at_s = 0.0
        while at_s < until_s:
            factor = 2.6 if BURST_S[0] <= at_s < BURST_S[1] else 0.7
            at_s += self.rng.expovariate(USUAL_PER_S * factor)
            yield at_s

    def _publish(self, now_s):
        self.rows = {number: item.get_rows(now_s) for number, item in enumerate(self.places)}
        self._check(now_s)

    def _arrive(self, now_s, call):
        call.entry = self.places[self.rng.randrange(ENTRIES)]
        call.has_place = self.keeps_places and call.entry.claim(call.content_id, now_s)
        self.calls.append(call)
        self.waiting.append(call)
        self._check(now_s)

    def _check(self, now_s):
        self.flow.record(self.released_tokens, 0, now_s)
        while self.waiting and self.free_tokens >= NEED_TOKENS:
            call = self.waiting.pop(0)
            call.began_s = now_s
            self.free_tokens -= NEED_TOKENS
            self._at(now_s + self.rng.uniform(0.5, 1.5) * RUN_S, self._release)
        for position, call in enumerate(list(self.waiting)):
            self._refuse_if_hopeless(call, position * NEED_TOKENS, now_s)

    def _release(self, now_s):
        self.free_tokens += NEED_TOKENS
        self.released_tokens += NEED_TOKENS
        self._check(now_s)

    def _refuse_if_hopeless(self, call, ahead_tokens, now_s):
        returning_tokens = call.entry.get_returning_tokens("s", now_s)
        demand = start_forecast.Demand(
            free_tokens=self.free_tokens,
            ahead_tokens=ahead_tokens,
            need_tokens=NEED_TOKENS,
            returning_tokens=returning_tokens if self.spreads_returns else 0,
        )
        rate_per_s = self.flow.get_rate_per_s(now_s)
        wait_ms = start_forecast.compute_wait_ms(demand, rate_per_s)
        if not run_refusal.should_refuse(
            call.admission, TIMEOUT_MS, wait_ms, now_s, is_return=call.has_place
        ):
            return
        self.waiting.remove(call)
        call.refused_s = now_s
        if call.is_return:
            return
        return_ms = start_forecast.compute_return_ms(demand, rate_per_s)
        if return_ms is not None and rate_per_s:
            return_ms = call.entry.add(
                call.content_id,
                "s",
                NEED_TOKENS,
                return_ms=return_ms,
                rate_per_s=rate_per_s if self.spreads_returns else math.inf,
                now_s=now_s,
            )
        retry_after_ms = run_refusal.compute_retry_after_ms(TIMEOUT_MS, return_ms)
        call.due_s = now_s + retry_after_ms / 1000
        number = int.from_bytes(call.content_id, "big")
        self._at(call.due_s, self._arrive, Call(number, call.due_s, is_return=True))


@functools.cache
def _play(seed, **options):
    room = Room(seed, **options)
    room.play(30.0)
    return room


def _get_share_begun(calls):
    return sum(call.began_s is not None for call in calls) / max(1, len(calls))


def _get_return_peak(room):
    """Return the most that returns in half a second, relative to the room that becomes free."""
    counts = {}
    for call in room.calls:
        if call.is_return:
            bin_number = int(call.arrived_s / BIN_S)
            counts[bin_number] = counts.get(bin_number, 0) + 1
    return max(counts.values(), default=0) / (USUAL_PER_S * BIN_S)


@pytest.mark.parametrize("seed", SEEDS)
def test_what_is_never_served_is_refused_as_soon_as_it_is_known(seed):
    """Nine in ten within an eighth of the objective: it is known when the queue is that long."""
    room = _play(seed)
    refused = [call for call in room.calls if call.refused_s is not None and not call.is_return]
    at_once = [c for c in refused if c.refused_s - c.arrived_s <= OBJECTIVE_MS / 8_000]
    assert len(refused) > 10
    assert len(at_once) >= 0.9 * len(refused)


@pytest.mark.parametrize("seed", SEEDS)
def test_who_returns_when_asked_is_served(seed):
    """Of the returns twice as many are served as of the calls that are new at that time."""
    room = _play(seed)
    returns = [call for call in room.calls if call.is_return]
    first_s, last_s = returns[0].arrived_s, returns[-1].arrived_s
    new = [
        call for call in room.calls if not call.is_return and first_s <= call.arrived_s <= last_s
    ]
    assert _get_share_begun(returns) >= min(1.0, 2 * _get_share_begun(new))


@pytest.mark.parametrize("seed", SEEDS)
def test_returns_of_a_burst_do_not_come_as_a_second_burst(seed):
    assert _get_return_peak(_play(seed)) < 1.3
    assert _get_return_peak(_play(seed, spreads_returns=False)) > 1.3


@pytest.mark.parametrize("seed", SEEDS)
def test_without_places_some_are_refused_again_when_they_return(seed):
    def _get_returns(**options):
        return [call for call in _play(seed, **options).calls if call.is_return]

    assert _get_share_begun(_get_returns(keeps_places=False)) < _get_share_begun(_get_returns())
