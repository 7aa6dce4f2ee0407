"""Decides when to connect to an instance whose answers ended with their connection.

Performs no I/O. The end of a connection is also that of a process that crashed. A process that
accepts a connection opened later did not crash.
"""

from collections.abc import Callable

from spoolhead._internal.policy import answer_end

SETTLE_S = 0.01
"""Time after an end from which a new connection counts. A process that crashes closes its
connections before its listening socket, or after it."""
PROBE_INTERVAL_S = 0.02
"""Minimum time between two probes of an instance; one probe serves all ends before it."""
MAX_PROBES = 3
"""Probes without a result after which nothing is known of an end."""

OnEvidence = Callable[[answer_end.Evidence], None]


class WaitingEnd:
    """An end of an answer that waits for evidence.

    :ivar settled_s: monotonic time from which a new connection shows something about it.
    :ivar probe_s: when the probe began whose result it awaits; None for none.
    :ivar probe_count: probes that had no result.
    :ivar on_evidence: called with the evidence.
    """

    __slots__ = ("on_evidence", "probe_count", "probe_s", "settled_s")

    def __init__(self, ended_s: float, on_evidence: OnEvidence) -> None:
        self.settled_s = ended_s + SETTLE_S
        self.probe_s: float | None = None
        self.probe_count = 0
        self.on_evidence = on_evidence


class EndConfirmation:
    """The waiting ends of answers of one instance."""

    __slots__ = ("_last_probe_s", "_waiting")

    def __init__(self) -> None:
        self._last_probe_s: float | None = None
        self._waiting: list[WaitingEnd] = []

    @property
    def is_idle(self) -> bool:
        """Whether no end waits."""
        return not self._waiting

    def add(self, ended_s: float, on_evidence: OnEvidence) -> None:
        """Add an end."""
        self._waiting.append(WaitingEnd(ended_s, on_evidence))

    def get_next_probe_s(self) -> float | None:
        """Return when to begin the next probe; None if all ends await the result of one."""
        due_s = [item.settled_s for item in self._waiting if item.probe_s is None]
        if not due_s:
            return None
        if self._last_probe_s is None:
            return min(due_s)
        return max(min(due_s), self._last_probe_s + PROBE_INTERVAL_S)

    def record_probe(self, now_s: float) -> None:
        """Record the begin of a probe, on which all settled ends without one wait."""
        self._last_probe_s = now_s
        for item in self._waiting:
            if item.probe_s is None and item.settled_s <= now_s:
                item.probe_s = now_s

    def pop_alive(self, opened_s: float) -> list[WaitingEnd]:
        """Remove and return the ends before a connection that the instance accepted.

        :param opened_s: when the connection was opened.
        """
        known = [item for item in self._waiting if item.settled_s <= opened_s]
        self._waiting = [item for item in self._waiting if item.settled_s > opened_s]
        return known

    def pop_terminated(self, opened_s: float) -> list[WaitingEnd]:
        """Remove and return the ends that await the result of a probe that was refused.

        Ends that await an earlier probe may be older than the crash.
        """
        known = [item for item in self._waiting if item.probe_s == opened_s]
        self._waiting = [item for item in self._waiting if item.probe_s != opened_s]
        return known

    def pop_unknown(self, opened_s: float) -> list[WaitingEnd]:
        """Record a probe without a result, and return the ends that wait no longer."""
        for item in self._waiting:
            if item.probe_s == opened_s:
                item.probe_s = None
                item.probe_count += 1
        unknown = [item for item in self._waiting if item.probe_count >= MAX_PROBES]
        self._waiting = [item for item in self._waiting if item.probe_count < MAX_PROBES]
        return unknown
