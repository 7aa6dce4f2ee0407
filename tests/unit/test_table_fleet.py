"""Random tests of keepers and entries: acknowledged changes are in force at all entries in time.

Entries are cut off, restarted and fail to put a table in force; keepers crash, lose their disks
and lose power together, while changes continue. No entry may return to an older table, use a table
that was never committed, or be sure of one that is older than a change acknowledged before the
entry started.
"""

import random

import pytest
from hypothesis import stateful, strategies

from lib import consensus_group, table_fleet
from spoolhead._internal.gateway import table_feed
from spoolhead._internal.models import evacuations
from spoolhead.coordination import consensus

IN_FORCE_S = 2.0
"""Time within which an accepted change must be in force while there is a leader."""
MIN_WIPE_INTERVAL_S = 6.0


class TableFleetMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.fleet = None
        self._time = table_feed.clocks

    @stateful.initialize(
        seed=strategies.integers(min_value=0, max_value=10_000),
        size=strategies.sampled_from((3, 5, 6)),
    )
    def begin(self, seed, size):
        self.fleet = table_fleet.Fleet(seed, size)
        table_feed.clocks = self.fleet
        self.wiped_s = self.fleet.group.now_s
        self.fleet.settle(2.0)

    def teardown(self):
        table_feed.clocks = self._time

    def _get_rng(self):
        return self.fleet.group.rng

    @stateful.rule(steps=strategies.integers(min_value=1, max_value=12))
    def advance(self, steps):
        group = self.fleet.group
        for _ in range(steps):
            group.advance()
            for _ in range(len(group.in_flight)):
                if group.in_flight:
                    group.deliver(0)
            for node in group.up():
                node.sync()

    @stateful.rule()
    def propose(self):
        leaders = [node for node in self.fleet.group.up() if node.consensus.is_leader]
        if leaders:
            self.fleet.group.propose(self._get_rng().choice(leaders))

    @stateful.rule(
        hall=strategies.sampled_from(("hall-a", "hall-b")), is_evacuated=strategies.booleans()
    )
    def order_hall(self, hall, is_evacuated):
        leaders = [node for node in self.fleet.group.up() if node.consensus.is_leader]
        if leaders:
            leader = self._get_rng().choice(leaders)
            self.fleet.group.order_hall(leader, hall, is_evacuated)

    @stateful.rule(name=strategies.sampled_from(("entry-1", "entry-2")))
    def deliver(self, name):
        self.fleet.deliver(self.fleet.entries[name])

    @stateful.rule(name=strategies.sampled_from(("entry-1", "entry-2")))
    def close(self, name):
        address = self._get_rng().choice(sorted(self.fleet.group.nodes))
        self.fleet.cut_link(name, address)

    @stateful.rule()
    def open(self):
        self.fleet.cut_links.clear()

    @stateful.rule(name=strategies.sampled_from(("entry-1", "entry-2")))
    def restart_entry(self, name):
        self.fleet.start_entry(name)

    @stateful.rule(name=strategies.sampled_from(("entry-1", "entry-2")))
    def fail_next(self, name):
        self.fleet.entries[name].failures = 1

    @stateful.rule()
    def crash_keeper(self):
        self.fleet.crash_keeper(self._get_rng().choice(sorted(self.fleet.group.nodes)))

    @stateful.rule()
    def start_keepers(self):
        for node in self.fleet.group.nodes.values():
            if not node.is_up:
                node.start()

    @stateful.rule()
    def lose_all_power(self):
        """Restart all keepers and entries; entries lose their state."""
        for address in sorted(self.fleet.group.nodes):
            self.fleet.crash_keeper(address)
        for name in sorted(self.fleet.entries):
            self.fleet.start_entry(name)
        self.start_keepers()

    @stateful.rule(is_replaced=strategies.booleans())
    def lose_a_disk(self, is_replaced):
        """Lose one disk, if the group has had time to recover from the previous loss."""
        group = self.fleet.group
        if group.now_s - self.wiped_s < MIN_WIPE_INTERVAL_S:
            return
        self.heal()
        self.wiped_s = group.now_s
        address = self._get_rng().choice(sorted(group.nodes))
        (group.replace if is_replaced else group.wipe)(address)

    @stateful.rule()
    def heal(self):
        self.start_keepers()
        for entry in self.fleet.entries.values():
            entry.failures = 0
        self.fleet.settle(6.0)
        group = self.fleet.group
        (leader,) = [node for node in group.up() if node.consensus.is_leader]
        group.propose(leader)
        self.fleet.settle(IN_FORCE_S)
        newest = len(group.acknowledged)
        assert leader.machine.changes
        wanted = table_fleet.get_evacuations(group.acknowledged)
        for node in group.up():
            assert node.machine.evacuations.pack() == wanted.pack(), "an order was lost"
        for entry in self.fleet.entries.values():
            assert entry.version == newest, "a change is not in force in time"
            assert entry.feed.is_sure
            assert entry.evacuated_halls == wanted.evacuated_halls, "a hall's state is not known"

    @stateful.invariant()
    def nothing_old(self):
        if self.fleet is not None:
            self.fleet.check()


TestTableFleet = TableFleetMachine.TestCase


def _run_rules(seed, steps=120):
    """Run the machine's rules in an order from a seeded random generator."""
    rng = random.Random(seed)
    machine = TableFleetMachine()
    rules = (
        lambda: machine.advance(rng.randrange(1, 12)),
        machine.propose,
        lambda: machine.restart_entry(rng.choice(("entry-1", "entry-2"))),
        machine.crash_keeper,
        machine.start_keepers,
        machine.lose_all_power,
        machine.open,
        machine.heal,
    )
    try:
        machine.begin(seed, rng.choice((3, 5, 6)))
        for _ in range(steps):
            rng.choice(rules)()
            machine.nothing_old()
    finally:
        machine.teardown()


@pytest.mark.parametrize("seed", range(4))
def test_a_long_walk(seed):
    _run_rules(seed)


def _run_orders(seed, steps=60, order_revision_before=0):
    """Run mostly orders on halls, while keepers lose their disks and are replaced."""
    rng = random.Random(seed)
    machine = TableFleetMachine()

    def _order():
        machine.order_hall(rng.choice(("hall-a", "hall-b")), rng.random() < 0.5)

    rules = (
        lambda: machine.advance(rng.randrange(1, 12)),
        _order,
        _order,
        machine.propose,
        lambda: machine.restart_entry(rng.choice(("entry-1", "entry-2"))),
        machine.crash_keeper,
        machine.start_keepers,
        machine.lose_all_power,
        lambda: machine.lose_a_disk(rng.random() < 0.5),
    )
    try:
        machine.begin(seed, rng.choice((3, 5, 6)))
        for _ in range(order_revision_before):
            _order()
            machine.advance(4)
        for _ in range(steps):
            rng.choice(rules)()
            machine.nothing_old()
        machine.heal()
    finally:
        machine.teardown()


@pytest.mark.parametrize("seed", range(6))
def test_orders_on_halls_are_never_lost(seed):
    _run_orders(seed, order_revision_before=40 * (seed % 2))


def test_defect_a_keeper_that_confirms_what_it_starts_with_is_caught(monkeypatch):
    init = consensus.Consensus.__init__

    def _init(self, *arguments):
        init(self, *arguments)
        self.has_caught_up = True

    monkeypatch.setattr(consensus.Consensus, "__init__", _init)
    monkeypatch.setattr(consensus.Consensus, "_update_caught_up", lambda self, index: None)
    with pytest.raises(AssertionError):
        for seed in range(30):
            _run_rules(seed)


def test_defect_an_announcement_that_is_lost_is_caught(monkeypatch):
    """A keeper announces each version only once per stream."""
    monkeypatch.setattr(table_fleet.KeeperIncarnation, "broadcast_changes", lambda self: None)
    with pytest.raises(AssertionError):
        for seed in range(10):
            _run_rules(seed)


def test_defect_a_snapshot_without_evacuated_halls_is_caught(monkeypatch):
    """A joining keeper learns of earlier orders only from a snapshot."""
    load = consensus_group.ListMachine.load

    def _load(self, state):
        load(self, state)
        self.evacuations = evacuations.Evacuations()

    monkeypatch.setattr(consensus_group.ListMachine, "load", _load)
    with pytest.raises(AssertionError):
        for seed in range(40):
            _run_orders(seed, order_revision_before=40)
