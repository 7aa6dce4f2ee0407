"""Passive health checks of an upstream: ejection after failures, gradual return and slow start."""

FAILURES_BEFORE_EJECTION = 3
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
SLOW_START_S = 8.0
INITIAL_CAPACITY_FRACTION = 0.1
MAX_REST_S = 60.0


class Health:
    """Health of one upstream, as observed by this entry.

    :param now_s: monotonic time at which the upstream was first seen, in seconds.
    :param is_new: whether it was added after this entry had started, so that it starts slowly.
    """

    __slots__ = ("_ejected_until_s", "_ejections", "_failures", "_ramp_from_s", "_rest_until_s")

    def __init__(self, now_s: float, *, is_new: bool) -> None:
        self._failures = 0
        self._ejections = 0
        self._ejected_until_s = 0.0
        self._rest_until_s = 0.0
        self._ramp_from_s = now_s if is_new else now_s - SLOW_START_S

    def record_success(self, now_s: float) -> None:
        """Record a complete answer."""
        self._failures = 0
        if now_s - self._ramp_from_s > 2 * SLOW_START_S:
            self._ejections = 0

    def record_unreachable(self, now_s: float) -> None:
        """Record a failed connection: nothing listens there, so eject the upstream at once."""
        self._failures = FAILURES_BEFORE_EJECTION
        self.record_failure(now_s)

    def record_failure(self, now_s: float) -> None:
        """Record a lost answer; :data:`FAILURES_BEFORE_EJECTION` in a row eject the upstream."""
        self._failures += 1
        if self._failures < FAILURES_BEFORE_EJECTION or self.is_ejected(now_s):
            return
        self._failures = 0
        duration_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**self._ejections)
        self._ejections += 1
        self._ejected_until_s = now_s + duration_s
        self._ramp_from_s = self._ejected_until_s

    def record_rest(self, rest_s: float, now_s: float) -> None:
        """Record that the upstream refused a request and asked for rest.

        :param rest_s: requested time without requests in seconds, at most :data:`MAX_REST_S`.
        """
        self._rest_until_s = max(self._rest_until_s, now_s + min(rest_s, MAX_REST_S))

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the upstream is ejected or resting and receives no new requests."""
        return now_s < max(self._ejected_until_s, self._rest_until_s)

    def get_capacity_fraction(self, now_s: float) -> float:
        """Return the fraction of its capacity that may be used.

        It rises to 1 within :data:`SLOW_START_S` after a start or the end of an ejection.
        """
        fraction = (now_s - self._ramp_from_s) / SLOW_START_S
        return min(1.0, max(INITIAL_CAPACITY_FRACTION, fraction))
