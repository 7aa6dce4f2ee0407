"""Compares methods to share an instance's rate limit among all entries, without a network.

One of three instances states a limit and looks least loaded. One in eight entries receives three
times as many requests as the others.
Usage: .venv/bin/python benchmarks/rate_sharing.py
"""

import collections
import pathlib
import random
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "tools")]

from lib import limit_fleet  # noqa: E402

SIZES = ((8, 3), (24, 3), (65, 4), (350, 15))
LIMITS_PER_S = (0.5, 2.0, 20.0)
DURATION_S = 20.0
SEEDS = (1, 2, 3)
REPORT_AGE_S = 0.1
"""Age of an entry's information about the demand at others."""


def _get_requests_per_s(entries):
    return max(50, entries)


def _make_weights(entries):
    return [3 if number % 8 == 0 else 1 for number in range(entries)]


class FixedSenders:
    """Random entries, as many as the instance accepts requests per second but at least one."""

    name = "fixed senders"

    def __init__(self, entries, limit_per_s, rng):
        senders = rng.sample(range(entries), min(entries, max(1, int(limit_per_s))))
        self._pause_s = dict.fromkeys(senders, len(senders) / limit_per_s)
        self._sent_s = {}

    def may_send(self, number, now_s):
        """Return whether an entry may send a request now; if so, count it as sent."""
        pause_s = self._pause_s.get(number)
        if pause_s is None or now_s - self._sent_s.get(number, -1e9) < pause_s:
            return False
        self._sent_s[number] = now_s
        return True


class EqualShares(FixedSenders):
    """Every entry has an equal share of the limit."""

    name = "equal parts"

    def __init__(self, entries, limit_per_s, rng):
        super().__init__(entries, limit_per_s, rng)
        self._pause_s = dict.fromkeys(range(entries), entries / limit_per_s)
        self._sent_s = {n: -rng.uniform(0, entries / limit_per_s) for n in range(entries)}


class SharesByDemand:
    """Every entry has a share in proportion to its recent requests, as reported by hubs."""

    name = "shares by demand"
    WINDOW_S = 2.0

    def __init__(self, entries, limit_per_s, rng):
        self._limit_per_s = limit_per_s
        self._wanted = [collections.deque() for _ in range(entries)]
        self._all = collections.deque()
        self._tokens = [rng.random() for _ in range(entries)]
        self._updated_s = [0.0] * entries

    def may_send(self, number, now_s):
        """Return whether an entry may send a request now; if so, count it as sent."""
        own, everyone = self._wanted[number], self._all
        own.append(now_s)
        everyone.append(now_s)
        while own[0] < now_s - self.WINDOW_S:
            own.popleft()
        while everyone[0] < now_s - self.WINDOW_S - REPORT_AGE_S:
            everyone.popleft()
        share = min(1.0, len(own) / len(everyone))
        passed_s = now_s - self._updated_s[number]
        self._updated_s[number] = now_s
        tokens = self._tokens[number] + passed_s * self._limit_per_s * share
        self._tokens[number] = min(1.0, tokens)
        if self._tokens[number] < 1.0:
            return False
        self._tokens[number] -= 1.0
        return True


def _simulate(cls, entries, limit_per_s, seed):
    rng = random.Random(seed)
    method = cls(entries, limit_per_s, rng)
    weights = _make_weights(entries)
    now_s, sent = 0.0, []
    while now_s < DURATION_S + limit_fleet.CONTACT_S:
        now_s += rng.expovariate(_get_requests_per_s(entries))
        number = rng.choices(range(entries), weights)[0]
        if method.may_send(number, now_s) and now_s >= limit_fleet.CONTACT_S:
            sent.append((now_s, number))
    return sent


def _simulate_granter(entries, halls, limit_per_s, seed):
    fleet = limit_fleet.LimitFleet(entries=entries, halls=halls, seed=seed)
    name = fleet.instances[0]
    fleet.set_limit(limit_per_s, name)
    weights = _make_weights(entries)
    numbers = [number for number, weight in enumerate(weights) for _ in range(weight)]
    fleet.begin_traffic(_get_requests_per_s(entries), entries=numbers)
    fleet.run(limit_fleet.CONTACT_S)
    effective_s = fleet.clock()
    fleet.run(DURATION_S)
    return [item for item in fleet.upstreams[name].arrivals if item[0] >= effective_s]


def _describe(sent, entries, limit_per_s):
    largest = limit_fleet.get_max_in_window([time_s for time_s, _ in sent])
    used = len(sent) / (limit_per_s * DURATION_S)
    senders = len({number for _, number in sent})
    return largest, used, senders / min(entries, max(1, len(sent)))


def _print_row(name, results, limit_per_s):
    largest = max(item[0] for item in results)
    used = sum(item[1] for item in results) / len(results)
    spread = sum(item[2] for item in results) / len(results)
    allowed = limit_fleet.get_max_allowed(limit_per_s)
    print(f"| {name} | {largest} of {allowed:.0f} | {used:.2f} | {spread:.2f} |", flush=True)


def main():
    """Print a table for each fleet size and limit."""
    for entries, halls in SIZES:
        for limit_per_s in LIMITS_PER_S:
            print(f"\n{entries} entries, {limit_per_s} a second")
            print("| way | most in 4 s | used | spread over entries |\n|---|---|---|---|")
            for cls in (EqualShares, FixedSenders, SharesByDemand):
                runs = [_simulate(cls, entries, limit_per_s, seed) for seed in SEEDS]
                results = [_describe(sent, entries, limit_per_s) for sent in runs]
                _print_row(cls.name, results, limit_per_s)
            runs = [_simulate_granter(entries, halls, limit_per_s, seed) for seed in SEEDS]
            results = [_describe(sent, entries, limit_per_s) for sent in runs]
            _print_row("one grants", results, limit_per_s)


if __name__ == "__main__":
    main()
