"""Logs why the keepers have no leader, and why a change of members takes long."""

import logging

from spoolhead.coordination import consensus

logger = logging.getLogger(__name__)

REPORT_AFTER_S = 3.0
"""Time without a leader, or with an unfinished change of members, after which it is logged: a few
election timeouts."""


class GroupReport:
    """Logs each lasting trouble of the group once.

    :param member: this keeper's part in the consensus.
    :param now_s: monotonic time in seconds.
    """

    __slots__ = ("_changing_since_s", "_is_conflict_logged", "_leaderless_since_s", "_member")

    def __init__(self, member: consensus.Consensus, now_s: float) -> None:
        self._member = member
        self._leaderless_since_s: float | None = now_s
        self._changing_since_s: float | None = None
        self._is_conflict_logged = False

    def update(self, now_s: float) -> None:
        """Log what has lasted too long; called regularly."""
        member = self._member
        self._report_conflict()
        if member.conflict is not None:
            return
        self._leaderless_since_s = _get_start(self._leaderless_since_s, not member.leader, now_s)
        if _is_due(self._leaderless_since_s, now_s):
            self._leaderless_since_s = float("inf")
            self._log_no_leader()
        is_changing = member.is_leader and member.is_changing_members
        self._changing_since_s = _get_start(self._changing_since_s, is_changing, now_s)
        if _is_due(self._changing_since_s, now_s):
            self._changing_since_s = float("inf")
            self._log_change(now_s)

    def _log_no_leader(self) -> None:
        member = self._member
        voters = member.get_voters()
        fields = {
            "members": list(member.members),
            "is_changing_members": member.is_changing_members,
            "term": member.term,
            "voters": voters,
            "missing": [item for item in member.members if item not in voters],
        }
        logger.warning("no leader is elected", extra={"fields": fields})

    def _log_change(self, now_s: float) -> None:
        member = self._member
        heard = member.get_heard_members(now_s)
        fields = {
            "members": list(member.members),
            "term": member.term,
            "missing": [item for item in member.members if item not in heard],
        }
        logger.warning("change of members is delayed", extra={"fields": fields})

    def _report_conflict(self) -> None:
        conflict = self._member.conflict
        if conflict is None or self._is_conflict_logged:
            return
        self._is_conflict_logged = True
        fields = {
            "index": conflict.index,
            "term": conflict.term,
            "leader": conflict.leader,
            "leader_term": conflict.leader_term,
        }
        logger.error("committed entry differs from the leader's", extra={"fields": fields})


def _get_start(since_s: float | None, is_so: bool, now_s: float) -> float | None:
    """Return since when a condition holds; infinite once it was logged, None if it does not."""
    if not is_so:
        return None
    return now_s if since_s is None else since_s


def _is_due(since_s: float | None, now_s: float) -> bool:
    return since_s is not None and now_s - since_s > REPORT_AFTER_S
