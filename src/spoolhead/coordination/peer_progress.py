"""What a leader knows of the other members; no I/O, time passed in."""

from collections.abc import Iterable, Sequence


class Peer:
    """One other member.

    :ivar next_index: index of the next log entry to send.
    :ivar match_index: index up to which its log agrees with the leader's and is synced.
    :ivar acked_round: latest broadcast that it has answered.
    :ivar heard_s: when it was last heard.
    """

    __slots__ = ("acked_round", "heard_s", "match_index", "next_index")

    def __init__(self, next_index: int, now_s: float) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.acked_round = 0
        self.heard_s = now_s


class PeerProgress:
    """The other members, by id; those that left the group are kept and count no more."""

    __slots__ = ("_peers",)

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}

    def begin(self, members: Iterable[str], next_index: int, now_s: float) -> None:
        """Know nothing of any member, as a leader that was just elected."""
        self._peers = {member: Peer(next_index, now_s) for member in members}

    def add(self, members: Iterable[str], next_index: int, now_s: float) -> None:
        """Take up members that are not known yet."""
        for member in members:
            self._peers.setdefault(member, Peer(next_index, now_s))

    def get(self, member: str) -> Peer | None:
        """Return what is known of a member, if anything is."""
        return self._peers.get(member)

    def count_heard(self, members: Sequence[str], since_s: float) -> int:
        """Return how many of some members have been heard after a moment."""
        return sum(peer.heard_s > since_s for peer in self._select(members))

    def count_acked(self, members: Sequence[str], round_number: int) -> int:
        """Return how many of some members have answered a broadcast or a later one."""
        return sum(peer.acked_round >= round_number for peer in self._select(members))

    def get_match_indexes(self, members: Sequence[str]) -> list[int]:
        """Return the index up to which each of some members agrees."""
        return [peer.match_index for peer in self._select(members)]

    def find_lost(self, members: Sequence[str], since_s: float) -> str | None:
        """Return which of some members has been silent longest, if since before a moment."""
        heard = [
            (self._peers[member].heard_s, member) for member in members if member in self._peers
        ]
        if not heard:
            return None
        heard_s, member = min(heard)
        return member if heard_s < since_s else None

    def _select(self, members: Sequence[str]) -> list[Peer]:
        return [self._peers[member] for member in members if member in self._peers]
