"""A token bucket whose rate may change; no I/O, time passed in."""


class TokenBucket:
    """Starts with less than one token, since what was sent before it began is not known.

    :param phase: part of a token that it starts with.
    :ivar tokens: requests that may go at the time of the last update.
    """

    __slots__ = ("_updated_s", "tokens")

    def __init__(self, now_s: float, phase: float) -> None:
        self.tokens = phase
        self._updated_s = now_s

    def update(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Add what has come since the last update.

        :param burst: most tokens that are kept.
        """
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(self._updated_s, now_s)
        self.tokens = min(burst, self.tokens + passed_s * rate_per_s)

    def try_acquire(self) -> bool:
        """Take one token, if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
