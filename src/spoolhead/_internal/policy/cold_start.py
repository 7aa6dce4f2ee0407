"""Limits the number of requests that an entry sends to a cold instance.

Performs no I/O; the current time is passed in.

An instance that has just started can take few requests a second from all entries together, and
crashes well above that. Entries learn of each other's load with a delay, so all of them would
choose the emptiest instance, which is the new one. Therefore only as many entries send to a cold
instance as it can take requests in a second, or fewer entries with a larger quota each: first those
of its own hall, which still reach it during a network partition, then others, chosen by rendezvous
hashing. Entries that see the same fleet compute the same result without communication.
"""

import math
from collections.abc import Sequence

import xxhash

from spoolhead._internal.models import fleet, instances, route_table
from spoolhead._internal.policy import upstream_registry

WINDOW_S = 1.0
"""Time window over which requests are counted."""


class Quota:
    """Requests that an entry may send to one cold instance.

    :ivar requests: number of requests per window.
    :ivar window_s: length of the sliding window.
    """

    __slots__ = ("requests", "window_s")

    def __init__(self, requests: int, window_s: float) -> None:
        self.requests = requests
        self.window_s = window_s


def get_quota(
    own_name: str,
    entries: Sequence[fleet.Process],
    instance: instances.Instance,
    cold_per_s: float,
) -> Quota:
    """Return an entry's share of the rate that a cold instance can take.

    :param own_name: name of the entry.
    :param entries: all entries, this one among them.
    :param cold_per_s: requests a second that the instance can take from all of them.
    """
    senders = get_senders(entries, instance, cold_per_s)
    if all(sender.name != own_name for sender in senders):
        return Quota(0, WINDOW_S)
    if cold_per_s < 1.0:
        return Quota(1, WINDOW_S / cold_per_s)
    return Quota(math.floor(cold_per_s / len(senders)), WINDOW_S)


def get_senders(
    entries: Sequence[fleet.Process], instance: instances.Instance, cold_per_s: float
) -> list[fleet.Process]:
    """Return the entries that may send to a cold instance.

    An entry that knows no entry in the instance's hall does not know the whole fleet, as after a
    start during a network partition, and sends nothing there.
    """
    if all(entry.hall != instance.hall for entry in entries):
        return []

    def _get_sort_key(entry: fleet.Process) -> tuple[bool, int]:
        weight = xxhash.xxh3_64_intdigest(f"{entry.name}/{instance.incarnation_id}".encode())
        return entry.hall != instance.hall, weight

    return sorted(entries, key=_get_sort_key)[: max(1, math.floor(cold_per_s))]


class ColdStarts:
    """Quotas of one entry for all cold instances.

    :param own_name: name of the entry.
    :param hall: its hall.
    """

    def __init__(self, own_name: str, hall: str) -> None:
        self._own_process = fleet.Process(name=own_name, hall=hall, address="")
        self._entries: Sequence[fleet.Process] = (self._own_process,)
        self._quotas: dict[str, Quota] = {}

    def set_entries(self, entries: Sequence[fleet.Process]) -> None:
        """Set the known entries."""
        known = entries
        if all(entry.name != self._own_process.name for entry in entries):
            known = (*entries, self._own_process)
        if known != self._entries:
            self._entries = known
            self._quotas.clear()

    def may_send(
        self, service: route_table.Service, upstream: upstream_registry.Upstream, now_s: float
    ) -> bool:
        """Return whether one more request may be sent to an instance now."""
        if not service.cold_per_s or not upstream.is_cold(now_s):
            return True
        quota = self._get_quota(service, upstream.instance)
        sent = upstream.count_sent(now_s - quota.window_s)
        return sent + upstream.copy_count < quota.requests

    def _get_quota(self, service: route_table.Service, instance: instances.Instance) -> Quota:
        quota = self._quotas.get(instance.incarnation_id)
        if quota is None:
            quota = get_quota(self._own_process.name, self._entries, instance, service.cold_per_s)
            self._quotas[instance.incarnation_id] = quota
        return quota

    def clear_quotas(self) -> None:
        """Clear the cached quotas; must be called when instances or their cold rates change."""
        self._quotas.clear()
