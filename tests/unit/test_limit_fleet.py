"""Rate limits while entries and hubs start and crash, datagrams are lost and halls are cut off."""

import hypothesis
import pytest
from hypothesis import stateful, strategies

from lib import limit_fleet
from spoolhead._internal.models import fleet as models_fleet
from spoolhead._internal.models import shared_load

LIMIT_PER_S = 4.0


def _make(**changes):
    fleet = limit_fleet.LimitFleet(**{"entries": 24, **changes})
    fleet.set_limit(LIMIT_PER_S, fleet.instances[0])
    fleet.begin_traffic(100)
    fleet.run(limit_fleet.CONTACT_S)
    return fleet


def _check(fleet, since_s, *, min_used_fraction=0.0):
    times_s = fleet.upstreams[fleet.instances[0]].get_times_s(since_s)
    assert limit_fleet.get_max_in_window(times_s) <= limit_fleet.get_max_allowed(LIMIT_PER_S)
    assert len(times_s) >= min_used_fraction * LIMIT_PER_S * (fleet.clock() - since_s)


@pytest.mark.parametrize("loss", [0.05, 0.2])
def test_the_limit_holds_and_is_used_while_datagrams_are_lost(loss):
    fleet = _make(loss=loss)
    began_s = fleet.clock()
    fleet.run(8.0)
    _check(fleet, began_s, min_used_fraction=0.6)


def test_another_entry_stands_in_for_a_granter_that_dies():
    """Guards against a limit that is unused, or ignored, after its granter crashed.

    Until the keepers report the crash the backup grants 0.4 of the limit; half of that must be used
    while entries detect the crash.
    """
    fleet = _make()
    began_s = fleet.clock()
    name = fleet.entries[fleet.find_granter(fleet.instances[0])].process.name
    fleet.kill(name)
    fleet.run(6.0)
    _check(fleet, began_s, min_used_fraction=0.2)
    left = tuple(item for item in fleet.known.entries if item.name != name)
    known = models_fleet.Fleet(keepers=fleet.known.keepers, entries=left)
    for entry in fleet.entries:
        entry.set_fleet(known)
    fleet.run(1.0)
    notified_s = fleet.clock()
    fleet.run(6.0)
    _check(fleet, notified_s, min_used_fraction=0.8)
    _check(fleet, began_s)


def test_an_entry_that_starts_knows_the_limits_with_its_first_update():
    """Guards against a burst at a rate-limited instance whenever entries start."""
    fleet = _make()
    for number in range(0, 24, 2):
        fleet.restart_entry(number)
    fleet.run(0.1)
    limited = fleet.get_entries_with_limit(fleet.instances[0])
    updated = [number for number in range(24) if fleet.entries[number].sharing.has_snapshot]
    # One in a hundred datagrams is lost, including first ones.
    assert len(updated) > 20
    assert set(updated) <= set(limited)
    fleet.run(0.3)
    assert len(fleet.get_entries_with_limit(fleet.instances[0])) == 24


def test_the_limit_holds_while_a_granter_starts_again_and_again():
    fleet = _make()
    began_s = fleet.clock()
    for _ in range(6):
        fleet.restart_entry(fleet.find_granter(fleet.instances[0]))
        fleet.run(1.0)
    _check(fleet, began_s)


def test_entries_that_see_different_fleets_keep_within_what_is_allowed():
    """Each half uses another entry as primary granter, as happens shortly after an entry starts."""
    fleet = _make()
    first = fleet.entries[fleet.find_granter(fleet.instances[0])].process.name
    entries = tuple(item for item in fleet.known.entries if item.name != first)
    for entry in fleet.entries[::2]:
        if entry.process.name != first:
            entry.permits.set_entries(entries)
    began_s = fleet.clock()
    fleet.run(1.5)
    for entry in fleet.entries:
        entry.set_fleet(fleet.known)
    fleet.run(6.0)
    _check(fleet, began_s)


def test_a_hall_that_is_cut_off_goes_on_using_its_instance():
    fleet = _make()
    fleet.net.cut_off_halls = {fleet.halls[0]}
    began_s = fleet.clock()
    fleet.run(8.0)
    # The instance is in the first hall, where a third of the requests arrive.
    _check(fleet, began_s, min_used_fraction=0.6)


def test_hubs_that_were_cut_from_each_other_make_good_what_was_said_meanwhile():
    """Guards against entries of one hub that keep a limit which was removed during a cut."""
    fleet = limit_fleet.LimitFleet(entries=24)
    first, second = fleet.instances[:2]
    fleet.set_limit(LIMIT_PER_S, first)
    here = [number for number in range(24) if fleet.entries[number].process.hall == "hall-0"]
    fleet.begin_traffic(40, entries=here)
    fleet.run(limit_fleet.CONTACT_S)
    assert len(fleet.get_entries_with_limit(first)) == 24
    fleet.net.cut_keepers.update(hub.name for hub in fleet.hubs)
    fleet.run(2.0)
    fleet.set_limit(None, first)
    kind = shared_load.AlarmKind.LEAVING
    fleet.entries[here[0]].sharing.broadcast_alarm(second, kind)
    fleet.run(6.0)
    assert len(fleet.get_entries_with_limit(first)) >= 24 - len(here)
    fleet.net.cut_keepers.clear()
    fleet.run(3.0)
    assert fleet.get_entries_with_limit(first) == []
    others = [entry for number, entry in enumerate(fleet.entries) if number != here[0]]
    assert [entry for entry in others if not entry.registry.get(second).has_announced_leaving] == []


def test_a_statement_is_not_lost_with_the_first_reports_that_carry_it():
    """Guards against a limit that is known only to the entry that read it."""
    fleet = limit_fleet.LimitFleet(entries=24)
    name = fleet.instances[0]
    fleet.set_limit(LIMIT_PER_S, name)
    fleet.net.loss = 1.0
    fleet.send(0)
    while not fleet.get_entries_with_limit(name):
        fleet.send(0)
        fleet.run(0.01)
    fleet.run(0.7)
    fleet.net.loss = 0.01
    fleet.run(2.0)
    assert len(fleet.get_entries_with_limit(name)) == 24


def test_the_newest_statement_wins_where_two_cross():
    fleet = _make()
    fleet.set_limit(None, fleet.instances[0])
    fleet.run(3.0)
    assert fleet.get_entries_with_limit(fleet.instances[0]) == []
    fleet.set_limit(LIMIT_PER_S, fleet.instances[0])
    fleet.run(3.0)
    assert len(fleet.get_entries_with_limit(fleet.instances[0])) == 24


def test_a_low_limit_is_used_beside_one_that_takes_all_requests():
    fleet = limit_fleet.LimitFleet(entries=9, seed=0)
    high, _, low = fleet.instances
    fleet.begin_traffic(40)
    fleet.set_limit(60.0, high)
    fleet.run(1.6148559565405403)
    fleet.set_limit(0.5, low)
    fleet.net.loss = 0.0
    fleet.send_one_to(low)
    fleet.run(6.0)
    began_s = fleet.clock()
    fleet.run(6.0)
    assert len(fleet.upstreams[low].get_times_s(began_s)) >= 2


class LimitMachine(stateful.RuleBasedStateMachine):
    """Instances change their limits while processes fail; each stated limit holds, and no other."""

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed):
        self.fleet = limit_fleet.LimitFleet(entries=9, seed=seed)
        self.fleet.begin_traffic(40)
        self.changed_s = {name: self.fleet.clock() for name in self.fleet.instances}
        self.excused_s = self.fleet.clock()

    def _disturb(self):
        self.excused_s = self.fleet.clock()

    @stateful.rule(
        number=strategies.integers(0, 2),
        limit_per_s=strategies.sampled_from([None, 0.0, 0.5, 2.0, 8.0, 60.0]),
    )
    def change_limit(self, number, limit_per_s):
        name = self.fleet.instances[number]
        self.fleet.set_limit(limit_per_s, name)
        self.changed_s[name] = self.fleet.clock()

    @stateful.rule(number=strategies.integers(0, 8))
    def restart_entry(self, number):
        self.fleet.restart_entry(number)
        self._disturb()

    @stateful.rule(number=strategies.integers(0, 2))
    def cut_or_join(self, number):
        hall = self.fleet.halls[number]
        self.fleet.net.cut_off_halls = set() if self.fleet.net.cut_off_halls else {hall}
        self._disturb()

    @stateful.rule()
    def cut_or_join_hubs(self):
        net = self.fleet.net
        net.cut_keepers = set() if net.cut_keepers else {hub.name for hub in self.fleet.hubs}
        self._disturb()

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.02, 0.2]))
    def lose(self, loss):
        self.fleet.net.loss = loss

    @stateful.rule(for_s=strategies.floats(0.05, 2.0))
    def wait(self, for_s):
        self.fleet.run(for_s)

    @stateful.invariant()
    def keeps_limits(self):
        for name, instance in self.fleet.upstreams.items():
            if instance.limit_per_s is None:
                continue
            since_s = max(self.changed_s[name], self.excused_s) + limit_fleet.CONTACT_S
            allowed = limit_fleet.get_max_allowed(instance.limit_per_s)
            assert limit_fleet.get_max_in_window(instance.get_times_s(since_s)) <= allowed

    def teardown(self):
        """Without disturbances each limit is used, and instances without one are not limited."""
        fleet = self.fleet
        fleet.net.loss = 0.0
        fleet.net.cut_off_halls = set()
        fleet.net.cut_keepers = set()
        # The simulated entries send all requests to limited instances, so others may not be used.
        for name in fleet.instances:
            fleet.send_one_to(name)
        fleet.run(6.0)
        began_s = fleet.clock()
        fleet.run(6.0)
        for name, instance in fleet.upstreams.items():
            if instance.limit_per_s is None:
                assert fleet.get_entries_with_limit(name) == []
            else:
                wanted = min(0.7 * instance.limit_per_s, 3.0) * 6.0 - 1.0
                assert len(instance.get_times_s(began_s)) >= wanted


LimitMachine.TestCase.settings = hypothesis.settings(
    max_examples=max(10, hypothesis.settings().max_examples // 4), stateful_step_count=15
)
TestLimitMachine = LimitMachine.TestCase
