"""Decides which crashes of a suspect key are explained by other keys that are held.

Performs no I/O.

The parts of a prompt are in flight together. If one of them crashes instances, the others were at
each of these crashes, too, and so were the parts that many sound requests share. A crash at which a
held key was in flight need not be due to another key that was there. Whether it is shows as soon as
a request has the other key without the held one.
"""

from collections.abc import Callable

from spoolhead._internal.models import content_record, request_keys
from spoolhead._internal.policy import content_registry


class ExplainedCrashes:
    """The crashes at which held keys were in flight.

    :param registry: the records of all keys.
    :param is_held: returns whether the key of a record is held.
    :param is_proved: returns whether the key of a record crashed an instance in a trial.
    """

    def __init__(
        self,
        registry: content_registry.ContentRegistry,
        is_held: Callable[[content_record.ContentRecord], bool],
        is_proved: Callable[[content_record.ContentRecord], bool],
    ) -> None:
        self._registry = registry
        self._is_held = is_held
        self._is_proved = is_proved
        self._digest = 0
        self._held_by_crash: dict[int, set[bytes]] = {}
        self._proved_by_crash: dict[int, set[bytes]] = {}

    def count_unexplained(
        self, record: content_record.ContentRecord, keys: request_keys.RequestKeys
    ) -> int:
        """Return the number of crashes of a key that no other held key explains.

        :param record: the record of the key.
        :param keys: the keys of a request that has it. They explain nothing, since the request may
            crash an instance because of any of them.
        """
        self._update()
        own_keys = set(keys.all)
        return sum(self._held_by_crash.get(end, own_keys) <= own_keys for end in record.ends)

    def has_proved(
        self, record: content_record.ContentRecord, keys: request_keys.RequestKeys
    ) -> bool:
        """Return whether a key that crashed an instance in a trial was at any crash of another.

        :param record: the record of the other key.
        :param keys: the keys of a request that has it, which explain nothing.
        """
        self._update()
        own_keys = set(keys.all)
        return any(self._proved_by_crash.get(end, own_keys) - own_keys for end in record.ends)

    def _update(self) -> None:
        """Collect the crashes of held keys anew if any record has changed."""
        if self._digest == self._registry.digest:
            return
        self._digest = self._registry.digest
        self._held_by_crash = self._collect(self._is_held)
        self._proved_by_crash = self._collect(self._is_proved)

    def _collect(
        self, is_chosen: Callable[[content_record.ContentRecord], bool]
    ) -> dict[int, set[bytes]]:
        """Return the keys of the chosen records, by crash."""
        chosen: dict[int, set[bytes]] = {}
        for record in self._registry.get_all():
            if is_chosen(record):
                for end in record.ends:
                    chosen.setdefault(end, set()).add(record.content_id)
        return chosen
