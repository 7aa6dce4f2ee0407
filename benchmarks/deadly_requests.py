"""Compares rules for holding contents that crash instances, and measures how fast entries learn.

Uses real broadcasts over a simulated network (tests/lib/content_fleet.py); results are repeatable.
Usage: .venv/bin/python benchmarks/deadly_requests.py
"""

import pathlib
import statistics
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "tools")]

from lib import content_fleet  # noqa: E402
from spoolhead._internal.models import sent_run  # noqa: E402
from spoolhead._internal.policy import quarantine  # noqa: E402

DEADLY = content_fleet.make_id("deadly")
READ = content_fleet.make_id("read by many")
NEVER = 99
SERIES = 30
PAUSES_S = (1.5, 0.3)
SIZES = (24, 67, 195, 350)


class Rule:
    """A rule for holding a content.

    :ivar waves: number of waves of crashes after which a content is held.
    :ivar ends: total number of crashes after which a content is held.
    :ivar is_isolated: whether a suspect content runs at the instance with the fewest runs.
    :ivar is_broadcast: whether entries broadcast their records.
    """

    def __init__(self, name, waves, ends, *, is_isolated=True, is_broadcast=True):
        self.name = name
        self.waves = waves
        self.ends = ends
        self.is_isolated = is_isolated
        self.is_broadcast = is_broadcast


RULES = (
    Rule("never, placed by chance", NEVER, NEVER, is_isolated=False),
    Rule("never, run apart", NEVER, NEVER),
    Rule("first", 1, 1, is_isolated=False),
    Rule("second", 2, 3, is_isolated=False),
    Rule("second, run apart (kept)", 2, 3),
    Rule("the same, ends at one moment counted singly", 2, 2),
    Rule("the same, entries tell nothing", 2, 3, is_broadcast=False),
    Rule("third", 3, 3, is_isolated=False),
    Rule("third, run apart", 3, 3),
)

SELECTED_RULE = RULES[4]
STARTS = 12
"""Number of entries that restart one after another."""
STEP_S = 0.005
STEPS_BETWEEN = 20
"""Steps between two such restarts, 0.1 s in total."""
GREY_FRACTION = 0.4
"""Fraction of the requests that fail at an instance before they run."""
KEEPERS_DISKS = ((0, 1, 2), (), (0, 1))
"""Keepers whose disks are lost with the power; if all are lost, no record survives."""


class Fleet(content_fleet.ContentFleet):
    """A fleet that applies a rule."""

    def __init__(self, rule, seed):
        super().__init__(entries=8, simulated_instances=9, seed=seed)
        self._rule = rule
        if not rule.is_broadcast:
            for entry in self.entries:
                entry.contents.handle_update = lambda hub, update: None

    def _run(self, number, keys, duration_s, *, is_isolated):
        super()._run(number, keys, duration_s, is_isolated=is_isolated and self._rule.is_isolated)


def _apply(rule):
    quarantine.WAVES_TO_HOLD = rule.waves
    quarantine.ENDS_TO_HOLD = rule.ends
    quarantine.PROVED_WAVES = rule.waves + 1


def simulate(rule, seed, pause_s):
    """Simulate one series; return crashes, lost harmless runs and refused harmless requests."""
    _apply(rule)
    fleet = Fleet(rule, seed)
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


def simulate_rack(rule, seed):
    """Crash two instances at once while many callers send one harmless content.

    :returns: the number of refused requests.
    """
    _apply(rule)
    fleet = Fleet(rule, seed)
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
    """Return the ms until a content is held at all entries, and at an entry that starts later."""
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
    """Return the ms until a content is held at each of the entries that restart in sequence."""
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
    """A fleet in which a fraction of the requests fails before it runs.

    :param clears: whether such a failure counts as evidence that the content is harmless.
    """

    def __init__(self, *, clears, seed):
        super().__init__(entries=8, simulated_instances=9, seed=seed)
        self._clears = clears

    def _run(self, number, keys, duration_s, *, is_isolated):
        if self.rng.random() >= GREY_FRACTION:
            super()._run(number, keys, duration_s, is_isolated=is_isolated)
        elif self._clears:
            instance = self.rng.choice(self.simulated_instances)
            sent = sent_run.SentRun(instance.incarnation_id, keys, sent_s=self.clock.now_s)
            self.entries[number].contents.record_answered(sent)


def simulate_grey(clears, pause_s, seed):
    """Return the number of crashes in one series."""
    fleet = GreyFleet(clears=clears, seed=seed)
    fleet.deadly.add(DEADLY)
    fleet.run(2.0)
    fleet.send_repeatedly(DEADLY, pause_s=pause_s, for_s=15.0)
    fleet.run(16.0)
    return len(fleet.crashes)


def print_grey():
    """Print a row for each interpretation of an instance's failure."""
    print("pause s | a failure is taken for a good end | engines ended, mean and most")
    for pause_s in PAUSES_S:
        for clears in (True, False):
            ends = [simulate_grey(clears, pause_s, seed) for seed in range(SERIES)]
            print(f"{pause_s} | {clears} | {statistics.mean(ends):.2f}, {max(ends)}")


def simulate_power_loss(seed, pause_s, lost_disks):
    """Return the number of crashes and of lost harmless runs after a loss of all power."""
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
    """Print a row for each set of disks that survives the loss of all power."""
    print("pause s | disks that are left | engines ended after all power was lost, answers cut off")
    for pause_s in PAUSES_S:
        for lost_disks in KEEPERS_DISKS:
            rows = [simulate_power_loss(seed, pause_s, lost_disks) for seed in range(SERIES)]
            ends, cut = zip(*rows, strict=True)
            left = 3 - len(lost_disks)
            print(f"{pause_s} | {left} | {statistics.mean(ends):.2f}, {statistics.mean(cut):.2f}")


def main() -> None:
    """Print a row for each fleet size, and for each rule and pause."""
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
    for rule in RULES:
        print(f"{rule.name} | {statistics.mean(simulate_rack(rule, s) for s in range(SERIES)):.2f}")
    print("pause s | way | engines ended, answers cut off (standard error), sound ones refused")
    for pause_s in PAUSES_S:
        for rule in RULES:
            rows = [simulate(rule, seed, pause_s) for seed in range(SERIES)]
            ends, cut, refused = zip(*rows, strict=True)
            error = statistics.stdev(cut) / SERIES**0.5
            print(
                f"{pause_s} | {rule.name} | {statistics.mean(ends):.2f}, "
                f"{statistics.mean(cut):.2f} ({error:.2f}), {statistics.mean(refused):.2f}",
                flush=True,
            )
    _apply(SELECTED_RULE)
    print_grey()
    print_power_losses()


if __name__ == "__main__":
    main()
