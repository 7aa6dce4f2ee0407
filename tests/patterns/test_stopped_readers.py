"""Pattern: callers that stop reading long answers, at an entry that bounds the unread bytes of all.

The aim: within the budget nobody is dropped; beyond it, callers that read, if slowly or after a
pause, are kept while there are others that read nothing, and no more are dropped than it takes.
Sizes: 300 callers; the budget is a fifth of an entry's 128 MB; the kernel buffers 256 KiB for
each caller, and accepts more only when a third of that is free. Other rules are compared on the
same loads; ``pytest -n 0 -s`` on this file prints whom each drops.
"""

import collections

import pytest

from spoolhead._internal.policy import unread_budget

BUDGET_BYTES = 25_600_000
KERNEL_BYTES = 262_144
STEP_S = 0.1
CHECK_STEPS = 1
END_S = 20.0
FULL = 10**9
Kind = collections.namedtuple(
    "Kind", "name callers bytes_per_s read_per_s pause length", defaults=[FULL, (0, 0), FULL]
)
LOADS = {
    "all stop at once": [Kind("stopped", 300, 60_000, 0), Kind("good", 60, 60_000)],
    "all pause": [Kind("paused", 300, 40_000, pause=(5, 13))],
    "paused beside stopped": [
        Kind("stopped", 150, 35_000, 0),
        Kind("paused", 100, 120_000, pause=(8, 12)),
    ],
    "one slow among stopped": [
        Kind("stopped", 299, 40_000, 0),
        Kind("slow", 1, 100_000, 30_000),
    ],
    "some slow among stopped": [
        Kind("stopped", 280, 40_000, 0),
        Kind("slow", 20, 140_000, 30_000, length=1_200_000),
    ],
    "old small ones beside large ones": [
        Kind("small", 200, 60_000, 0, length=275_000),
        Kind("stopped", 60, 60_000, pause=(6, FULL)),
    ],
}


def by_unread_bytes(backlog, now_s):
    return True, backlog.unread_bytes


def by_time(backlog, now_s):
    return True, now_s - backlog.read_s


def by_time_above_fair_share(backlog, now_s):
    is_above = backlog.unread_bytes > BUDGET_BYTES / 300
    return (is_above, now_s - backlog.read_s if is_above else backlog.unread_bytes)


def by_bytes_and_time(backlog, now_s):
    return True, backlog.unread_bytes * (now_s - backlog.read_s)


OTHER_RULES = (by_unread_bytes, by_time, by_time_above_fair_share, by_bytes_and_time)


class _Caller:
    def __init__(self, kind):
        self.kind = kind
        self.kernel_bytes = 0
        self.left_bytes = kind.length

    def step(self, budget, now_s):
        unread = budget.get_unread_bytes(self)
        free = KERNEL_BYTES - self.kernel_bytes
        if unread and free >= KERNEL_BYTES / 3:
            budget.record_read(self, min(unread, free), now_s)
            self.kernel_bytes += min(unread, free)
        new = min(self.left_bytes, int(self.kind.bytes_per_s * STEP_S))
        self.left_bytes -= new
        has_backlog = budget.get_unread_bytes(self) > 0
        accepted = 0 if has_backlog else min(new, KERNEL_BYTES - self.kernel_bytes)
        self.kernel_bytes += accepted
        if accepted < new:
            budget.add(self, new - accepted, now_s)
        if not self.kind.pause[0] <= now_s < self.kind.pause[1]:
            self.kernel_bytes -= min(self.kernel_bytes, int(self.kind.read_per_s * STEP_S))


def play(rule, load):
    """Return the number of dropped callers of each kind, and the highest total after drops."""
    budget = unread_budget.UnreadBudget(BUDGET_BYTES, rule)
    callers = [_Caller(kind) for kind in load for _ in range(kind.callers)]
    dropped = collections.Counter()
    highest_bytes = 0
    for step in range(int(END_S / STEP_S)):
        now_s = step * STEP_S
        for caller in list(callers):
            if step % CHECK_STEPS == 0:
                budget.record_kernel_bytes(caller, caller.kernel_bytes, now_s)
            caller.step(budget, now_s)
            for drop in budget.pop_drops(now_s):
                callers.remove(drop.key)
                dropped[drop.key.kind.name] += 1
            highest_bytes = max(highest_bytes, budget.total_bytes)
    return dropped, highest_bytes


@pytest.mark.parametrize("name", LOADS)
def test_only_callers_that_read_nothing_are_dropped(name):
    """Guards against rules that drop a slow or paused reader, or many small ones."""
    dropped, highest_bytes = play(unread_budget.compute_cost, LOADS[name])
    print(name, dict(dropped))
    assert highest_bytes <= BUDGET_BYTES
    assert set(dropped) <= {"stopped"}


@pytest.mark.parametrize("rule", OTHER_RULES)
def test_each_other_rule_drops_the_wrong_callers_in_some_load(rule):
    """Shows that the loads can fail a rule."""
    wrong = set()
    for name, load in LOADS.items():
        dropped, _ = play(rule, load)
        print(rule.__name__, name, dict(dropped))
        wrong |= set(dropped) - {"stopped"}
    assert wrong
