"""A token bucket whose rate may change. Performs no I/O; the current time is passed in."""


class TokenBucket:
    """A token bucket that starts with less than one token, since earlier requests are unknown.

    :param phase: fraction of a token that it starts with.
    :ivar tokens: available tokens at the time of the last update.
    """

    __slots__ = ("_updated_s", "tokens")

    def __init__(self, now_s: float, phase: float) -> None:
        self.tokens = phase
        self._updated_s = now_s

    def update(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Add the tokens accumulated since the last update.

        :param burst: maximum number of tokens.
        """
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(self._updated_s, now_s)
        self.tokens = min(burst, self.tokens + passed_s * rate_per_s)

    def try_acquire(self) -> bool:
        """Acquire one token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
