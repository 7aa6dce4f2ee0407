"""The clock that all programs use for ages, deadlines and timers."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Function that returns a time in seconds, such as :func:`get_s`."""

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Counts the time in which the machine is suspended. The monotonic clock omits it: after a
suspension, outdated state would look recent and deadlines would be too late. Neither clock is ever
set back."""


def get_s() -> float:
    """Return the seconds since the machine was booted, including the time it was suspended."""
    return time.clock_gettime(_CLOCK)


def get_running_s() -> float:
    """Return the seconds since boot without suspensions; use it only to detect a suspension."""
    return time.monotonic()
