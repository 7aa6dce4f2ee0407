"""Which entry watches an instance's health; no I/O.

Each instance is watched by one entry only, one of its hall where there is one, chosen by
rendezvous hashing, so that entries which see the same fleet agree without a word and few
instances change hands when an entry comes or goes.
"""

from collections.abc import Iterable, Sequence

import xxhash

from spoolhead._internal.models import fleet, instances


class WatchDuties:
    """The instances that one entry watches.

    The choice among all entries for all instances is a product of both numbers, so it is made only
    for instances that are new, and for all when the entries change.

    :param own_name: name of the entry.
    """

    __slots__ = ("_duties", "_own_name", "_watchers")

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._watchers: list[tuple[str, str]] = []
        self._duties: dict[str, bool] = {}

    def update(
        self, watchers: Sequence[fleet.Process], listed: Iterable[instances.Instance]
    ) -> None:
        """Take over which entries and which instances there are."""
        described = [(watcher.name, watcher.hall) for watcher in watchers]
        known = self._duties if described == self._watchers else {}
        self._watchers = described
        self._duties = {}
        for instance in listed:
            incarnation_id = instance.incarnation_id
            duty = known.get(incarnation_id)
            if duty is None:
                duty = is_watcher(self._own_name, watchers, instance)
            self._duties[incarnation_id] = duty

    def has(self, instance: instances.Instance) -> bool:
        """Tell whether the entry watches an instance."""
        return self._duties.get(instance.incarnation_id, False)


def is_watcher(
    own_name: str, watchers: Sequence[fleet.Process], instance: instances.Instance
) -> bool:
    """Tell whether an entry is the one that watches an instance.

    :param own_name: name of the entry.
    :param watchers: all entries that are alive, this one among them.
    """
    same_hall = [watcher for watcher in watchers if watcher.hall == instance.hall]
    chosen = max(same_hall or watchers, key=lambda watcher: _get_weight(watcher, instance))
    return chosen.name == own_name


def _get_weight(watcher: fleet.Process, instance: instances.Instance) -> int:
    key = f"{watcher.name}/{instance.incarnation_id}"
    return xxhash.xxh3_64(key.encode()).intdigest()
