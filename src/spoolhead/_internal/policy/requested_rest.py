"""The rest that an instance asked for. Performs no I/O; the current time is passed in."""

import math

MAX_REST_S = 60.0
"""Maximum length of one rest; after it a trial request is sent."""
TRIAL_TIMEOUT_S = 2.0
"""Time for which a trial request after a rest blocks further requests."""
MIN_REPORTERS = 2
"""Number of other entries that must have been asked for rest before this entry also avoids the
instance, which may have rejected the requests of a single entry only."""


INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Backoff after a rejection without a requested rest, doubled with each further rejection in a
row."""


class RequestedRest:
    """The rest that one instance requested of this entry and of others."""

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
        """Record that the instance asked this entry for rest.

        :returns: whether it was not resting already.
        """
        is_new = not self.is_resting(now_s)
        self._until_s = max(self._until_s, now_s + _get_rest_s(rest_ms))
        self._needs_trial = True
        self._trial_sent_s = -math.inf
        return is_new

    def record_rejection(self, now_s: float) -> None:
        """Record that the instance rejected a request."""
        if now_s < self._backoff_until_s:
            return
        self._backoff_until_s = now_s + self._backoff_s
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        self._trial_sent_s = -math.inf

    def record_report(self, reporter: str, rest_ms: int, now_s: float) -> None:
        """Record that another entry was asked for rest."""
        self._reported_until_s[reporter] = now_s + _get_rest_s(rest_ms)

    def record_sent(self, now_s: float) -> None:
        """Record that a request is sent; after a rest it is the trial request."""
        if self._needs_trial:
            self._trial_sent_s = now_s

    def record_accepted(self) -> None:
        """Record that the instance accepted a request."""
        self._needs_trial = False
        self._backoff_s = INITIAL_BACKOFF_S
        self._reported_until_s.clear()

    def is_resting(self, now_s: float) -> bool:
        """Return whether the instance asked this entry for a rest that is not over yet."""
        return now_s < self._until_s

    def is_likely_to_reject(self, now_s: float) -> bool:
        """Return whether the instance is likely to reject a request.

        True if it just rejected one, a trial request is in flight, or enough other entries were
        asked for rest.
        """
        if now_s < self._backoff_until_s:
            return True
        is_trial_running = self._needs_trial and now_s - self._trial_sent_s < TRIAL_TIMEOUT_S
        return is_trial_running or self.has_reports(now_s)

    def has_reports(self, now_s: float) -> bool:
        """Return whether enough other entries were asked for rest."""
        for reporter, until_s in list(self._reported_until_s.items()):
            if now_s >= until_s:
                del self._reported_until_s[reporter]
        return len(self._reported_until_s) >= MIN_REPORTERS

    def get_remaining_ms(self, now_s: float) -> int:
        """Return the remaining time of the rest in milliseconds."""
        return max(0, math.ceil((self._until_s - now_s) * 1000))


def _get_rest_s(rest_ms: int) -> float:
    return min(max(0, rest_ms) / 1000, MAX_REST_S)
