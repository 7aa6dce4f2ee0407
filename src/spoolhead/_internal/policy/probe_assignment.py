"""Assigns the health checks of instances to entries. Performs no I/O.

Each instance is watched by exactly one entry, one of its own hall if there is any, chosen by
rendezvous hashing: entries that see the same fleet compute the same result without communication,
and few instances are reassigned when an entry starts or stops.
"""

from collections.abc import Iterable, Sequence

import xxhash

from spoolhead._internal.models import fleet, instances


class ProbeAssignments:
    """The instances that one entry watches.

    Choosing an entry for every instance costs the product of both numbers, so it is done only for
    new instances, and for all instances when the entries change.

    :param own_name: name of the entry.
    """

    __slots__ = ("_assignments", "_own_name", "_watchers")

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._watchers: list[tuple[str, str]] = []
        self._assignments: dict[str, bool] = {}

    def update(
        self, watchers: Sequence[fleet.Process], listed: Iterable[instances.Instance]
    ) -> None:
        """Set the current entries and instances."""
        watcher_keys = [(watcher.name, watcher.hall) for watcher in watchers]
        known = self._assignments if watcher_keys == self._watchers else {}
        self._watchers = watcher_keys
        self._assignments = {}
        for instance in listed:
            incarnation_id = instance.incarnation_id
            assigned = known.get(incarnation_id)
            if assigned is None:
                assigned = is_assigned(self._own_name, watchers, instance)
            self._assignments[incarnation_id] = assigned

    def has(self, instance: instances.Instance) -> bool:
        """Return whether the entry watches an instance."""
        return self._assignments.get(instance.incarnation_id, False)


def is_assigned(
    own_name: str, watchers: Sequence[fleet.Process], instance: instances.Instance
) -> bool:
    """Return whether an entry is assigned to watch an instance.

    :param own_name: name of the entry.
    :param watchers: all entries that are alive, this one among them.
    """
    same_hall = [watcher for watcher in watchers if watcher.hall == instance.hall]
    chosen = max(same_hall or watchers, key=lambda watcher: _get_weight(watcher, instance))
    return chosen.name == own_name


def _get_weight(watcher: fleet.Process, instance: instances.Instance) -> int:
    key = f"{watcher.name}/{instance.incarnation_id}"
    return xxhash.xxh3_64(key.encode()).intdigest()
