"""A leader's view of the other members; performs no I/O, the current time is passed in."""

from collections.abc import Iterable, Sequence


class Peer:
    """Replication state of one other member.

    :ivar next_index: index of the next log entry to send.
    :ivar match_index: index up to which the member's log matches the leader's and is synced.
    :ivar acked_round: latest broadcast that the member has answered.
    :ivar heard_s: monotonic time of the member's last reply, in seconds.
    """

    __slots__ = ("acked_round", "heard_s", "match_index", "next_index")

    def __init__(self, next_index: int, now_s: float) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.acked_round = 0
        self.heard_s = now_s


class PeerProgress:
    """The other members and the newcomers by id; members that left the group are kept."""

    __slots__ = ("_peers",)

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}

    def begin(self, members: Iterable[str], next_index: int, now_s: float) -> None:
        """Reset all members, as a newly elected leader does."""
        self._peers = {member: Peer(next_index, now_s) for member in members}

    def add(self, members: Iterable[str], next_index: int, now_s: float) -> None:
        """Add the members that are not known yet."""
        for member in members:
            self._peers.setdefault(member, Peer(next_index, now_s))

    def get(self, member: str) -> Peer | None:
        """Return the state of a member, or None if the member is unknown."""
        return self._peers.get(member)

    def get_heard(self, since_s: float) -> set[str]:
        """Return the ids of the processes that have replied since a point in time."""
        return {member for member, peer in self._peers.items() if peer.heard_s > since_s}

    def get_acked(self, round_number: int) -> set[str]:
        """Return the ids of the processes that have answered a broadcast or a later one."""
        return {member for member, peer in self._peers.items() if peer.acked_round >= round_number}

    def get_match_indexes(self) -> dict[str, int]:
        """Return the index up to which the log of each process matches."""
        return {member: peer.match_index for member, peer in self._peers.items()}

    def find_lost(self, members: Sequence[str], since_s: float) -> str | None:
        """Return the member that has been silent longest; None if all have replied since then."""
        heard = [
            (self._peers[member].heard_s, member) for member in members if member in self._peers
        ]
        if not heard:
            return None
        heard_s, member = min(heard)
        return member if heard_s < since_s else None
