"""Shows two histories of the keepers' agreement in a simulation; not a case, since it plays no programs.

Usage: PYTHONPATH=target/deps python3 -S review/lib-2/replaced_voter.py. It drives the members of
``spoolhead.coordination.consensus`` without network and disk: each message takes one step, and each
record is on disk at once. The exit code is 1 if a change that was committed is missing at a leader.

The leader stands still; one of the others becomes a candidate, and the third votes for it. Before the
candidate reads the reply, it stands still, the voter loses its disk and is started again at its address, and
the leader goes on within its lease. It replaces the voter in one step and commits a change with the new
process. Then the candidate reads the reply of the former voter.
"""

import random
import sys

from spoolhead.coordination import consensus, consensus_types, replicated_log
from spoolhead.coordination import consensus_messages as messages

STEP_S = 0.02
FINE_STEP_S = 0.001
NAMES = ("a", "x", "y")


class State:
    """State machine that keeps the committed changes.

    :ivar changes: the changes, in order.
    """

    def __init__(self):
        self.changes = []

    def apply(self, data):
        self.changes.append(data)

    def dump(self):
        return b"|".join(self.changes)

    def load(self, state):
        self.changes = state.split(b"|") if state else []


class Group:
    """Three members and the messages between them.

    :ivar now_s: simulated time.
    :ivar still: names of the members that stand still.
    """

    def __init__(self):
        self.now_s = 0.0
        self.still = set()
        self.states = {}
        self.members = {}
        self._written = {}
        self._sent = []
        self._held = []
        ids = [make_id(name, "first") for name in NAMES]
        for name in NAMES:
            self.start(name, "first", ids)

    def start(self, name, mark, members):
        """Start a member with an empty disk."""
        snapshot = replicated_log.Snapshot(0, 0, members, len(members), b"")
        self.states[name] = State()
        self._written[name] = 0
        self.members[name] = consensus.Consensus(
            make_id(name, mark),
            replicated_log.ReplicatedLog(snapshot),
            self.states[name],
            consensus_types.Timing(),
            random.Random(name),
            self.now_s,
        )

    def step(self, step_s=STEP_S):
        """Let time pass, and deliver the messages of the step before."""
        self.now_s += step_s
        delivered, self._sent = self._sent, []
        for name, member in self.members.items():
            if name not in self.still:
                member.tick(self.now_s)
                self._collect(name)
        for name, message in delivered:
            if name in self.still:
                self._held.append((name, message))
            else:
                self.members[name].receive(message, self.now_s)
                self._collect(name)

    def wake(self, name):
        """Let a member go on; it reads what it was sent meanwhile."""
        self.still.discard(name)
        self._sent += [item for item in self._held if item[0] == name]
        self._held = [item for item in self._held if item[0] != name]

    def send(self, name, message):
        """Send a message from outside."""
        self._sent.append((name, message))

    def _collect(self, name):
        member = self.members[name]
        while True:
            effects = member.take_effects()
            if not effects.records and not effects.envelopes:
                return
            self._written[name] += len(effects.records)
            self._sent += [(item.address.split(":")[0], item.message) for item in effects.envelopes]
            member.note_synced(self._written[name], self.now_s)


def make_id(name, mark):
    """Return the id of a member."""
    return messages.make_member_id(f"{name}:1", mark)


def play():
    """Play the order of events; return the group."""
    group = Group()
    a, x, y = (group.members[name] for name in NAMES)
    while not (a.is_leader or x.is_leader or y.is_leader):
        group.step()
    for _ in range(10):
        group.step()
    leader = next(name for name in NAMES if group.members[name].is_leader)
    group.members[leader].propose(b"version 3", group.now_s)
    for _ in range(5):
        group.step()
    print(f"{leader} leads in term {group.members[leader].term} and has committed version 3")
    term = group.members[leader].term
    group.still.add(leader)
    others = [name for name in NAMES if name != leader]
    while all(group.members[name].term == term for name in others):
        group.step(FINE_STEP_S)
    candidate = next(name for name in others if group.members[name].term > term)
    voter = next(name for name in others if name != candidate)
    while group.members[voter].term == term:
        group.step(FINE_STEP_S)
    group.still.add(candidate)
    print(f"{leader} stands still; {voter} has voted for {candidate}, which stands still, too")
    group.step(FINE_STEP_S)
    group.start(voter, "new", [])
    group.wake(leader)
    request = messages.JoinRequest(member=make_id(voter, "new"), is_first_start=False)
    group.send(leader, request)
    while not group.members[voter].is_member:
        group.step(FINE_STEP_S)
    group.members[leader].propose(b"version 5", group.now_s)
    while b"version 5" not in group.states[leader].changes:
        group.step(FINE_STEP_S)
    print(f"{voter} is empty and replaced; {leader} has committed version 5 with it")
    group.wake(candidate)
    for _ in range(20):
        group.step()
    return group


def main():
    """Play, and compare the histories."""
    group = play()
    is_lost = False
    for name, member in group.members.items():
        text = f"{name}: term {member.term}, leader {member.leader}, members {list(member.members)}"
        changes = [change.decode() for change in group.states[name].changes]
        print(f"{text}, committed {changes}")
        is_lost = is_lost or member.is_leader and "version 5" not in changes
    print("version 5 is missing at the leader" if is_lost else "no difference")
    sys.exit(1 if is_lost else 0)


if __name__ == "__main__":
    main()
