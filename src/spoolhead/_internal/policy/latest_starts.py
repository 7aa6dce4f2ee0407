"""Stores the latest start time of each instance that was listed. Performs no I/O."""

import collections
import dataclasses

from spoolhead._internal.models import instances

MAX_DELISTED = 1_000
"""Maximum number of ids beyond the listed ones whose latest start is stored: messages about a
previous incarnation arrive a second or two late, and a deployment has some hundred departures in an
hour."""


class LatestStarts:
    """Distinguishes previous incarnations of an instance from the current one."""

    __slots__ = ("_started_ms",)

    def __init__(self) -> None:
        self._started_ms: collections.OrderedDict[str, int] = collections.OrderedDict()

    def record(self, instance: instances.Instance) -> bool:
        """Record an instance's start.

        :returns: False if a later start is known.
        """
        if self.is_previous(instance):
            return False
        if instance.started_ms:
            self._started_ms[instance.instance_id] = instance.started_ms
            self._started_ms.move_to_end(instance.instance_id)
        return True

    def is_previous(self, instance: instances.Instance) -> bool:
        """Return whether a later start is known; if the instance states none, whether any is."""
        return instance.started_ms < self._started_ms.get(instance.instance_id, 0)

    def get_current_incarnation_id(self, previous: instances.Instance) -> str:
        """Return the latest incarnation id of an instance that is listed as a previous one."""
        started_ms = self._started_ms[previous.instance_id]
        return dataclasses.replace(previous, started_ms=started_ms).incarnation_id

    def evict_oldest(self, listed_count: int) -> None:
        """Evict the ids that were listed longest ago.

        :param listed_count: number of instances listed now, all of which are kept.
        """
        while len(self._started_ms) > listed_count + MAX_DELISTED:
            self._started_ms.popitem(last=False)
