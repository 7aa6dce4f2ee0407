"""The one clock of all programs, by which ages, deadlines and timers are counted."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns a time in seconds, as :func:`get_s` does."""

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""A machine may be suspended and go on later. The steady clock leaves that time out, so a belief
would look fresh and a deadline far off; this one counts it. Both are never set back."""


def get_s() -> float:
    """Return the seconds since the machine was started, those in suspension included."""
    return time.clock_gettime(_CLOCK)


def get_running_s() -> float:
    """Return the seconds for which the machine has run; only good to tell a suspension by."""
    return time.monotonic()
