"""Detects stalled streams by comparing a silence with the stream's own token rate."""

MIN_STALL_S = 0.75
STALL_GAPS = 12.0
"""A silence of more average gaps between tokens than this counts as a stall."""

PACE_SMOOTHING = 0.9
"""Weight of the previous average in the moving average of the gap between tokens."""

REPORTED_STALL_S = 0.5
"""The part of a gap between tokens that exceeds this counts as stall time."""


class Pace:
    """Token rate and stall time of one stream.

    :ivar last_s: monotonic time of the last tokens, in seconds.
    :ivar stalled_s: total stall time in seconds.
    """

    __slots__ = ("_gap_s", "_timeout_factor", "last_s", "stalled_s")

    def __init__(self, now_s: float) -> None:
        self.last_s = now_s
        self.stalled_s = 0.0
        self._gap_s: float | None = None
        self._timeout_factor = 1.0

    def record_tokens(self, count: int, now_s: float) -> float:
        """Record tokens that arrived together.

        :returns: time since the previous tokens, in seconds.
        """
        gap_s = now_s - self.last_s
        self.last_s = now_s
        self.stalled_s += max(0.0, gap_s - REPORTED_STALL_S)
        per_token_s = gap_s / count
        average_s = self._gap_s if self._gap_s is not None else per_token_s
        self._gap_s = PACE_SMOOTHING * average_s + (1 - PACE_SMOOTHING) * per_token_s
        return gap_s

    def record_resume(self, now_s: float) -> None:
        """Record a resumed connection, which gets twice the time before it counts as stalled."""
        self._timeout_factor *= 2
        self.stalled_s += max(0.0, now_s - self.last_s - REPORTED_STALL_S)
        self.last_s = now_s

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the stream has been silent for much longer than its usual gaps."""
        gap_s = self._gap_s if self._gap_s is not None else 0.0
        limit_s = max(MIN_STALL_S, STALL_GAPS * gap_s) * self._timeout_factor
        return now_s - self.last_s > limit_s
