"""Random walks of the members of a replicated log through overlapping faults, in simulated time.

Members stand still and later read what they were sent meanwhile, are killed, lose their disk or are
replaced; messages and syncs are delayed. One disk is lost at a time (see :attr:`Walk.spare_disks`);
every other fault may overlap with it and with the changes of members that follow from it.
"""

import collections

from lib import consensus_group

STEP_S = 0.01
MAX_DELAY_S = 0.02
QUIET_S = 4.2
"""Time without a fault, with all members back, after which the next disk may be lost."""
RECOVERY_S = 12.0
"""Time after the last fault by which the group must serve again."""
PROPOSAL_INTERVAL_S = 0.25
READ_INTERVAL_S = 0.1
JOIN_INTERVAL_S = 0.5


class Walk(consensus_group.Group):
    """A group whose faults overlap.

    :param seed: seed of all random choices.
    :param size: number of initial members.
    :param spare_disks: number of disks that may be lost at one time.
    :ivar frozen: time at which each member that stands still goes on, by address.
    :ivar down: time at which each killed member is started again, by address.
    """

    def __init__(self, seed, size=3, *, spare_disks=1):
        super().__init__(seed, size, streams_end_with_processes=True)
        self.spare_disks = spare_disks
        self.frozen = {}
        self.down = {}
        self.removals = {}
        self._queues = collections.defaultdict(collections.deque)
        self._syncs = {}
        self._join_due_s = {}
        self._last_fault_s = self.now_s
        self._may_lose_disk = False
        self._last_proposal_s = self._last_read_s = self.now_s

    def run(self, duration_s, on_step=None):
        """Let time pass; ``on_step`` is called before each step."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            if on_step is not None:
                on_step()
            self.step()

    def run_until(self, predicate, limit_s):
        """Let time pass until a predicate holds; return whether it does."""
        end_s = self.now_s + limit_s
        while not predicate():
            if self.now_s >= end_s:
                return False
            self.step()
        return True

    def step(self):
        self.now_s += STEP_S
        self._end_faults()
        if self.now_s - self._last_fault_s > QUIET_S and self.is_whole():
            self._may_lose_disk = True
        for node in self.running():
            node.consensus.tick(self.now_s)
            self._request_join(node)
            node.apply_effects()
        self._queue_sent()
        self._deliver_due()
        self._sync_due()
        self._queue_sent()
        self._act_as_operator()
        self.check()

    def running(self):
        """Return the members that run and do not stand still."""
        return [node for node in self.up() if node.address not in self.frozen]

    def get_leaders(self):
        """Return the running members that take themselves for the leader."""
        return [node for node in self.running() if node.consensus.is_leader]

    def can_lose_disk(self):
        """Whether the previous lost disk has been made up for; other faults may be under way."""
        return self._may_lose_disk

    def is_whole(self):
        """Whether all members run and have caught up."""
        is_running = len(self.running()) == len(self.nodes)
        is_undisturbed = is_running and not self.removals and not self.cut_pairs
        return is_undisturbed and all(node.consensus.has_caught_up for node in self.nodes.values())

    # Faults

    def freeze(self, address, duration_s):
        """Have a member stand still; messages to it are kept."""
        self._last_fault_s = self.now_s
        if address in self.nodes:
            self.frozen[address] = self.now_s + duration_s

    def thaw(self, address):
        self._last_fault_s = self.now_s
        self.frozen.pop(address, None)

    def kill(self, address, duration_s):
        """Kill a member; it is started again after a while."""
        self._last_fault_s = self.now_s
        if address in self.nodes:
            self._end_process(address)
            self.down[address] = self.now_s + duration_s

    def lose_disk(self, address, duration_s=0.0):
        """Have a member lose its disk; it is started again at its address."""
        self.kill(address, duration_s)
        self._may_lose_disk = False
        self.mark_count += 1
        self.nodes[address].disk = []
        self.nodes[address].founders = []
        self.nodes[address].member_id = f"{address}#again-{self.mark_count}"

    def replace_planned(self, address, overlap_s):
        """Start a successor at another address; remove the member some time later, for good."""
        self._last_fault_s = self.now_s
        self._may_lose_disk = False
        self.mark_count += 1
        other = f"10.0.1.{self.mark_count}:1"
        self.nodes[other] = consensus_group.Node(self, other, f"new-{self.mark_count}", [])
        self.removals[address] = self.now_s + overlap_s
        return other

    def _end_faults(self):
        for address, due_s in list(self.frozen.items()):
            if self.now_s >= due_s:
                self.thaw(address)
        for address, due_s in list(self.down.items()):
            if self.now_s >= due_s:
                self._last_fault_s = self.now_s
                del self.down[address]
                self.nodes[address].start()
        for address, due_s in list(self.removals.items()):
            if self.now_s >= due_s:
                self._last_fault_s = self.now_s
                del self.removals[address]
                self._end_process(address)
                self.down.pop(address, None)
                del self.nodes[address]

    def _end_process(self, address):
        self.frozen.pop(address, None)
        self._syncs.pop(address, None)
        self.nodes[address].crash()
        for pair in list(self._queues):
            if pair[1] == address:
                del self._queues[pair]

    def end_all_faults(self):
        for address in list(self.frozen):
            self.thaw(address)
        for address in list(self.down):
            self.down[address] = self.now_s
        for address in list(self.removals):
            self.removals[address] = self.now_s
        self.cut_pairs.clear()
        self._last_fault_s = self.now_s

    # Network, disks and callers

    def _request_join(self, node):
        is_served = node.consensus.leader and node.consensus.is_member
        if is_served or self.now_s < self._join_due_s.get(node.consensus, 0.0):
            return
        self._join_due_s[node.consensus] = self.now_s + JOIN_INTERVAL_S
        self._ask_to_join(node)

    def _queue_sent(self):
        """Give each message its time of arrival; the messages of one stream stay in order."""
        for sender, receiver, message in self.in_flight:
            if (sender, receiver) in self.cut_pairs:
                continue
            queue = self._queues[sender, receiver]
            due_s = self.now_s + self.rng.uniform(0.0, MAX_DELAY_S)
            queue.append((max(due_s, queue[-1][0]) if queue else due_s, message))
        self.in_flight.clear()

    def _deliver_due(self):
        for pair in list(self._queues):
            sender, receiver = pair
            queue = self._queues.get(pair)
            node = self.nodes.get(receiver)
            if node is None or not node.is_up:
                del self._queues[pair]
                continue
            while queue and queue[0][0] <= self.now_s and receiver not in self.frozen:
                message = queue.popleft()[1]
                if pair not in self.cut_pairs:
                    node.consensus.receive(message, self.now_s)
                    node.apply_effects()

    def _sync_due(self):
        for node in self.running():
            if not node.unsynced:
                continue
            due_s = self._syncs.setdefault(
                node.address, self.now_s + self.rng.uniform(0.0, MAX_DELAY_S)
            )
            if self.now_s >= due_s:
                del self._syncs[node.address]
                node.sync()

    def _act_as_operator(self):
        leaders = self.get_leaders()
        if not leaders:
            return
        if self.now_s - self._last_proposal_s > PROPOSAL_INTERVAL_S:
            self._last_proposal_s = self.now_s
            self.propose(self.rng.choice(leaders))
        if self.now_s - self._last_read_s > READ_INTERVAL_S:
            self._last_read_s = self.now_s
            for node in leaders:
                self.begin_read(node)
        self.reads = [read for read in self.reads if read[0].is_up][-50:]


class Faults:
    """Draws faults of some kinds at random times, in bursts with quiet times between them.

    :param walk: the group.
    :param kinds: of ``freeze``, ``kill``, ``wipe``, ``replace`` and ``cut``.
    """

    def __init__(self, walk, kinds):
        self._walk = walk
        self._kinds = kinds
        self._burst_end_s = 0.0
        self._due_s = {}

    def draw(self):
        """Begin the faults that are due."""
        walk = self._walk
        if walk.now_s > self._burst_end_s:
            # Without a quiet time no further disk could be lost.
            walk.cut_pairs.clear()
            if not walk.can_lose_disk():
                return
            self._begin_burst()
        for kind in self._kinds:
            if walk.now_s < self._due_s[kind]:
                continue
            if kind in ("wipe", "replace") and not walk.can_lose_disk():
                continue
            self._due_s[kind] = walk.now_s + walk.rng.uniform(0.2, 2.5)
            self._begin(kind)

    def _begin_burst(self):
        walk = self._walk
        self._burst_end_s = walk.now_s + walk.rng.uniform(2.0, 6.0)
        self._due_s = {kind: walk.now_s + walk.rng.uniform(0.0, 2.5) for kind in self._kinds}

    def _begin(self, kind):
        walk = self._walk
        addresses = sorted(walk.nodes)
        address = walk.rng.choice(addresses)
        match kind:
            case "freeze":
                walk.freeze(address, walk.rng.uniform(0.2, 4.0))
            case "kill" if address not in walk.down:
                walk.kill(address, walk.rng.uniform(0.1, 2.0))
            case "cut":
                pair = tuple(walk.rng.sample(addresses, 2))
                if pair in walk.cut_pairs:
                    walk.cut_pairs.discard(pair)
                else:
                    walk.cut_pairs.add(pair)
            case "wipe":
                for lost in walk.rng.sample(addresses, walk.rng.randint(1, walk.spare_disks)):
                    walk.lose_disk(lost, walk.rng.uniform(0.0, 1.0))
            case "replace":
                for lost in walk.rng.sample(addresses, walk.rng.randint(1, walk.spare_disks)):
                    walk.replace_planned(lost, walk.rng.choice([0.0, walk.rng.uniform(0.0, 2.0)]))


def check_recovery(walk):
    """End all faults and check that the group serves again and has lost nothing."""
    walk.end_all_faults()
    walk.run(RECOVERY_S)
    leaders = walk.get_leaders()
    assert len(leaders) == 1, "no leader after all faults have ended"
    before = len(walk.acknowledged)
    walk.propose(leaders[0])
    walk.run(1.0)
    assert len(walk.acknowledged) > before, "no change is acknowledged after all faults have ended"
    for node in walk.running():
        assert node.machine.changes[:before] == walk.acknowledged[:before], "a change was lost"


def run_mix(seed, kinds, *, size=3, duration_s=60.0, spare_disks=1):
    """Walk through faults of the given kinds; check that nothing is lost and the group recovers."""
    walk = Walk(seed, size, spare_disks=spare_disks)
    faults = Faults(walk, kinds)
    walk.run(2.0)
    walk.run(duration_s, faults.draw)
    check_recovery(walk)
    return walk


def _get_others(walk, *nodes):
    return [node for node in walk.nodes.values() if node not in nodes]


def run_unread_vote(seed, *, size=3):
    """A member that has just voted loses its disk before the candidate reads the vote.

    The leader stands still meanwhile, goes on and changes the members; then the candidate goes on.
    """
    walk = Walk(seed, size)
    walk.run(2.0)
    rng = walk.rng
    for _ in range(6):
        if not walk.run_until(walk.can_lose_disk, 30.0):
            break
        if not walk.run_until(walk.get_leaders, 3.0):
            break
        leader = walk.get_leaders()[0]
        term = leader.consensus.term
        followers = _get_others(walk, leader)
        walk.freeze(leader.address, 10.0)

        def _find_voter(followers=followers, term=term):
            votes = [node for node in followers if node.log.vote.term > term]
            return next(
                (n for n in votes if n.log.vote.voted_for not in ("", n.member_id)),
                None,
            )

        if not walk.run_until(_find_voter, 3.0):
            walk.thaw(leader.address)
            continue
        voter = _find_voter()
        candidate = next(n for n in followers if n.member_id == voter.log.vote.voted_for)
        # The vote is sent once it is on the disk.
        walk.freeze(candidate.address, 10.0)
        walk.run(MAX_DELAY_S + STEP_S)
        walk.lose_disk(voter.address, rng.uniform(0.0, 0.2))
        walk.run(rng.uniform(0.0, 0.05))
        walk.thaw(leader.address)
        walk.run(rng.uniform(0.1, 0.6))
        walk.thaw(candidate.address)
        walk.run(rng.uniform(1.0, 6.0))
    check_recovery(walk)
    return walk


def run_trouble_in_change(seed, *, size=3, may_lose_newcomer=False):
    """Members fail while a change of members is in progress.

    :param may_lose_newcomer: whether the newcomer may lose its disk before it is a member.
    """
    walk = Walk(seed, size)
    walk.run(2.0)
    rng = walk.rng
    for _ in range(6):
        if not walk.run_until(walk.can_lose_disk, 30.0):
            break
        lost = rng.choice(sorted(walk.nodes))
        if rng.random() < 0.5:
            newcomer = lost
            walk.lose_disk(lost, rng.uniform(0.0, 0.5))
        else:
            newcomer = walk.replace_planned(lost, rng.choice([0.0, rng.uniform(0.0, 2.0)]))

        def _is_changing(newcomer=newcomer):
            return any(
                node.log.membership_index > node.consensus.commit_index
                or node.log.membership_index > 2
                and newcomer in {member.partition("#")[0] for member in node.consensus.members}
                for node in walk.get_leaders()
            )

        if rng.random() < 0.5:
            walk.run_until(_is_changing, 4.0)
        else:
            walk.run(rng.uniform(0.0, 3.0))
        walk.run(rng.uniform(0.0, 0.06))
        _disturb_change(walk, newcomer, may_lose_newcomer)
        walk.run(rng.uniform(0.5, 6.0))
    check_recovery(walk)
    return walk


def _disturb_change(walk, newcomer, may_lose_newcomer):
    rng = walk.rng
    leaders = [node.address for node in walk.get_leaders()]
    others = [address for address in sorted(walk.nodes) if address not in leaders]
    choices = [
        lambda: [walk.freeze(address, rng.uniform(0.2, 4.0)) for address in leaders],
        lambda: [walk.kill(address, rng.uniform(0.1, 2.0)) for address in leaders],
        lambda: walk.freeze(rng.choice(others), rng.uniform(0.2, 4.0)),
        lambda: walk.kill(rng.choice(others), rng.uniform(0.1, 2.0)),
        lambda: walk.freeze(newcomer, rng.uniform(0.2, 4.0)),
        lambda: [walk.freeze(address, rng.uniform(0.2, 4.0)) for address in sorted(walk.nodes)],
    ]
    if may_lose_newcomer:
        choices = [lambda: walk.lose_disk(newcomer, rng.uniform(0.0, 1.0))]
    for choice in rng.sample(choices, min(len(choices), rng.randint(1, 2))):
        choice()


def run_closing_fault(seed, *, size=3, spare_disks=1):
    """As many disks as may be lost are lost at once, and all other members lose power."""
    walk = Walk(seed, size, spare_disks=spare_disks)
    walk.run(2.0)
    for _ in range(4):
        assert walk.run_until(walk.can_lose_disk, 30.0), "the group is not whole again"
        lost = walk.rng.sample(sorted(walk.nodes), spare_disks)
        for address in sorted(walk.nodes):
            if address in lost:
                walk.lose_disk(address, walk.rng.uniform(0.0, 1.0))
            elif walk.rng.random() < 0.8:
                walk.kill(address, walk.rng.uniform(0.0, 1.0))
    check_recovery(walk)
    return walk


KINDS = ("freeze", "kill", "wipe", "replace")
SCENARIOS = {
    **{kind: lambda seed, kind=kind: run_mix(seed, (kind,)) for kind in KINDS},
    "kill and freeze": lambda seed: run_mix(seed, ("kill", "freeze")),
    "freeze and replace": lambda seed: run_mix(seed, ("freeze", "replace")),
    "freeze and wipe": lambda seed: run_mix(seed, ("freeze", "wipe")),
    "all": lambda seed: run_mix(seed, KINDS),
    "all, one-way cuts": lambda seed: run_mix(seed, (*KINDS, "cut")),
    "all, five, two disks": lambda seed: run_mix(seed, KINDS, size=5, spare_disks=2),
    "unread vote": run_unread_vote,
    "unread vote, five": lambda seed: run_unread_vote(seed, size=5),
    "trouble in change": run_trouble_in_change,
    "trouble in change, five": lambda seed: run_trouble_in_change(seed, size=5),
    "newcomer lost": lambda seed: run_trouble_in_change(seed, may_lose_newcomer=True),
    "closing fault": run_closing_fault,
    "closing fault, five": lambda seed: run_closing_fault(seed, size=5, spare_disks=2),
}
"""Walks by name; each takes a seed."""
