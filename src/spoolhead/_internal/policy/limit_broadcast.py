"""Which stated rate limits a hub still has to pass on; no I/O, time passed in."""

from collections.abc import Iterable

from spoolhead._internal.models import rate_limit
from spoolhead._internal.policy import limit_registry, repeats

SEND_COUNT = 2
"""Datagrams in a row that carry a statement."""
LIMITS_AT_ONCE = 32
"""Most limits in one datagram."""


class LimitBroadcast:
    """The limits that one side of a hub has not been sent yet, or is sent again.

    :param registry: the newest statement of each instance.
    """

    __slots__ = ("_registry", "_left", "_repeats")

    def __init__(self, registry: limit_registry.LimitRegistry) -> None:
        self._registry = registry
        self._left: dict[int, int] = {}
        self._repeats: repeats.Repeats[int] = repeats.Repeats()

    @property
    def has_new(self) -> bool:
        """Whether a limit has not been sent at all."""
        return SEND_COUNT in self._left.values()

    @property
    def has_pending(self) -> bool:
        """Whether anything is left to send that must not wait for the next datagram."""
        return bool(self._left)

    def add(self, keys: Iterable[int], now_s: float) -> None:
        """Have the limits of some instances sent."""
        for key in keys:
            self._left[key] = SEND_COUNT
            self._repeats.add([key], now_s)

    def pop_batch(self, now_s: float) -> list[rate_limit.AgedLimit]:
        """Return what is sent next, and count it as sent."""
        part = list(self._left)[:LIMITS_AT_ONCE]
        for key in part:
            self._left[key] -= 1
            if not self._left[key]:
                del self._left[key]
        part += self._repeats.pop_due(LIMITS_AT_ONCE - len(part), now_s)
        return self._registry.get_aged(part, now_s)

    def clear(self) -> None:
        """Forget what was to be sent: nobody is there to get it."""
        self._left.clear()
        self._repeats.clear()
