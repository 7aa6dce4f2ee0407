"""Paces of instances: how long work takes there, relative to the usual time.

Instances share their machines with others, so the same work takes longer at some of them, and
longer at some moments. A pace is stated by the instance in percent of the usual time (100: as
usual; 50: half the time) or measured by entries.
"""

from collections.abc import Iterable

USUAL_PERCENT = 100
MIN_PERCENT = 1
"""Lowest pace that is read; a lower one counts as not stated."""
MAX_PERCENT = 10_000
"""Highest pace that is read; a higher one counts as not stated."""
MAX_KEY = 2**32 - 1
"""Highest key of an instance, see :func:`shared_load.get_key`."""
MAX_PACE_BYTES = 14
"""Maximum size in a datagram of a pace that has not expired."""
_ROW_FIELDS = 4


class AgedPace:
    """The typical pace of an instance with its age, as processes send it to each other.

    :ivar key: key of the instance, see :func:`shared_load.get_key`.
    :ivar percent: time that work typically takes there, in percent of the usual time.
    :ivar age_ms: time since the pace was determined.
    :ivar is_measured: whether an entry measured it, instead of reading it from answers.
    """

    __slots__ = ("age_ms", "is_measured", "key", "percent")

    def __init__(self, key: int, percent: int, age_ms: int, *, is_measured: bool = False) -> None:
        self.key = key
        self.percent = percent
        self.age_ms = age_ms
        self.is_measured = is_measured


class TimedPace:
    """A typical pace as a process stores it.

    :ivar percent: time that work typically takes, in percent of the usual time.
    :ivar determined_s: monotonic time of this process at which it was determined.
    :ivar is_measured: whether an entry measured it, instead of reading it from answers.
    """

    __slots__ = ("determined_s", "is_measured", "percent")

    def __init__(self, percent: int, determined_s: float, *, is_measured: bool) -> None:
        self.percent = percent
        self.determined_s = determined_s
        self.is_measured = is_measured


def compute_percent(factor: float) -> int:
    """Return a pace in percent of the usual time, within the range that is read."""
    return min(max(round(factor * USUAL_PERCENT), MIN_PERCENT), MAX_PERCENT)


def pack(paces: Iterable[AgedPace]) -> list[int]:
    """Return the encoding of paces in datagrams."""
    values: list[int] = []
    for item in paces:
        values += (item.key, item.percent, item.age_ms, int(item.is_measured))
    return values


def unpack(values: list) -> list[AgedPace]:
    """Decode paces from a datagram.

    :raises ValueError: if the values are not valid.
    """
    if len(values) % _ROW_FIELDS or not all(type(value) is int for value in values):
        raise ValueError("paces have a wrong number or type of fields")
    paces = []
    for start in range(0, len(values), _ROW_FIELDS):
        key, percent, age_ms, is_measured = values[start : start + _ROW_FIELDS]
        is_key = 0 <= key <= MAX_KEY
        if not is_key or not MIN_PERCENT <= percent <= MAX_PERCENT or age_ms < 0:
            raise ValueError("a pace, its key or its age is out of range")
        paces.append(AgedPace(key, percent, age_ms, is_measured=bool(is_measured)))
    return paces
