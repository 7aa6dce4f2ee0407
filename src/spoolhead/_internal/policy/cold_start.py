"""How many requests this entry sends to an instance that is cold; no I/O, time passed in.

An instance that has started a moment ago bears few requests a second from all entries together, and
falls over well above that. Entries hear of each other's work a little late, so all of them would
choose the emptiest instance, the one that has just come. Therefore only as many entries send to a
cold instance as it bears requests in a second, or fewer with a larger part each: those of its own
hall first, which still reach it behind a cut, then others, chosen by rendezvous hashing. Entries
that see the same fleet agree on that without a word.
"""

import math
from collections.abc import Sequence

import xxhash

from spoolhead._internal.models import fleet, instances, route_table
from spoolhead._internal.policy import upstream_registry

WINDOW_S = 1.0
"""Time over which requests are counted."""


class Quota:
    """What an entry may send to one cold instance.

    :ivar requests: how many.
    :ivar window_s: in any time as long as this.
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
    """Return an entry's part of what a cold instance bears.

    :param own_name: name of the entry.
    :param entries: all entries, this one among them.
    :param cold_per_s: requests a second that the instance bears from all of them.
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
    """Return the entries that send to a cold instance.

    Who knows of no entry in the instance's hall does not know the fleet, as after a start behind
    a cut, and sends nothing there.
    """
    if all(entry.hall != instance.hall for entry in entries):
        return []

    def _get_sort_key(entry: fleet.Process) -> tuple[bool, int]:
        weight = xxhash.xxh3_64_intdigest(f"{entry.name}/{instance.incarnation_id}".encode())
        return entry.hall != instance.hall, weight

    return sorted(entries, key=_get_sort_key)[: max(1, math.floor(cold_per_s))]


class ColdStarts:
    """The quotas of one entry.

    :param own_name: name of the entry.
    :param hall: its hall.
    """

    def __init__(self, own_name: str, hall: str) -> None:
        self._own_process = fleet.Process(name=own_name, hall=hall, address="")
        self._entries: Sequence[fleet.Process] = (self._own_process,)
        self._quotas: dict[str, Quota] = {}

    def set_entries(self, entries: Sequence[fleet.Process]) -> None:
        """Take over which entries there are."""
        known = entries
        if all(entry.name != self._own_process.name for entry in entries):
            known = (*entries, self._own_process)
        if known != self._entries:
            self._entries = known
            self._quotas.clear()

    def may_send(
        self, service: route_table.Service, upstream: upstream_registry.Upstream, now_s: float
    ) -> bool:
        """Tell whether one more request may go to an instance now."""
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

    def forget_quotas(self) -> None:
        """Work the quotas out anew; due when instances or what they bear have changed."""
        self._quotas.clear()
