"""The load of the other entries, as one entry knows it.

Performs no I/O; the current time is passed in.
"""

import collections
import math

from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import datagram_order, upstream_registry

UPDATE_TTL_S = 3.0
"""Time without any update after which received load no longer counts: requests that take a second
or two have ended by then, and longer requests matter less than the entry's own."""
HALL_SILENCE_S = 0.6
"""Silence of a hall after which it counts as silent. Each of its entries reports four times a
second, and an entry that loses its hub reports to another within some 0.4 s."""
MAX_REPORTS = 64
"""Maximum number of own reports stored until an update states which report it includes: over half a
second of the fastest reporting."""


class _Row:
    """Load of the other entries at one instance, and the sequence number of the update."""

    __slots__ = ("other_load", "sequence")

    def __init__(self, other_load: shared_load.InstanceLoad, sequence: int) -> None:
        self.other_load = other_load
        self.sequence = sequence


class LoadView:
    """Writes the other entries' load into the registry of instances.

    :param hall: hall of the entry.
    :param registry: the instances.
    :ivar has_snapshot: whether the hub has sent a snapshot of its complete state.
    """

    def __init__(self, hall: str, registry: upstream_registry.UpstreamRegistry) -> None:
        self._hall = hall
        self._registry = registry
        self._rows: dict[int, _Row] = {}
        self._reports: collections.OrderedDict[int, shared_load.LoadByInstance] = (
            collections.OrderedDict()
        )
        self._halls_heard_s: dict[str, float] = {}
        self._silence_from_s: dict[str, float] = {}
        self._updated_s = -math.inf
        self._is_new_hub = True
        self.has_snapshot = False

    def get_own_load(self) -> shared_load.LoadByInstance:
        """Return this entry's own load by instance."""
        return {
            upstream.key: shared_load.InstanceLoad(
                upstream.own_tokens,
                len(upstream.in_flight),
                upstream.own_prefill_tokens,
                upstream.own_answer_tokens,
            )
            for upstream in self._registry.get_all()
            if upstream.in_flight
        }

    def get_other_load(self, key: int) -> shared_load.InstanceLoad | None:
        """Return the load of the other entries under a key; None for no load."""
        row = self._rows.get(key)
        return row.other_load if row is not None else None

    def record_report(self, sequence: int, rows: shared_load.LoadByInstance) -> None:
        """Store an own report, whose load has to be subtracted from updates that include it."""
        self._reports[sequence] = rows
        while len(self._reports) > MAX_REPORTS:
            self._reports.popitem(last=False)

    def reset_for_new_hub(self) -> None:
        """Record that updates will come from another hub, with its own sequence numbers."""
        self._is_new_hub = True
        self.has_snapshot = False

    def handle_update(self, update: shared_load.Update, now_s: float) -> bool:
        """Apply an update of the hub.

        :returns: whether it was applied; an update that includes an unknown own report is ignored.
        """
        own = self._reports.get(update.counted)
        if own is None:
            return False
        if self._is_new_hub:
            self._is_new_hub = False
            self._clear()
            self._restart_silence_timers(now_s)
        self._updated_s = now_s
        self.has_snapshot = self.has_snapshot or update.is_snapshot
        for age in update.ages:
            heard_s = now_s - age.age_ms / 1000
            known_s = self._halls_heard_s.get(age.hall, heard_s)
            self._halls_heard_s[age.hall] = max(known_s, heard_s)
        for key, total in update.rows.items():
            self._handle_row(key, total, own.get(key), update.sequence)
        return True

    def rebuild(self, now_s: float) -> None:
        """Apply the known load to the listed instances; due after the list has changed."""
        if now_s - self._updated_s > UPDATE_TTL_S:
            self._clear()
            self.has_snapshot = False
        for upstream in self._registry.get_all():
            row = self._rows.get(upstream.key)
            upstream.other_load = row.other_load if row is not None else shared_load.InstanceLoad()

    def get_silent_halls(self, now_s: float) -> frozenset[str]:
        """Return the known halls that are silent, as behind a network partition.

        Without updates, nothing is received about any hall, so the halls that were silent at the
        last update are returned.
        """
        at_s = min(now_s, self._updated_s)
        return frozenset(
            hall
            for hall, heard_s in self._halls_heard_s.items()
            if hall != self._hall
            and at_s - max(heard_s, self._silence_from_s.get(hall, heard_s)) > HALL_SILENCE_S
        )

    def is_isolated(self, now_s: float) -> bool:
        """Return whether all other known halls are silent."""
        others = self._halls_heard_s.keys() - {self._hall}
        return bool(others) and len(self.get_silent_halls(now_s)) == len(others)

    def get_silence_ms(self, hall: str, now_s: float) -> int:
        """Return for how long a known hall has been silent, in milliseconds."""
        return int((now_s - self._halls_heard_s[hall]) * 1000)

    def get_age_ms(self, now_s: float) -> int:
        """Return the age of the newest update in milliseconds; -1 if there is none."""
        return int((now_s - self._updated_s) * 1000) if math.isfinite(self._updated_s) else -1

    def _handle_row(
        self,
        key: int,
        total: shared_load.InstanceLoad,
        own: shared_load.InstanceLoad | None,
        sequence: int,
    ) -> None:
        row = self._rows.get(key)
        if row is not None and datagram_order.is_late(sequence, row.sequence):
            return
        other_load = total.copy()
        if own is not None:
            other_load.add(own, -1)
        if other_load:
            self._rows[key] = _Row(other_load, sequence)
        else:
            self._rows.pop(key, None)
        upstream = self._registry.get_by_key(key)
        if upstream is not None:
            upstream.other_load = other_load

    def _restart_silence_timers(self, now_s: float) -> None:
        """Restart the timers of the halls that are not silent: a new hub may have just started."""
        silent = self.get_silent_halls(now_s)
        for hall in self._halls_heard_s.keys() - silent:
            self._silence_from_s[hall] = now_s

    def _clear(self) -> None:
        self._rows.clear()
        for upstream in self._registry.get_all():
            upstream.other_load = shared_load.InstanceLoad()
