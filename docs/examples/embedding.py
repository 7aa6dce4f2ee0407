"""How to embed the replicated log: a counter that three members in one process agree on.

The parts of :mod:`spoolhead.coordination` do no I/O. Whoever embeds them passes in time and
messages, writes the records that they hand out, and tells them what is synced. Here the network
is a list and the disk is a list; in a program they are sockets and a file.

Run it with ``python docs/examples/embedding.py``.
"""

import random

from spoolhead.coordination import consensus, consensus_types, replicated_log
from spoolhead.coordination import consensus_messages as messages

STEP_S = 0.02
LONGEST_S = 10.0


class Counter:
    """The state that all members share; changes are applied in the same order everywhere."""

    def __init__(self) -> None:
        self.value = 0

    def apply(self, data: bytes) -> None:
        """Apply one committed change."""
        self.value += int(data)

    def dump(self) -> bytes:
        """Return the state, for a snapshot."""
        return b"%d" % self.value

    def load(self, state: bytes) -> None:
        """Take over a state from a snapshot."""
        self.value = int(state)


class Member:
    """One member with its disk."""

    def __init__(self, member_id: str, founders: list[str], now_s: float) -> None:
        self.address = messages.get_address(member_id)
        self.counter = Counter()
        self.disk: list[replicated_log.Record] = []
        self.held: list[consensus_types.Envelope] = []
        snapshot = replicated_log.Snapshot(0, 0, list(founders), len(founders), b"0")
        self.consensus = consensus.Consensus(
            member_id,
            replicated_log.ReplicatedLog(snapshot),
            self.counter,
            consensus_types.Timing(),
            random.Random(member_id),
            now_s,
        )

    def apply(self, network: list[consensus_types.Envelope], now_s: float) -> None:
        """Write what must be written, then send what may be sent."""
        effects = self.consensus.take_effects()
        self.held.extend(effects.envelopes)
        if effects.records:
            # A program writes to its file and calls fsync here, and only then goes on.
            self.disk.extend(effects.records)
            self.consensus.note_synced(len(self.disk), now_s)
            self.held.extend(self.consensus.take_effects().envelopes)
        network.extend(item for item in self.held if item.after_record <= len(self.disk))
        self.held = [item for item in self.held if item.after_record > len(self.disk)]


def run() -> list[int]:
    """Elect a leader, add 2 and 40, and return every member's value."""
    now_s = 0.0
    founders = [messages.make_member_id(f"10.0.0.{number}:1", "first") for number in (1, 2, 3)]
    members = [Member(member_id, founders, now_s) for member_id in founders]
    by_address = {member.address: member for member in members}
    network: list[consensus_types.Envelope] = []
    to_add = [b"2", b"40"]
    while now_s < LONGEST_S and any(member.counter.value != 42 for member in members):
        now_s += STEP_S
        for member in members:
            member.consensus.tick(now_s)
            member.apply(network, now_s)
        leader = next((member for member in members if member.consensus.is_leader), None)
        if leader is not None and to_add and leader.consensus.propose(to_add[0], now_s):
            to_add.pop(0)
            leader.apply(network, now_s)
        while network:
            envelope = network.pop(0)
            receiver = by_address[envelope.address]
            receiver.consensus.receive(envelope.message, now_s)
            receiver.apply(network, now_s)
    return [member.counter.value for member in members]


if __name__ == "__main__":
    print(run())
