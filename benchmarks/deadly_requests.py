"""What each way of holding a deadly request costs the others, and how soon all entries know.

Runs real news over a simulated network (tests/lib/content_fleet.py), so the figures repeat exactly.
Usage: .venv/bin/python benchmarks/deadly_requests.py
"""

import pathlib
import statistics
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "tools")]

from lib import content_fleet  # noqa: E402
from spoolhead._internal.policy import quarantine  # noqa: E402

DEADLY = content_fleet.make_id("deadly")
READ = content_fleet.make_id("read by many")
NEVER = 99
SERIES = 30
PAUSES_S = (1.5, 0.3)
SIZES = (24, 67, 195, 350)


class Way:
    """One way to hold a request.

    :ivar waves: ends, one after the other, after which it is held.
    :ivar ends: ends in all after which it is held.
    :ivar is_isolated: it runs where the fewest others do before it is held.
    :ivar is_broadcast: entries tell each other.
    """

    def __init__(self, name, waves, ends, *, is_isolated=True, is_broadcast=True):
        self.name = name
        self.waves = waves
        self.ends = ends
        self.is_isolated = is_isolated
        self.is_broadcast = is_broadcast


WAYS = (
    Way("never, placed by chance", NEVER, NEVER, is_isolated=False),
    Way("never, run apart", NEVER, NEVER),
    Way("first", 1, 1, is_isolated=False),
    Way("second", 2, 3, is_isolated=False),
    Way("second, run apart (kept)", 2, 3),
    Way("the same, ends at one moment counted singly", 2, 2),
    Way("the same, entries tell nothing", 2, 3, is_broadcast=False),
    Way("third", 3, 3, is_isolated=False),
    Way("third, run apart", 3, 3),
)

KEPT = WAYS[4]
STARTS = 12
"""Entries that start one after the other."""
STEP_S = 0.005
STEPS_BETWEEN = 20
"""Looks between two such starts, which makes 0.1 s."""
GREY_FRACTION = 0.4
"""Part of the requests that instances fail before they run them."""
KEEPERS_DISKS = ((0, 1, 2), (), (0, 1))
"""Keepers that lose their disk with the power; all of them is as if nothing were saved."""


class Fleet(content_fleet.ContentFleet):
    """A fleet that holds in one of the ways."""

    def __init__(self, way, seed):
        super().__init__(entries=8, simulated_instances=9, seed=seed)
        self._way = way
        if not way.is_broadcast:
            for entry in self.entries:
                entry.contents.handle_update = lambda hub, news: None

    def _run(self, number, content_id, duration_s, *, is_isolated):
        super()._run(
            number, content_id, duration_s, is_isolated=is_isolated and self._way.is_isolated
        )


def _set(way):
    quarantine.WAVES_TO_HOLD = way.waves
    quarantine.ENDS_TO_HOLD = way.ends
    quarantine.PROVED_WAVES = way.waves + 1


def play(way, seed, pause_s):
    """Play one series; returns engines ended, answers cut off, sound requests refused and held."""
    _set(way)
    fleet = Fleet(way, seed)
    fleet.deadly.add(DEADLY)
    fleet.run(2.0)
    fleet.begin_traffic(6.0, duration_s=4.0)
    fleet.run(8.0)
    fleet.retry_lost_requests(0.5, duration_s=4.0)
    fleet.send_repeatedly(DEADLY, pause_s=pause_s, for_s=15.0)
    fleet.run(16.0)
    cut = sum(run.content_id != DEADLY for run in fleet.lost)
    refused = sum(content_id != DEADLY for content_id, _, _ in fleet.refused)
    return len(fleet.crashes), cut, refused


def play_rack(way, seed):
    """Have two instances end at one moment while many send one sound request; returns refusals."""
    _set(way)
    fleet = Fleet(way, seed)
    fleet.run(2.0)

    def _ask():
        fleet.send(fleet.rng.randrange(len(fleet.entries)), READ, duration_s=1.0)
        fleet.clock.call_later(0.05, _ask)

    _ask()
    fleet.run(3.0)
    for instance in fleet.simulated_instances[:2]:
        fleet.crash(instance)
    fleet.run(10.0)
    return len(fleet.refused)


def measure_spread(entries, seed):
    """Return in how many ms all entries know, and one that starts afterwards."""
    fleet = content_fleet.ContentFleet(
        entries=entries, halls=5, keepers=5, simulated_instances=20, seed=seed
    )
    fleet.deadly.add(DEADLY)
    fleet.run(2.0)
    fleet.send_repeatedly(DEADLY, pause_s=1.0, for_s=3.0)
    while len(fleet.crashes) < quarantine.WAVES_TO_HOLD:
        fleet.run(0.01)
    found_s = fleet.crashes[-1][1]
    while len(fleet.get_holders(DEADLY)) < entries:
        fleet.run(0.005)
    known_ms = (fleet.clock.now_s - found_s) * 1000
    fleet.run(0.5)
    fleet.restart_entry(3)
    started_s = fleet.clock.now_s
    while 3 not in fleet.get_holders(DEADLY):
        fleet.run(0.005)
    return round(known_ms), round((fleet.clock.now_s - started_s) * 1000)


def measure_starts(entries, seed):
    """Return in how many ms each of entries knows that start one soon after the other."""
    fleet = content_fleet.ContentFleet(
        entries=entries, halls=5, keepers=5, simulated_instances=20, seed=seed
    )
    fleet.deadly.add(DEADLY)
    fleet.run(2.0)
    fleet.send_repeatedly(DEADLY, pause_s=0.5, for_s=2.0)
    fleet.run(4.0)
    started_s = {}
    known_ms = {}
    while len(known_ms) < STARTS:
        if len(started_s) < STARTS:
            fleet.restart_entry(len(started_s))
            started_s[len(started_s)] = fleet.clock.now_s
        for _ in range(STEPS_BETWEEN):
            fleet.run(STEP_S)
            for number in started_s.keys() & set(fleet.get_holders(DEADLY)) - known_ms.keys():
                known_ms[number] = (fleet.clock.now_s - started_s[number]) * 1000
    return list(known_ms.values())


class GreyFleet(content_fleet.ContentFleet):
    """A fleet whose instances fail part of the requests before they run them.

    :param clears: whether such a failure is taken for a good end.
    """

    def __init__(self, *, clears, seed):
        super().__init__(entries=8, simulated_instances=9, seed=seed)
        self._clears = clears

    def _run(self, number, content_id, duration_s, *, is_isolated):
        if self.rng.random() >= GREY_FRACTION:
            super()._run(number, content_id, duration_s, is_isolated=is_isolated)
        elif self._clears:
            self.entries[number].contents.record_harmless(content_id)


def play_grey(clears, pause_s, seed):
    """Return the engines ended in one series."""
    fleet = GreyFleet(clears=clears, seed=seed)
    fleet.deadly.add(DEADLY)
    fleet.run(2.0)
    fleet.send_repeatedly(DEADLY, pause_s=pause_s, for_s=15.0)
    fleet.run(16.0)
    return len(fleet.crashes)


def print_grey():
    """Print a row for each way to take an instance's failure."""
    print("pause s | a failure is taken for a good end | engines ended, mean and most")
    for pause_s in PAUSES_S:
        for clears in (True, False):
            ends = [play_grey(clears, pause_s, seed) for seed in range(SERIES)]
            print(f"{pause_s} | {clears} | {statistics.mean(ends):.2f}, {max(ends)}")


def play_power_loss(seed, pause_s, lost_disks):
    """Return the engines ended after all power was lost, and the answers cut off then."""
    fleet = content_fleet.ContentFleet(entries=8, simulated_instances=9, seed=seed)
    fleet.deadly.add(DEADLY)
    fleet.run(2.0)
    fleet.begin_traffic(6.0, duration_s=4.0)
    fleet.send_repeatedly(DEADLY, pause_s=pause_s, for_s=6.0)
    fleet.run(6.0)
    fleet.lose_all_power(down_s=3.0, lost_disks=lost_disks)
    fleet.run(5.0)
    ends, lost = len(fleet.crashes), len(fleet.lost)
    fleet.send_repeatedly(DEADLY, pause_s=pause_s, for_s=15.0)
    fleet.run(16.0)
    cut = sum(run.content_id != DEADLY for run in fleet.lost[lost:])
    return len(fleet.crashes) - ends, cut


def print_power_losses():
    """Print a row for each way to outlast the loss of all power."""
    print("pause s | disks that are left | engines ended after all power was lost, answers cut off")
    for pause_s in PAUSES_S:
        for lost_disks in KEEPERS_DISKS:
            rows = [play_power_loss(seed, pause_s, lost_disks) for seed in range(SERIES)]
            ends, cut = zip(*rows, strict=True)
            left = 3 - len(lost_disks)
            print(f"{pause_s} | {left} | {statistics.mean(ends):.2f}, {statistics.mean(cut):.2f}")


def main() -> None:
    """Print a row for each size, and for each way and pause."""
    print("entries | all know after ms, an entry that starts after ms")
    for entries in SIZES:
        print(f"{entries} | {[measure_spread(entries, seed) for seed in range(2)]}", flush=True)
    print("entries | entries that start 0.1 s apart know after ms, mean and most")
    for entries in SIZES:
        known_ms = [ms for seed in range(3) for ms in measure_starts(entries, seed)]
        print(f"{entries} | {statistics.mean(known_ms):.0f}, {max(known_ms):.0f}", flush=True)
    print(
        "way | a sound request of 20 a second refused in 10 s, as two instances end at one moment"
    )
    for way in WAYS:
        print(f"{way.name} | {statistics.mean(play_rack(way, s) for s in range(SERIES)):.2f}")
    print("pause s | way | engines ended, answers cut off (standard error), sound ones refused")
    for pause_s in PAUSES_S:
        for way in WAYS:
            rows = [play(way, seed, pause_s) for seed in range(SERIES)]
            ends, cut, refused = zip(*rows, strict=True)
            error = statistics.stdev(cut) / SERIES**0.5
            print(
                f"{pause_s} | {way.name} | {statistics.mean(ends):.2f}, "
                f"{statistics.mean(cut):.2f} ({error:.2f}), {statistics.mean(refused):.2f}",
                flush=True,
            )
    _set(KEPT)
    print_grey()
    print_power_losses()


if __name__ == "__main__":
    main()
