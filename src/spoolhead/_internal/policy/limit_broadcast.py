"""Which stated rate limits a hub still has to pass on; no I/O, time passed in."""

from collections.abc import Iterable

from spoolhead._internal.models import rate_limit
from spoolhead._internal.policy import limit_book

SENT_TIMES = 2
"""Datagrams in a row that carry a statement."""
REPEAT_PAUSE_S = 0.5
"""Pause between later datagrams that carry it again."""
REPEATED_FOR_S = 4.0
"""Time for which a statement is repeated; who hears nothing for so long asks for all."""
LIMITS_AT_ONCE = 32
"""Most limits in one datagram."""


class _Repeat:
    """When a statement is due again, and until when it is repeated."""

    __slots__ = ("due_s", "until_s")

    def __init__(self, due_s: float, until_s: float) -> None:
        self.due_s = due_s
        self.until_s = until_s


class LimitBroadcast:
    """The limits that one side of a hub has not been sent yet, or is sent again.

    :param book: the newest statement of each instance.
    """

    __slots__ = ("_book", "_left", "_repeats")

    def __init__(self, book: limit_book.LimitBook) -> None:
        self._book = book
        self._left: dict[int, int] = {}
        # In the order in which they are due, as the pause is the same for all.
        self._repeats: dict[int, _Repeat] = {}

    @property
    def has_news(self) -> bool:
        """Whether a limit has not been sent at all."""
        return SENT_TIMES in self._left.values()

    @property
    def has_more(self) -> bool:
        """Whether anything is left to send that must not wait for the next datagram."""
        return bool(self._left)

    def add(self, keys: Iterable[int], now_s: float) -> None:
        """Have the limits of some instances sent."""
        for key in keys:
            self._left[key] = SENT_TIMES
            self._repeat_later(key, now_s, now_s + REPEATED_FOR_S)

    def take_part(self, now_s: float) -> list[rate_limit.AgedLimit]:
        """Return what is sent next, and count it as sent."""
        part = list(self._left)[:LIMITS_AT_ONCE]
        for key in part:
            self._left[key] -= 1
            if not self._left[key]:
                del self._left[key]
        part += self._take_due(LIMITS_AT_ONCE - len(part), now_s)
        return self._book.get_aged(part, now_s)

    def clear(self) -> None:
        """Forget what was to be sent: nobody is there to get it."""
        self._left.clear()
        self._repeats.clear()

    def _take_due(self, most: int, now_s: float) -> list[int]:
        due = []
        for key, repeat in list(self._repeats.items())[:most]:
            if repeat.due_s > now_s:
                break
            due.append(key)
            self._repeat_later(key, now_s, repeat.until_s)
        return due

    def _repeat_later(self, key: int, now_s: float, until_s: float) -> None:
        self._repeats.pop(key, None)
        due_s = now_s + REPEAT_PAUSE_S
        if due_s <= until_s:
            self._repeats[key] = _Repeat(due_s, until_s)
