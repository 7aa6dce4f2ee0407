"""Requests that were lost at instances, until it is known whether those have ended; no I/O.

Those that an entry abandoned itself count, too: the instance may have begun to run them, and ends a
moment later with nobody left to see a connection lost.
"""

RETENTION_S = 10.0
"""Time for which a lost request waits for word of its instance, and for which an end is remembered:
about twice what the platform lists an instance that is gone."""
ABANDONED_TTL_S = 2.0
"""Time after which an abandoned request has nothing to do with the end of its instance.
Runs began 0.2 s after their request arrived where others were read first, one that may not be
repeated is worked on to its end, and an end is noticed within 0.3 s."""
MAX_INSTANCES = 1_000
"""Instances for which either is kept."""


class LostRun:
    """A request that an instance took and lost.

    :ivar content_id: name of its content.
    :ivar sent_s: when it was sent there.
    :ivar lost_s: when it was lost.
    """

    __slots__ = ("content_id", "lost_s", "sent_s")

    def __init__(self, content_id: bytes, *, sent_s: float, lost_s: float) -> None:
        self.content_id = content_id
        self.sent_s = sent_s
        self.lost_s = lost_s


class LostRuns:
    """The requests that this entry has lost lately, by the run of the instance that had them."""

    def __init__(self) -> None:
        self._lost: dict[str, list[LostRun]] = {}
        self._abandoned: dict[str, list[LostRun]] = {}
        self._ended_s: dict[str, float] = {}

    def record_lost(self, incarnation_id: str, run: LostRun) -> bool:
        """Take note of a lost request.

        :returns: whether its instance is known to have ended; otherwise the request waits for that.
        """
        if self._has_ended(incarnation_id, run.lost_s):
            return True
        self._lost.setdefault(incarnation_id, []).append(run)
        return False

    def record_abandoned(self, incarnation_id: str, run: LostRun) -> bool:
        """Take note of a request that this entry has abandoned.

        :returns: as :meth:`record_lost` does.
        """
        if self._has_ended(incarnation_id, run.lost_s):
            return True
        self._abandoned.setdefault(incarnation_id, []).append(run)
        return False

    def has_abandoned(self, incarnation_id: str, now_s: float) -> bool:
        """Tell whether this entry abandoned a request at an instance just now."""
        return any(
            now_s - run.lost_s <= ABANDONED_TTL_S for run in self._abandoned.get(incarnation_id, [])
        )

    def record_ended(self, incarnation_id: str, now_s: float) -> list[LostRun]:
        """Take note that an instance has ended; returns what it had of this entry's."""
        self._expire(now_s)
        self._ended_s.setdefault(incarnation_id, now_s)
        abandoned = [
            # What became of it is known only now.
            LostRun(run.content_id, sent_s=run.sent_s, lost_s=now_s)
            for run in self._abandoned.pop(incarnation_id, [])
        ]
        return self._lost.pop(incarnation_id, []) + abandoned

    def record_alive(self, incarnation_id: str) -> None:
        """Take note that an instance lives: what it lost, it lost by something else.

        What was abandoned there may still wait to be run.
        """
        self._lost.pop(incarnation_id, None)

    def _has_ended(self, incarnation_id: str, now_s: float) -> bool:
        self._expire(now_s)
        return incarnation_id in self._ended_s

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - RETENTION_S
        if len(self._ended_s) + len(self._lost) > MAX_INSTANCES:
            oldest_s = now_s
        self._ended_s = {name: at_s for name, at_s in self._ended_s.items() if at_s >= oldest_s}
        self._lost = {
            name: runs for name, runs in self._lost.items() if runs[-1].lost_s >= oldest_s
        }
        abandoned_s = max(oldest_s, now_s - ABANDONED_TTL_S)
        self._abandoned = {
            name: [run for run in runs if run.lost_s >= abandoned_s]
            for name, runs in self._abandoned.items()
            if runs[-1].lost_s >= abandoned_s
        }
