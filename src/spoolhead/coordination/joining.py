"""Chooses the next change of members: newcomers replace members that are gone.

A newcomer first receives the log without being counted, and becomes a member once it has caught up.
"""

from collections.abc import Set

from spoolhead.coordination import consensus_messages as messages
from spoolhead.coordination import consensus_types, peer_progress
from spoolhead.coordination import membership as memberships
from spoolhead.coordination import replicated_log as logs

FRESH_HEARTBEATS = 3
"""Heartbeat intervals within which a majority must have replied when a change of members begins. A
change that needs a member that is gone cannot be committed."""


class _Newcomer:
    __slots__ = ("requested_s", "is_first_start")

    def __init__(self, requested_s: float, is_first_start: bool) -> None:
        self.requested_s = requested_s
        self.is_first_start = is_first_start


class Newcomers:
    """Processes that have requested to become members, as known to the leader.

    :param timing: time for which a request is valid, and other intervals.
    """

    def __init__(self, timing: consensus_types.Timing) -> None:
        self._timing = timing
        self._newcomers: dict[str, _Newcomer] = {}

    def clear(self) -> None:
        """Remove all requests."""
        self._newcomers.clear()

    def add(self, request: messages.JoinRequest, now_s: float) -> None:
        """Record a request, or renew it."""
        self._newcomers[request.member] = _Newcomer(now_s, request.is_first_start)

    def remove_expired(self, members: Set[str], now_s: float) -> None:
        """Remove the requests that are no longer valid, and those of members."""
        oldest_s = now_s - self._timing.newcomer_ms / 1000
        for member, newcomer in list(self._newcomers.items()):
            if newcomer.requested_s < oldest_s or member in members:
                del self._newcomers[member]

    def get_ids(self) -> list[str]:
        """Return the ids of the newcomers, in a fixed order."""
        return sorted(self._newcomers)

    def begin_change(
        self,
        log: logs.ReplicatedLog,
        peers: peer_progress.PeerProgress,
        leader: str,
        now_s: float,
    ) -> memberships.Membership | None:
        """Return the membership during the next change, if it can be committed at present.

        :param log: the leader's log.
        :param peers: the leader's view of the other members and the newcomers.
        :param leader: id of the leader.
        :param now_s: monotonic time in seconds.
        """
        others = [member for member in log.membership.members if member != leader]
        lost = peers.find_lost(others, now_s - self._timing.lost_ms / 1000)
        ready = {item for item in self._newcomers if _has_log(peers.get(item), log)}
        change = self.get_change(log.membership, ready, lost)
        fresh_s = now_s - FRESH_HEARTBEATS * self._timing.heartbeat_ms / 1000
        heard = {*peers.get_heard(fresh_s), leader}
        return change if change is not None and change.has_majority(heard) else None

    def get_change(
        self, membership: memberships.Membership, ready: Set[str], lost: str | None
    ) -> memberships.Membership | None:
        """Return the membership during the next change, or None for no change.

        :param membership: the current membership; no change may be in progress.
        :param ready: ids of the newcomers that have caught up.
        :param lost: the member that has been silent long enough to be replaced; None if there is
            none.
        """
        members = set(membership.members)
        previous = {messages.get_address(member): member for member in members}
        for newcomer in self.get_ids():
            # Its start with an empty disk shows that the previous member is gone.
            gone = previous.get(messages.get_address(newcomer))
            if gone is not None and newcomer in ready:
                return membership.begin_change(
                    members - {gone} | {newcomer}, membership.target_size
                )
        for newcomer in self.get_ids():
            if newcomer in ready and messages.get_address(newcomer) not in previous:
                change = self._admit(newcomer, membership, lost)
                if change is not None:
                    return change
        if lost is not None and len(members) > membership.target_size:
            return membership.begin_change(members - {lost}, membership.target_size)
        return None

    def _admit(
        self, newcomer: str, membership: memberships.Membership, lost: str | None
    ) -> memberships.Membership | None:
        """Return the change that admits a newcomer at an address without a member."""
        members = {*membership.members, newcomer}
        target_size = membership.target_size
        if self._newcomers[newcomer].is_first_start:
            return membership.begin_change(members, max(target_size, len(members)))
        if len(members) <= target_size:
            return membership.begin_change(members, target_size)
        if lost is not None:
            return membership.begin_change(members - {lost}, target_size)
        return None


def _has_log(peer: peer_progress.Peer | None, log: logs.ReplicatedLog) -> bool:
    """Return whether a newcomer needs no more than the entries that are still held."""
    return peer is not None and peer.match_index >= max(1, log.first_index - 1)
