"""Selects the typical paces that a hub still has to send.

Performs no I/O; the current time is passed in.
"""

from collections.abc import Iterable

from spoolhead._internal.models import instance_pace
from spoolhead._internal.policy import pace_registry, repeats, token_bucket

MAX_PACES_PER_DATAGRAM = 16
"""Maximum number of paces per datagram."""
MAX_PACES_PER_S = 50.0
"""Maximum rate of paces to each receiver: at 14 bytes each, less than 1 KB/s."""
MAX_PACES_PER_SNAPSHOT = 1_600
"""Maximum number of paces in a snapshot, the last recorded: 22 KB."""
SNAPSHOT_RESERVE_BYTES = 32
"""Part of a snapshot's free bytes that no paces use: its last fields follow them."""


class PaceBroadcast:
    """Paces to be sent to one group of receivers, for the first time or again.

    They cause no datagrams, but are included in those that are sent anyway.

    :param registry: the newest pace of each instance.
    """

    __slots__ = ("_bucket", "_registry", "_repeats", "_unsent")

    def __init__(self, registry: pace_registry.PaceRegistry) -> None:
        self._registry = registry
        self._bucket = token_bucket.TokenBucket(0.0, MAX_PACES_PER_DATAGRAM)
        self._unsent: dict[int, None] = {}
        self._repeats: repeats.Repeats[int] = repeats.Repeats()

    def add(self, keys: Iterable[int]) -> None:
        """Schedule the paces of some instances to be sent."""
        self._unsent.update(dict.fromkeys(keys))

    def pop_batch(self, now_s: float) -> list[instance_pace.AgedPace]:
        """Return the paces to send next, new ones before repetitions, and count them as sent."""
        self._bucket.update(MAX_PACES_PER_S, MAX_PACES_PER_DATAGRAM, now_s)
        max_count = int(self._bucket.tokens)
        keys = list(self._unsent)[:max_count]
        for key in keys:
            del self._unsent[key]
        self._repeats.add(keys, now_s)
        keys += self._repeats.pop_due(max_count - len(keys), now_s)
        self._bucket.tokens -= len(keys)
        return self._registry.get_aged(keys, now_s)

    def clear(self) -> None:
        """Discard pending paces, as there is no receiver."""
        self._unsent.clear()
        self._repeats.clear()


class HubPaces:
    """The paces that a hub knows and has to send.

    :ivar to_hubs: paces for the other hubs.
    :ivar to_reporters: paces for the hub's reporters.
    """

    __slots__ = ("_registry", "to_hubs", "to_reporters")

    def __init__(self) -> None:
        self._registry = pace_registry.PaceRegistry()
        self.to_hubs = PaceBroadcast(self._registry)
        self.to_reporters = PaceBroadcast(self._registry)

    def handle_report(self, paces: Iterable[instance_pace.AgedPace], now_s: float) -> None:
        """Merge the paces that an entry reports."""
        changed = self._registry.merge(paces, now_s)
        self.to_hubs.add(changed)
        self.to_reporters.add(changed)

    def handle_totals(self, paces: Iterable[instance_pace.AgedPace], now_s: float) -> None:
        """Merge the paces that another hub sends."""
        self.to_reporters.add(self._registry.merge(paces, now_s))

    def get_for_snapshot(self, free_bytes: int, now_s: float) -> list[instance_pace.AgedPace]:
        """Return the paces that fit into a snapshot, and schedule the others for all reporters."""
        max_bytes = max(0, free_bytes - SNAPSHOT_RESERVE_BYTES)
        max_count = min(MAX_PACES_PER_SNAPSHOT, max_bytes // instance_pace.MAX_PACE_BYTES)
        keys = self._registry.get_keys()
        first = max(0, len(keys) - max_count)
        self.to_reporters.add(keys[:first])
        return self._registry.get_aged(keys[first:], now_s)

    def resend_to_hubs(self) -> None:
        """Schedule all paces for the other hubs."""
        self.to_hubs.add(self._registry.get_keys())

    def expire(self, now_s: float) -> None:
        """Remove old paces."""
        self._registry.expire(now_s)

    def clear_pending(self) -> None:
        """Discard pending paces, as there is no receiver."""
        self.to_hubs.clear()
        self.to_reporters.clear()
