"""Rate limits that instances state in their answers; each applies to all entries together."""

from collections.abc import Iterable

MAX_KEY = 2**32 - 1
"""Highest key of an instance, see :func:`shared_load.get_key`."""
MAX_AGE_MS = 2**40
"""Maximum age that is read, so that one with the time since fits into a datagram."""
_ROW_FIELDS = 3
_NO_LIMIT = -1.0
"""Value in datagrams for an instance that no longer states a limit."""


class StatedLimit:
    """The last limit that an instance stated.

    :ivar limit_per_s: requests a second; None if it no longer states a limit.
    :ivar stated_s: monotonic time of this process at which the limit was stated.
    """

    __slots__ = ("limit_per_s", "stated_s")

    def __init__(self, limit_per_s: float | None, stated_s: float) -> None:
        self.limit_per_s = limit_per_s
        self.stated_s = stated_s


class AgedLimit:
    """A stated limit with its age, as processes send it to each other.

    :ivar key: key of the instance, see :func:`shared_load.get_key`.
    :ivar limit_per_s: requests a second; None if the instance no longer states a limit.
    :ivar age_ms: time since the instance stated the limit.
    """

    __slots__ = ("age_ms", "key", "limit_per_s")

    def __init__(self, key: int, limit_per_s: float | None, age_ms: int) -> None:
        self.key = key
        self.limit_per_s = limit_per_s
        self.age_ms = age_ms


def pack(limits: Iterable[AgedLimit]) -> list[object]:
    """Return the encoding of limits in datagrams."""
    values: list[object] = []
    for item in limits:
        limit_per_s = _NO_LIMIT if item.limit_per_s is None else item.limit_per_s
        values += (item.key, limit_per_s, item.age_ms)
    return values


def unpack(values: list) -> list[AgedLimit]:
    """Decode limits from a datagram.

    :raises ValueError: if the values are not valid.
    """
    if len(values) % _ROW_FIELDS:
        raise ValueError("limits have a wrong number of fields")
    limits = []
    for start in range(0, len(values), _ROW_FIELDS):
        key, limit_per_s, age_ms = values[start : start + _ROW_FIELDS]
        if not 0 <= key <= MAX_KEY or age_ms > MAX_AGE_MS:
            raise ValueError("the key or age of a limit is out of range")
        limits.append(AgedLimit(int(key), _read_limit(float(limit_per_s)), max(0, int(age_ms))))
    return limits


def _read_limit(value: float) -> float | None:
    if value != value:
        raise ValueError("limit is not a number")
    return None if value < 0 else value
