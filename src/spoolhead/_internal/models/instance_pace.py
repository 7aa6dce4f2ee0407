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
_ROW_FIELDS = 3


class AgedPace:
    """The typical pace of an instance with its age, as processes send it to each other.

    :ivar key: key of the instance, see :func:`shared_load.get_key`.
    :ivar percent: time that work typically takes there, in percent of the usual time.
    :ivar age_ms: time since the pace was determined.
    """

    __slots__ = ("age_ms", "key", "percent")

    def __init__(self, key: int, percent: int, age_ms: int) -> None:
        self.key = key
        self.percent = percent
        self.age_ms = age_ms


def pack(paces: Iterable[AgedPace]) -> list[int]:
    """Return the encoding of paces in datagrams."""
    values: list[int] = []
    for item in paces:
        values += (item.key, item.percent, item.age_ms)
    return values


def unpack(values: list) -> list[AgedPace]:
    """Decode paces from a datagram.

    :raises ValueError: if the values are not valid.
    """
    if len(values) % _ROW_FIELDS or not all(type(value) is int for value in values):
        raise ValueError("paces have a wrong number or type of fields")
    paces = []
    for start in range(0, len(values), _ROW_FIELDS):
        key, percent, age_ms = values[start : start + _ROW_FIELDS]
        if percent <= 0 or age_ms < 0:
            raise ValueError("a pace or its age is out of range")
        paces.append(AgedPace(key, percent, age_ms))
    return paces
