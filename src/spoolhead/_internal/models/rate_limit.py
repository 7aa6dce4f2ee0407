"""The rate that an instance accepts from all entries together, as it stated it in an answer."""

from collections.abc import Iterable

_ROW_FIELDS = 3
_NO_LIMIT = -1.0
"""Stands in datagrams for an instance that states no limit any more."""


class StatedLimit:
    """What an instance stated last.

    :ivar limit_per_s: requests a second; None once it states no limit any more.
    :ivar stated_s: monotonic time of this process at which it stated that.
    """

    __slots__ = ("limit_per_s", "stated_s")

    def __init__(self, limit_per_s: float | None, stated_s: float) -> None:
        self.limit_per_s = limit_per_s
        self.stated_s = stated_s


class AgedLimit:
    """A stated limit as processes send it to each other.

    :ivar key: number by which datagrams name the instance.
    :ivar limit_per_s: requests a second; None for no limit any more.
    :ivar age_ms: time since the instance stated it.
    """

    __slots__ = ("age_ms", "key", "limit_per_s")

    def __init__(self, key: int, limit_per_s: float | None, age_ms: int) -> None:
        self.key = key
        self.limit_per_s = limit_per_s
        self.age_ms = age_ms


def pack(limits: Iterable[AgedLimit]) -> list[object]:
    """Return limits as a datagram holds them."""
    values: list[object] = []
    for item in limits:
        limit_per_s = _NO_LIMIT if item.limit_per_s is None else item.limit_per_s
        values += (item.key, limit_per_s, item.age_ms)
    return values


def unpack(values: list) -> list[AgedLimit]:
    """Read limits from a datagram.

    :raises ValueError: if they are none.
    """
    if len(values) % _ROW_FIELDS:
        raise ValueError("limits with an odd number of fields")
    limits = []
    for start in range(0, len(values), _ROW_FIELDS):
        key, limit_per_s, age_ms = values[start : start + _ROW_FIELDS]
        limits.append(AgedLimit(int(key), _read_limit(float(limit_per_s)), max(0, int(age_ms))))
    return limits


def _read_limit(value: float) -> float | None:
    if value != value:
        raise ValueError("a limit that is no number")
    return None if value < 0 else value
