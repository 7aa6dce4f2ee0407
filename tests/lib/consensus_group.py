"""Simulates the members of a replicated log in one process, with network and disk faults.

Tests drive the members step by step: messages wait until they are delivered, dropped or repeated;
records wait until they are synced; a crash loses the records that were not synced.
"""

import random

import msgpack

from spoolhead._internal.models import evacuations
from spoolhead.coordination import consensus, consensus_types, replicated_log
from spoolhead.coordination import consensus_messages as messages

STEP_S = 0.05
SEEDS_PER_PROCESS = 3
"""Number of addresses that a process receives to find the group, independent of its size."""
TIMING = consensus_types.Timing()


class ListMachine:
    """State machine that records all changes in order and applies orders on halls."""

    def __init__(self):
        self.changes = []
        self.evacuations = evacuations.Evacuations()

    def apply(self, data):
        self.changes.append(data)
        if not data.startswith(b"change-"):
            order = evacuations.unpack_order(msgpack.unpackb(data))
            self.evacuations.apply(order)

    def dump(self):
        return msgpack.packb(self.changes)

    def load(self, state):
        self.__init__()
        for data in msgpack.unpackb(state):
            self.apply(data)


class Node:
    """One member with its disk.

    :ivar disk: records that are synced.
    :ivar unsynced: records that are written but not synced.
    :ivar unsent: messages that wait for a record to be synced.
    :ivar acknowledged_before: number of changes that were acknowledged before the last start.
    """

    def __init__(self, group, address, mark, founders):
        self.group = group
        self.address = address
        self.seeds = group.draw_seeds()
        self.member_id = messages.make_member_id(address, mark)
        self.founders = founders
        self.disk = []
        self.is_up = False
        self.start()

    def start(self):
        self.acknowledged_before = len(self.group.acknowledged)
        if self.group.streams_end_with_processes:
            self.group.in_flight = [
                item for item in self.group.in_flight if item[1] != self.address
            ]
        log = replicated_log.ReplicatedLog(
            replicated_log.Snapshot(0, 0, list(self.founders), len(self.founders), b"")
        )
        for record in self.disk:
            log.restore(record)
        self.log = log
        self.machine = ListMachine()
        self.unsynced = []
        self.synced_number = 0
        self.unsent = []
        self.consensus = consensus.Consensus(
            self.member_id,
            log,
            self.machine,
            TIMING,
            random.Random(self.group.rng.random()),
            self.group.now_s,
        )
        # Like the real program, a start rewrites the file with the records that restore the log.
        self.disk = list(log.get_records())
        self.is_up = True

    def crash(self):
        self.is_up = False
        self.unsynced = []
        self.unsent = []

    def apply_effects(self):
        effects = self.consensus.take_effects()
        self.unsynced.extend(effects.records)
        self.unsent.extend(effects.envelopes)
        self._send_ready()

    def sync(self):
        self.disk.extend(self.unsynced)
        self.synced_number += len(self.unsynced)
        self.unsynced = []
        self.consensus.note_synced(self.synced_number, self.group.now_s)
        self.apply_effects()

    def _send_ready(self):
        not_ready = []
        for envelope in self.unsent:
            must_wait = envelope.after_record > self.synced_number
            if must_wait and not self.group.ignores_syncs:
                not_ready.append(envelope)
            else:
                self.group.in_flight.append((self.address, envelope.address, envelope.message))
        self.unsent = not_ready


class Group:
    """The members, the messages in flight and the invariants.

    :param seed: seed of all random choices.
    :param size: number of initial members.
    :param streams_end_with_processes: whether messages sent to a process before its start are lost,
        as on streams; otherwise they may still arrive.
    :ivar cut_pairs: pairs of addresses between which messages are lost.
    :ivar ignores_syncs: whether messages are sent without waiting for their record; a defect to
        detect.
    :ivar acknowledged: changes that a leader has acknowledged, in order.
    :ivar longest: the longest sequence of changes applied by any member.
    """

    def __init__(self, seed, size=3, *, streams_end_with_processes=False):
        self.rng = random.Random(seed)
        self.seed_rng = random.Random(seed)
        self.now_s = 100.0
        self.in_flight = []
        self.cut_pairs = set()
        self.ignores_syncs = False
        self.streams_end_with_processes = streams_end_with_processes
        self.acknowledged = []
        self.longest = []
        self.leaders = {}
        self.proposed = 0
        self.reads = []
        founders = [messages.make_member_id(f"10.0.0.{i}:1", "first") for i in range(1, size + 1)]
        self.nodes = {}
        self.addresses = [messages.get_address(member_id) for member_id in founders]
        for member_id in founders:
            address = messages.get_address(member_id)
            self.nodes[address] = Node(self, address, "first", founders)
        self.mark_count = 0

    def draw_seeds(self):
        """Return the addresses that a process receives when it starts."""
        known = sorted(self.nodes) or self.addresses
        return self.seed_rng.sample(known, min(SEEDS_PER_PROCESS, len(known)))

    def up(self):
        """Return the members that are running."""
        return [node for node in self.nodes.values() if node.is_up]

    def advance(self, steps=1):
        for _ in range(steps):
            self.now_s += STEP_S
            for node in self.up():
                node.consensus.tick(self.now_s)
                if not node.consensus.leader or not node.consensus.is_member:
                    self._ask_to_join(node)
                node.apply_effects()
            self.check()

    def _ask_to_join(self, node):
        request = messages.JoinRequest(member=node.member_id, is_first_start=False)
        known = {*node.seeds, *node.consensus.get_known_addresses()}
        for address in sorted(known):
            if address != node.address:
                self.in_flight.append((node.address, address, request))

    def deliver(self, index):
        sender, receiver, message = self.in_flight.pop(index)
        node = self.nodes.get(receiver)
        if frozenset((sender, receiver)) in self.cut_pairs or node is None or not node.is_up:
            return
        node.consensus.receive(message, self.now_s)
        node.apply_effects()
        self.check()

    def settle(self, seconds=5.0):
        """Let time pass while the network and the disks work."""
        self.cut_pairs.clear()
        for _ in range(int(seconds / STEP_S)):
            self.advance()
            for node in self.up():
                node.sync()
            for _ in range(400):
                if not self.in_flight:
                    break
                self.deliver(0)
                if self.rng.random() < 0.3:
                    for node in self.up():
                        node.sync()
            self.in_flight.clear()

    def propose(self, node):
        self.proposed += 1
        data = f"change-{self.proposed}".encode()
        if node.consensus.propose(data, self.now_s):
            node.apply_effects()
        self.check()

    def order_hall(self, node, hall, is_evacuated):
        """Have a leader propose an order on a hall."""
        self.proposed += 1
        order = evacuations.HallOrder(
            hall=hall,
            is_evacuated=is_evacuated,
            base_revision=node.machine.evacuations.get_revision(hall),
            order_id=f"order-{self.proposed}",
        )
        if node.consensus.propose(evacuations.pack_order(order), self.now_s):
            node.apply_effects()
        self.check()

    def begin_read(self, node):
        round_number = node.consensus.begin_read(self.now_s)
        if round_number is not None:
            self.reads.append((node, round_number, len(self.acknowledged)))
            node.apply_effects()

    def wipe(self, address):
        """Replace a member by one with an empty disk at the same address."""
        self.mark_count += 1
        node = self.nodes[address]
        node.crash()
        self.nodes[address] = Node(self, address, f"again-{self.mark_count}", [])

    def replace(self, address):
        """Replace a member by one with an empty disk at another address."""
        self.mark_count += 1
        self.nodes.pop(address).crash()
        other = f"10.0.1.{self.mark_count}:1"
        self.nodes[other] = Node(self, other, f"new-{self.mark_count}", [])

    def check(self):
        """Check the invariants."""
        for node in self.up():
            changes = node.machine.changes
            if node.consensus.has_caught_up and self.streams_end_with_processes:
                assert (
                    len(changes) >= node.acknowledged_before
                ), "a stale state is reported as caught up"
            shared = min(len(changes), len(self.longest))
            assert changes[:shared] == self.longest[:shared], "two members differ"
            if len(changes) > len(self.longest):
                self.longest = list(changes)
            if node.consensus.is_leader:
                leader = self.leaders.setdefault(node.consensus.term, node.member_id)
                assert leader == node.member_id, "two leaders in one term"
                # A change is acknowledged to its sender once the leader has applied it.
                if len(changes) > len(self.acknowledged):
                    self.acknowledged = list(changes)
        assert self.longest[: len(self.acknowledged)] == self.acknowledged
        for read in list(self.reads):
            node, round_number, count = read
            if node.is_up and node.consensus.is_confirmed(round_number):
                assert len(node.machine.changes) >= count, "a confirmed read returns an older state"
                self.reads.remove(read)


def run_at_random(seed, steps=400, size=3, **options):
    """Run a group with random events and check that no acknowledged change is lost."""
    group = Group(seed, size, **options)
    rng = group.rng
    wiped_s = -1e9
    for _ in range(steps):
        choice = rng.random()
        nodes = group.up()
        if choice < 0.35 and group.in_flight:
            group.deliver(rng.randrange(min(len(group.in_flight), 4)))
        elif choice < 0.50:
            group.advance()
        elif choice < 0.68 and nodes:
            rng.choice(nodes).sync()
        elif choice < 0.78 and nodes:
            group.propose(rng.choice(nodes))
        elif choice < 0.83 and nodes:
            group.begin_read(rng.choice(nodes))
        elif choice < 0.87 and group.in_flight:
            group.in_flight.pop(rng.randrange(len(group.in_flight)))
        elif choice < 0.90 and group.in_flight:
            group.in_flight.append(rng.choice(group.in_flight))
        elif choice < 0.92 and nodes:
            rng.choice(nodes).crash()
        elif choice < 0.95:
            for node in group.nodes.values():
                if not node.is_up:
                    node.start()
        elif choice < 0.98 and size > 1:
            addresses = list(group.nodes)
            pair = frozenset(rng.sample(addresses, 2))
            group.cut_pairs ^= {pair}
        elif size > 2 and group.now_s - wiped_s > 6.0 and len(nodes) == len(group.nodes):
            group.settle(4.0)
            wiped_s = group.now_s
            address = rng.choice(list(group.nodes))
            if rng.random() < 0.5:
                group.wipe(address)
            else:
                group.replace(address)
            group.settle(3.0)
    for node in group.nodes.values():
        if not node.is_up:
            node.start()
    group.settle(8.0)
    leaders = [node for node in group.up() if node.consensus.is_leader]
    assert len(leaders) == 1, "no leader after all faults have ended"
    for node in group.up():
        changes = node.machine.changes
        assert changes[: len(group.acknowledged)] == group.acknowledged, "a change was lost"
    return group
