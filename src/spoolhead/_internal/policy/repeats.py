"""Schedules repetitions of broadcast items. Performs no I/O; the current time is passed in.

Receivers of a broadcast do not acknowledge it, so an item that must reach all of them is repeated
for some time.
"""

import itertools
from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

REPEAT_INTERVAL_S = 0.5
"""Interval between two datagrams that repeat the same item."""
REPEAT_DURATION_S = 4.0
"""Time for which an item is repeated; a receiver that gets no datagram for that time requests
all items."""

Item = TypeVar("Item", bound=Hashable)


class _Repeat:
    """Times at which an item is due again and at which its repetition ends."""

    __slots__ = ("due_s", "until_s")

    def __init__(self, due_s: float, until_s: float) -> None:
        self.due_s = due_s
        self.until_s = until_s


class Repeats(Generic[Item]):
    """Items that are sent again at intervals."""

    __slots__ = ("_repeats",)

    def __init__(self) -> None:
        # In the order in which they are due, as the interval is the same for all.
        self._repeats: dict[Item, _Repeat] = {}

    def add(self, items: Iterable[Item], now_s: float) -> None:
        """Schedule repetitions of items that are sent now."""
        for item in items:
            self._schedule(item, now_s, now_s + REPEAT_DURATION_S)

    def add_due(self, items: Iterable[Item], now_s: float) -> None:
        """Schedule items for the next datagram and for repetitions after it."""
        due = {item: _Repeat(now_s, now_s + REPEAT_DURATION_S) for item in items}
        others = {item: repeat for item, repeat in self._repeats.items() if item not in due}
        self._repeats = {**due, **others}

    def pop_due(self, max_items: int, now_s: float) -> list[Item]:
        """Return the items that are due, and count them as sent.

        :param max_items: maximum number of items to return; the others stay due.
        """
        due = []
        for item, repeat in list(itertools.islice(self._repeats.items(), max_items)):
            if repeat.due_s > now_s:
                break
            due.append(item)
            self._schedule(item, now_s, repeat.until_s)
        return due

    def clear(self) -> None:
        """Remove all items."""
        self._repeats.clear()

    def _schedule(self, item: Item, now_s: float, until_s: float) -> None:
        self._repeats.pop(item, None)
        due_s = now_s + REPEAT_INTERVAL_S
        if due_s <= until_s:
            self._repeats[item] = _Repeat(due_s, until_s)
