"""Forecasts when a generation that waits for engine memory can start.

Performs no I/O; the current time is passed in. Runs release memory at a rate that follows the load,
so a generation can start once the demand ahead of it and its own need are covered by the memory
that is free now and the memory that will have been released.
"""

import collections
import math

WINDOW_S = 2.0
"""Time over which rates are measured. A burst of some seconds shows within it, and at the least
load that fills engines, several runs end within it."""
MIN_WINDOW_S = 0.5
"""Minimum time covered by samples for a rate; a shorter span holds too few ends of runs."""
TOKEN_MS = 10.0
"""Typical time in which a run generates a token in a well filled batch."""
PREFILL_S = 0.4
"""Typical time from the start of a run to its first token."""
TURNOVER_SHARE = 0.5
"""Share of the turnover that is expected while less was measured: many runs may have begun only a
moment ago, and more urgent ones take a part."""
SAMPLE_INTERVAL_S = 0.1
"""Minimum interval between two stored samples."""


class _Sample:
    """Values of the counters at one time."""

    __slots__ = ("acquired_tokens", "at_s", "released_tokens")

    def __init__(self, at_s: float, released_tokens: int, acquired_tokens: int) -> None:
        self.at_s = at_s
        self.released_tokens = released_tokens
        self.acquired_tokens = acquired_tokens


class MemoryFlow:
    """Rates at which the runs of a service release and acquire engine memory.

    The rates are computed from counters that only grow, summed over all entries. When an entry
    restarts, its hub changes or its hall is cut off, the sum drops or jumps by what that entry
    counted; a drop restarts the measurement.
    """

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: collections.deque[_Sample] = collections.deque()

    def record(self, released_tokens: int, acquired_tokens: int, now_s: float) -> None:
        """Record the current values of the counters.

        :param released_tokens: memory released by all runs that have ended so far.
        :param acquired_tokens: memory acquired so far by runs of more urgent ranks, which start
            before any waiting generation of the forecast's rank.
        """
        last = self._samples[-1] if self._samples else None
        if last is not None:
            if released_tokens < last.released_tokens or acquired_tokens < last.acquired_tokens:
                self._samples.clear()
            elif now_s - last.at_s < SAMPLE_INTERVAL_S:
                return
        self._samples.append(_Sample(now_s, released_tokens, acquired_tokens))
        while len(self._samples) > 1 and now_s - self._samples[1].at_s >= WINDOW_S:
            self._samples.popleft()

    def get_rate_per_s(self, now_s: float) -> float | None:
        """Return the memory that becomes available to the forecast's rank, in tokens a second.

        :returns: None if too little was recorded; at least 0 otherwise.
        """
        if not self._samples:
            return None
        first, last = self._samples[0], self._samples[-1]
        span_s = last.at_s - first.at_s
        if span_s < MIN_WINDOW_S or now_s - last.at_s > WINDOW_S:
            return None
        released_tokens = last.released_tokens - first.released_tokens
        acquired_tokens = last.acquired_tokens - first.acquired_tokens
        return max(0.0, (released_tokens - acquired_tokens) / span_s)


class Running:
    """The runs of all entries at the engines of a service.

    :ivar tokens: memory that they use or will use.
    :ivar answer_tokens: tokens that they are expected to generate in total.
    :ivar count: their number.
    """

    __slots__ = ("answer_tokens", "count", "tokens")

    def __init__(self, tokens: int, answer_tokens: int, count: int) -> None:
        self.tokens = tokens
        self.answer_tokens = answer_tokens
        self.count = count


def compute_rate_per_s(running: Running, measured_per_s: float | None) -> float:
    """Return the rate at which memory is expected to become available, in tokens a second.

    In the first seconds of a burst the measured rate is too low, since the runs that fill the
    engines have only just begun. The rate is therefore at least a share of the turnover that
    follows from the mean length of the runs.

    :param measured_per_s: measured rate; None if unknown.
    """
    if not running.count:
        return measured_per_s or 0.0
    mean_s = running.answer_tokens / running.count * TOKEN_MS / 1000 + PREFILL_S
    return max(measured_per_s or 0.0, TURNOVER_SHARE * running.tokens / mean_s)


class Demand:
    """Memory that is free and memory that is wanted before and by one generation.

    :ivar free_tokens: memory that waiting generations may take now.
    :ivar ahead_tokens: need of the waiting generations that start before it.
    :ivar returning_tokens: need of refused generations that were asked to come back.
    :ivar need_tokens: its own need.
    """

    __slots__ = ("ahead_tokens", "free_tokens", "need_tokens", "returning_tokens")

    def __init__(
        self,
        *,
        free_tokens: int,
        ahead_tokens: int,
        need_tokens: int,
        returning_tokens: int = 0,
    ) -> None:
        self.free_tokens = free_tokens
        self.ahead_tokens = ahead_tokens
        self.need_tokens = need_tokens
        self.returning_tokens = returning_tokens


def compute_wait_ms(demand: Demand, rate_per_s: float | None) -> int | None:
    """Return the expected time until a waiting generation can start.

    :param rate_per_s: memory that becomes available, in tokens a second; None if unknown.
    :returns: None if there is no room and the rate is unknown or zero.
    """
    missing_tokens = demand.ahead_tokens + demand.need_tokens - demand.free_tokens
    return _compute_release_ms(missing_tokens, rate_per_s)


def compute_return_ms(demand: Demand, rate_per_s: float | None) -> int | None:
    """Return the expected time until there is room for a generation that is refused now.

    Generations that were refused before it return before it, so each is given a later time than the
    previous one and they do not return together.

    :param rate_per_s: memory that becomes available, in tokens a second; None if unknown.
    :returns: None if there is no room and the rate is unknown or zero.
    """
    ahead_tokens = demand.ahead_tokens + demand.returning_tokens
    return _compute_release_ms(ahead_tokens + demand.need_tokens - demand.free_tokens, rate_per_s)


def _compute_release_ms(missing_tokens: int, rate_per_s: float | None) -> int | None:
    if missing_tokens <= 0:
        return 0
    if not rate_per_s:
        return None
    return math.ceil(missing_tokens / rate_per_s * 1000)
