"""Load: entries that reach no instance, among others that do.

Each of them gets ten requests a second for ten seconds, and asks other entries to serve these. No
entry knows which ones can: the answer of one that cannot takes as long as any other round trip. The
grounds for the sizes and for the round trips (2 ms in a hall, 4.8 ms between halls) are those of
docs/CAPACITY.md.
"""

import collections
import random

import pytest

from spoolhead._internal.models import fleet
from spoolhead._internal.policy import peer_choice

REQUESTS_PER_S = 10
DURATION_S = 10
ROUND_TRIP_MS = {True: 2.0, False: 4.8}
"""Time to ask an entry of the same hall, or of another one."""
RUN_S = 0.1
SIZES = ((8, 3), (24, 3), (65, 5), (350, 15))
"""Entries and halls."""


class _RandomChoice:
    """Asks entries at random and remembers nothing."""

    def __init__(self, name, hall, rng):
        self._name = name
        self._rng = rng

    def set_entries(self, entries):
        self._peers = [entry for entry in entries if entry.name != self._name]

    def choose(self, service, *, asked, silent_halls, now_s):
        if len(asked) >= peer_choice.MAX_PEERS:
            return None
        return self._rng.choice([peer for peer in self._peers if peer.name not in asked])

    def record_sent(self, name):
        pass

    record_ended = record_sent

    def record_unable(self, service, name, now_s):
        pass

    def record_served(self, service, name, now_s):
        pass


class _NoChoice(_RandomChoice):
    """Refuses all, as an entry did that had no way but its own connections."""

    def choose(self, service, *, asked, silent_halls, now_s):
        return None


class _Outcome:
    """What callers of the entries that were cut off got.

    :ivar served: share of their requests that were served.
    :ivar added_ms: mean time that asking took.
    :ivar asked: mean number of entries asked.
    :ivar away: share of the served requests that left the hall though an entry there could serve.
    :ivar peak: requests of the busiest helper, relative to an equal share of all that can serve, or
        to what an entry gets from its own callers if that is more.
    """

    def __init__(self, make_choice, entries, halls, is_cut, seed=1):
        rng = random.Random(seed)
        fleet_entries = [
            fleet.Process(
                name=f"entry-{number}", hall=f"hall-{number % halls}", address=f"10.0.0.1:{number}"
            )
            for number in range(entries)
        ]
        cut = {entry.name for entry in fleet_entries if is_cut(entry, rng)}
        able_halls = {entry.hall for entry in fleet_entries if entry.name not in cut}
        choices = {}
        for entry in fleet_entries:
            if entry.name in cut:
                choices[entry.name] = make_choice(entry.name, entry.hall, rng)
                choices[entry.name].set_entries(fleet_entries)
        self._cut = cut
        self._helped = collections.Counter()
        self._running = collections.deque()
        served = away = asked = 0
        added_ms = 0.0
        senders = [entry for entry in fleet_entries if entry.name in cut]
        count = REQUESTS_PER_S * DURATION_S
        for number in range(count):
            now_s = number / REQUESTS_PER_S
            self._end_runs(now_s)
            for sender in senders:
                helper, asks, took_ms = self._ask(sender, choices[sender.name], now_s)
                asked += asks
                added_ms += took_ms
                if helper is not None:
                    served += 1
                    away += helper.hall != sender.hall and sender.hall in able_halls
        total = count * len(senders)
        self.served = served / total
        self.added_ms = added_ms / total
        self.asked = asked / total
        self.away = away / max(1, served)
        equal_share = total / (entries - len(cut))
        self.peak = max(self._helped.values(), default=0) / max(equal_share, count)

    def _ask(self, sender, choice, now_s):
        asked = []
        took_ms = 0.0
        while True:
            peer = choice.choose("s", asked=asked, silent_halls=(), now_s=now_s)
            if peer is None:
                return None, len(asked), took_ms
            asked.append(peer.name)
            took_ms += ROUND_TRIP_MS[peer.hall == sender.hall]
            if peer.name in self._cut:
                choice.record_unable("s", peer.name, now_s)
                continue
            choice.record_sent(peer.name)
            choice.record_served("s", peer.name, now_s)
            self._running.append((now_s + RUN_S, choice, peer.name))
            self._helped[peer.name] += 1
            return peer, len(asked), took_ms

    def _end_runs(self, now_s):
        while self._running and self._running[0][0] <= now_s:
            _, choice, name = self._running.popleft()
            choice.record_ended(name)


def _is_five_of_eight(entry, rng):
    return int(entry.name.partition("-")[2]) % 8 < 5


def _is_hall(entry, rng):
    return entry.hall == "hall-1"


def _is_hall_but_one(entry, rng):
    return entry.hall == "hall-1" and entry.name != "entry-1"


CUTS = {
    "five of eight": _is_five_of_eight,
    "a hall": _is_hall,
    "a hall but one": _is_hall_but_one,
}


@pytest.mark.parametrize(("entries", "halls"), SIZES)
@pytest.mark.parametrize("cut", CUTS)
def test_first_attempts_at_entries_that_are_cut_off_are_served(cut, entries, halls):
    chosen = _Outcome(peer_choice.PeerChoice, entries, halls, CUTS[cut])
    refused = _Outcome(_NoChoice, entries, halls, CUTS[cut])
    assert refused.served == 0.0
    assert chosen.served >= 0.99
    assert chosen.added_ms < 10.0
    # Whoever helps gets no more than twice an equal share, or twice what its own callers send.
    assert chosen.peak < 2.0


@pytest.mark.parametrize(("entries", "halls"), SIZES)
def test_entries_that_could_not_help_are_not_asked_for_each_request(entries, halls):
    chosen = _Outcome(peer_choice.PeerChoice, entries, halls, _is_five_of_eight)
    at_random = _Outcome(_RandomChoice, entries, halls, _is_five_of_eight)
    assert chosen.served >= at_random.served
    assert chosen.asked <= at_random.asked
    assert chosen.away <= at_random.away


if __name__ == "__main__":
    for cut, is_cut in CUTS.items():
        for entries, halls in SIZES:
            for make in (_NoChoice, _RandomChoice, peer_choice.PeerChoice):
                item = _Outcome(make, entries, halls, is_cut)
                print(
                    f"{cut:14} {entries:4} {make.__name__:14} served {item.served:.3f} "
                    f"asked {item.asked:.2f} added {item.added_ms:.1f} ms "
                    f"away {item.away:.2f} peak {item.peak:.2f}"
                )
