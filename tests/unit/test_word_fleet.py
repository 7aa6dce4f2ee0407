"""Departures and rests reported to one entry reach all entries.

Meanwhile entries restart, halls are cut off and datagrams are lost.
"""

import hypothesis
from hypothesis import stateful, strategies

from lib import load_fleet
from spoolhead._internal.models import shared_load

ENTRIES = 9
INSTANCES = 4
MIN_UPTIME_AFTER_ALARM_S = 1.0
"""Time for which an entry is not restarted after an alarm, since no other may know of it yet."""
RECOVERY_S = 6.0
MAX_REST_MS = 3_000


class WordMachine(stateful.RuleBasedStateMachine):
    """All entries learn of each departure eventually; no rest lasts longer than requested."""

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed):
        self.fleet = load_fleet.LoadFleet(
            entries=ENTRIES, halls=3, keepers=3, instances=INSTANCES, seed=seed
        )
        self.fleet.run(1.0)
        self.alarm_raised_s = dict.fromkeys(range(ENTRIES), 0.0)
        self.leaving = set()

    def _raise_alarm(self, number, instance, kind, for_ms=0):
        name = self.fleet.instances[instance]
        self.fleet.entries[number].sharing.broadcast_alarm(name, kind, for_ms=for_ms)
        self.alarm_raised_s[number] = self.fleet.clock()
        return name

    @stateful.rule(
        number=strategies.integers(0, ENTRIES - 1), instance=strategies.integers(0, INSTANCES - 2)
    )
    def leave(self, number, instance):
        kind = shared_load.AlarmKind.LEAVING
        name = self._raise_alarm(number, instance, kind)
        self.fleet.entries[number].registry.get(name).record_announced_leaving()
        self.leaving.add(name)

    @stateful.rule(
        number=strategies.integers(0, ENTRIES - 1),
        for_ms=strategies.integers(1, MAX_REST_MS),
    )
    def ask_for_rest(self, number, for_ms):
        kind = shared_load.AlarmKind.RESTING
        name = self._raise_alarm(number, INSTANCES - 1, kind, for_ms)
        now_s = self.fleet.clock()
        self.fleet.entries[number].registry.get(name).rest.record(for_ms, now_s)

    @stateful.rule(number=strategies.integers(0, ENTRIES - 1))
    def restart_entry(self, number):
        if (
            self.fleet.clock() - self.alarm_raised_s[number] > MIN_UPTIME_AFTER_ALARM_S
            and not self.fleet.net.cut_off_halls
        ):
            self.fleet.restart_entry(number)

    @stateful.rule(number=strategies.integers(0, 2))
    def cut_or_join_hall(self, number):
        net = self.fleet.net
        net.cut_off_halls = set() if net.cut_off_halls else {self.fleet.halls[number]}

    @stateful.rule()
    def cut_or_join_hubs(self):
        net = self.fleet.net
        net.cut_keepers = set() if net.cut_keepers else {hub.name for hub in self.fleet.hubs}

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.02, 0.2]))
    def lose(self, loss):
        self.fleet.net.loss = loss

    @stateful.rule(for_s=strategies.floats(0.05, 1.5))
    def wait(self, for_s):
        self.fleet.run(for_s)

    def teardown(self):
        net = self.fleet.net
        net.loss = 0.0
        net.cut_off_halls = set()
        net.cut_keepers = set()
        self.fleet.run(RECOVERY_S)
        now_s = self.fleet.clock()
        for entry in self.fleet.entries:
            known = {
                item for item in self.leaving if entry.registry.get(item).has_announced_leaving
            }
            assert known == self.leaving
            rest = entry.registry.get(self.fleet.instances[-1]).rest
            assert not rest.is_resting(now_s)
            assert not rest.has_reports(now_s)


WordMachine.TestCase.settings = hypothesis.settings(
    max_examples=max(10, hypothesis.settings().max_examples // 4), stateful_step_count=15
)
TestWordMachine = WordMachine.TestCase
