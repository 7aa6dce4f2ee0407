"""Membership changes, one member at a time: newcomers replace lost members."""

from spoolhead.coordination import consensus_messages as messages
from spoolhead.coordination import replicated_log as logs


class _Newcomer:
    __slots__ = ("requested_s", "is_first_start")

    def __init__(self, requested_s: float, is_first_start: bool) -> None:
        self.requested_s = requested_s
        self.is_first_start = is_first_start


class Newcomers:
    """Processes that have requested to become members, as known to the leader.

    :param kept_ms: time for which a request is valid, in milliseconds.
    """

    def __init__(self, kept_ms: int) -> None:
        self._ttl_s = kept_ms / 1000
        self._newcomers: dict[str, _Newcomer] = {}

    def clear(self) -> None:
        """Remove all requests."""
        self._newcomers.clear()

    def take(self, request: messages.JoinRequest, now_s: float) -> None:
        """Record a request, or renew it."""
        self._newcomers[request.member] = _Newcomer(now_s, request.is_first_start)

    def get_next(
        self, membership: logs.Membership, lost: str | None, now_s: float
    ) -> logs.Membership | None:
        """Return the next membership, which differs by one step, or None for no change.

        :param membership: the current membership.
        :param lost: the member that has been silent long enough to be replaced; None if there is
            none.
        :param now_s: monotonic time in seconds.
        """
        self._remove_expired(membership, now_s)
        members = set(membership.members)
        if self._newcomers:
            return self._admit(min(self._newcomers), membership, lost)
        if len(members) > membership.target_size and lost is not None:
            return logs.Membership(members - {lost}, membership.target_size)
        return None

    def _admit(
        self, newcomer: str, membership: logs.Membership, lost: str | None
    ) -> logs.Membership:
        """Return the membership that admits a newcomer, or that first removes the lost member."""
        members = set(membership.members)
        target_size = membership.target_size
        address = messages.get_address(newcomer)
        previous = next((m for m in members if messages.get_address(m) == address), None)
        is_first_start = self._newcomers[newcomer].is_first_start
        if previous is not None:
            # The previous member at this address can neither vote nor answer again. Any majority
            # before the change therefore shares a member with any majority after it, so one step is
            # safe.
            del self._newcomers[newcomer]
            return logs.Membership(members - {previous} | {newcomer}, target_size)
        if lost is not None and not is_first_start and len(members) >= target_size:
            return logs.Membership(members - {lost}, target_size)
        del self._newcomers[newcomer]
        members.add(newcomer)
        if is_first_start:
            target_size = max(target_size, len(members))
        return logs.Membership(members, target_size)

    def _remove_expired(self, membership: logs.Membership, now_s: float) -> None:
        oldest_s = now_s - self._ttl_s
        for member, newcomer in list(self._newcomers.items()):
            if newcomer.requested_s < oldest_s or member in membership.members:
                del self._newcomers[member]
