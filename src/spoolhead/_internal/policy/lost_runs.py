"""Stores requests lost at instances until it is known whether the instance crashed.

Performs no I/O; the current time is passed in.

Requests that an entry abandoned itself are stored too: the instance may have started to run them
and crash a moment later, when no connection is left that would show the crash. So are requests that
were answered a moment ago.
"""

import collections

from spoolhead._internal.models import sent_run
from spoolhead._internal.policy import sound_runs

RETENTION_S = 10.0
"""Time for which a lost request waits for a report about its instance, and for which a crash is
stored: about twice the time for which the platform goes on listing an instance that is gone."""
ABANDONED_TTL_S = 2.0
"""Time after which an abandoned request cannot have caused a crash of its instance. A run begins
0.2 s after its request arrived if other prompts are processed first, a request that must not be
repeated is run to its end, and a crash is detected within 0.3 s."""
MAX_INSTANCES = 1_000
"""Maximum number of instances for which lost requests or crashes are stored."""


class LostRun:
    """A request that an instance received and lost.

    :ivar run: the request at the instance.
    :ivar lost_s: monotonic time at which it was lost.
    """

    __slots__ = ("lost_s", "run")

    def __init__(self, run: sent_run.SentRun, lost_s: float) -> None:
        self.run = run
        self.lost_s = lost_s

    def get_suspect_keys(self) -> tuple[bytes, ...]:
        """Return the keys that may have caused the crash by which the run was lost.

        A part of a prompt is read before the answer begins, so one that crashes its instance does
        so by then or soon after. A content may do so at any point of its run.
        """
        keys, begun_s = self.run.keys, self.run.begun_s
        if begun_s is None or self.lost_s - begun_s < sound_runs.SETTLE_S:
            return keys.all
        return tuple(key for key in keys.all if key not in keys.parts)


class LostRuns:
    """The requests that this entry has lost recently, by incarnation of the instance."""

    def __init__(self) -> None:
        self._lost: dict[str, list[LostRun]] = {}
        self._abandoned: dict[str, list[LostRun]] = {}
        self._answered: collections.deque[LostRun] = collections.deque()
        self._crashed_s: dict[str, float] = {}

    def record_lost(self, lost: LostRun) -> bool:
        """Record a lost request.

        :returns: whether its instance is known to have crashed; otherwise the request is stored
            until that is known.
        """
        incarnation_id = lost.run.incarnation_id
        if self._has_crashed(incarnation_id, lost.lost_s):
            return True
        self._lost.setdefault(incarnation_id, []).append(lost)
        return False

    def record_abandoned(self, lost: LostRun) -> bool:
        """Record a request that this entry has abandoned.

        :returns: the same as :meth:`record_lost`.
        """
        incarnation_id = lost.run.incarnation_id
        if self._has_crashed(incarnation_id, lost.lost_s):
            return True
        self._abandoned.setdefault(incarnation_id, []).append(lost)
        return False

    def record_answered(self, run: sent_run.SentRun, now_s: float) -> None:
        """Record a request that was answered; it may still crash its instance."""
        self._answered.append(LostRun(run, now_s))
        while now_s - self._answered[0].lost_s > sound_runs.SETTLE_S:
            self._answered.popleft()

    def has_abandoned(self, incarnation_id: str, now_s: float) -> bool:
        """Return whether this entry recently abandoned a request at an instance."""
        return any(
            now_s - run.lost_s <= ABANDONED_TTL_S for run in self._abandoned.get(incarnation_id, [])
        )

    def record_crashed(self, incarnation_id: str, now_s: float) -> list[LostRun]:
        """Record that an instance has crashed; return this entry's requests lost there."""
        self._expire(now_s)
        self._crashed_s.setdefault(incarnation_id, now_s)
        abandoned = [
            # An abandoned request counts as lost when the crash becomes known.
            LostRun(lost.run, now_s)
            for lost in self._abandoned.pop(incarnation_id, [])
        ]
        return (
            self._lost.pop(incarnation_id, [])
            + abandoned
            + self._pop_answered(incarnation_id, now_s)
        )

    def record_alive(self, incarnation_id: str) -> None:
        """Record that an instance is alive, so its lost requests were lost for another reason.

        Requests abandoned there may still be waiting to run, so they are kept.
        """
        self._lost.pop(incarnation_id, None)

    def _pop_answered(self, incarnation_id: str, now_s: float) -> list[LostRun]:
        """Return the requests that were answered so shortly before that they may be the cause."""
        return [
            LostRun(item.run, now_s)
            for item in self._answered
            if item.run.incarnation_id == incarnation_id
            and now_s - item.lost_s <= sound_runs.SETTLE_S
        ]

    def _has_crashed(self, incarnation_id: str, now_s: float) -> bool:
        self._expire(now_s)
        return incarnation_id in self._crashed_s

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - RETENTION_S
        if len(self._crashed_s) + len(self._lost) > MAX_INSTANCES:
            oldest_s = now_s
        self._crashed_s = {name: at_s for name, at_s in self._crashed_s.items() if at_s >= oldest_s}
        self._lost = {
            name: runs for name, runs in self._lost.items() if runs[-1].lost_s >= oldest_s
        }
        abandoned_s = max(oldest_s, now_s - ABANDONED_TTL_S)
        self._abandoned = {
            name: [run for run in runs if run.lost_s >= abandoned_s]
            for name, runs in self._abandoned.items()
            if runs[-1].lost_s >= abandoned_s
        }
