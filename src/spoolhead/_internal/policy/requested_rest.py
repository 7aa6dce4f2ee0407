"""The rest that an instance asks of an entry; no I/O, time passed in."""

import math

MAX_REST_S = 60.0
"""Longest rest that is granted at once; then a trial request is sent."""
TRIAL_TIMEOUT_S = 2.0
"""Time for which one request is waited for, after a rest, before another may go."""
MIN_REPORTERS = 2
"""Other entries that must have been asked for rest before this one holds back unasked: an instance
may have turned a single entry away."""


INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Backoff after a rejection that asks for no rest; it doubles with each further one in a row."""


class RequestedRest:
    """What one instance asked of this entry, and of others."""

    __slots__ = (
        "_backoff_s",
        "_backoff_until_s",
        "_needs_trial",
        "_reported_until_s",
        "_trial_sent_s",
        "_until_s",
    )

    def __init__(self) -> None:
        self._until_s = -math.inf
        self._backoff_s = INITIAL_BACKOFF_S
        self._backoff_until_s = -math.inf
        self._needs_trial = False
        self._trial_sent_s = -math.inf
        self._reported_until_s: dict[str, float] = {}

    def record(self, rest_ms: int, now_s: float) -> bool:
        """Record that the instance wants nothing from this entry for a time.

        :returns: whether it did not rest already.
        """
        is_new = not self.is_resting(now_s)
        self._until_s = max(self._until_s, now_s + _get_rest_s(rest_ms))
        self._needs_trial = True
        self._trial_sent_s = -math.inf
        return is_new

    def record_rejection(self, now_s: float) -> None:
        """Record that the instance turned a request away."""
        if now_s < self._backoff_until_s:
            return
        self._backoff_until_s = now_s + self._backoff_s
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        self._trial_sent_s = -math.inf

    def record_report(self, reporter: str, rest_ms: int, now_s: float) -> None:
        """Record that another entry was asked for rest."""
        self._reported_until_s[reporter] = now_s + _get_rest_s(rest_ms)

    def record_sent(self, now_s: float) -> None:
        """Record that a request is sent, the first one after a rest if it is over."""
        if self._needs_trial:
            self._trial_sent_s = now_s

    def record_taken(self) -> None:
        """Record that the instance took a request."""
        self._needs_trial = False
        self._backoff_s = INITIAL_BACKOFF_S
        self._reported_until_s.clear()

    def is_resting(self, now_s: float) -> bool:
        """Tell whether it wants nothing from this entry now."""
        return now_s < self._until_s

    def is_likely_to_reject(self, now_s: float) -> bool:
        """Tell whether it is likely to reject: it just did, others say so, or a trial is due."""
        if now_s < self._backoff_until_s:
            return True
        is_trial_running = self._needs_trial and now_s - self._trial_sent_s < TRIAL_TIMEOUT_S
        return is_trial_running or self.has_reports(now_s)

    def has_reports(self, now_s: float) -> bool:
        """Tell whether enough other entries were asked for rest."""
        for reporter, until_s in list(self._reported_until_s.items()):
            if now_s >= until_s:
                del self._reported_until_s[reporter]
        return len(self._reported_until_s) >= MIN_REPORTERS

    def get_remaining_ms(self, now_s: float) -> int:
        """Return the time that is left of the rest."""
        return max(0, math.ceil((self._until_s - now_s) * 1000))


def _get_rest_s(rest_ms: int) -> float:
    return min(max(0, rest_ms) / 1000, MAX_REST_S)
