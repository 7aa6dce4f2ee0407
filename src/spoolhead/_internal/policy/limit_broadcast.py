"""Selects the stated rate limits that a hub still has to send.

Performs no I/O; the current time is passed in.
"""

from collections.abc import Iterable

from spoolhead._internal.models import rate_limit
from spoolhead._internal.policy import limit_registry, repeats

SEND_COUNT = 2
"""Successive datagrams that carry a changed limit."""
MAX_LIMITS_PER_DATAGRAM = 32
"""Maximum number of limits per datagram."""


class LimitBroadcast:
    """Limits to be sent to one group of receivers, for the first time or again.

    :param registry: the newest stated limit of each instance.
    """

    __slots__ = ("_registry", "_sends_left", "_repeats")

    def __init__(self, registry: limit_registry.LimitRegistry) -> None:
        self._registry = registry
        self._sends_left: dict[int, int] = {}
        self._repeats: repeats.Repeats[int] = repeats.Repeats()

    @property
    def has_new(self) -> bool:
        """Whether any limit has not been sent yet."""
        return SEND_COUNT in self._sends_left.values()

    @property
    def has_pending(self) -> bool:
        """Whether any limit is left to send, apart from repetitions, which cause no datagram."""
        return bool(self._sends_left)

    def add(self, keys: Iterable[int], now_s: float) -> None:
        """Schedule the limits of some instances to be sent."""
        for key in keys:
            self._sends_left[key] = SEND_COUNT
            self._repeats.add([key], now_s)

    def pop_batch(self, now_s: float) -> list[rate_limit.AgedLimit]:
        """Return the limits to send next, and count them as sent."""
        keys_to_send = list(self._sends_left)[:MAX_LIMITS_PER_DATAGRAM]
        for key in keys_to_send:
            self._sends_left[key] -= 1
            if not self._sends_left[key]:
                del self._sends_left[key]
        keys_to_send += self._repeats.pop_due(MAX_LIMITS_PER_DATAGRAM - len(keys_to_send), now_s)
        return self._registry.get_aged(keys_to_send, now_s)

    def clear(self) -> None:
        """Discard pending limits, as there is no receiver."""
        self._sends_left.clear()
        self._repeats.clear()
