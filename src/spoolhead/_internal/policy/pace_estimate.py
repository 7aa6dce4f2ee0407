"""Estimates the pace of one instance from the figures that it states and from measurements.

Performs no I/O; the current time is passed in. A factor is the time that work takes relative to
the usual time: 1.0 as usual, 0.5 in half the time.
"""

USUAL_FACTOR = 1.0


class PaceEstimate:
    """The pace of one instance, as this entry knows it."""

    __slots__ = ()

    @property
    def is_known(self) -> bool:
        """Whether the instance's pace was stated or measured by any entry."""
        return False

    @property
    def typical_factor(self) -> float:
        """The pace outside of short slow periods; :data:`USUAL_FACTOR` if unknown."""
        return USUAL_FACTOR

    @property
    def slow_factor(self) -> float:
        """The pace in the instance's slow periods; at least the typical factor."""
        return USUAL_FACTOR

    def get_current_factor(self, now_s: float) -> float:
        """Return the pace expected for work that begins now."""
        del now_s
        return USUAL_FACTOR
