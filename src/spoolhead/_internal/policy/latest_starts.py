"""The latest start of each instance that was ever listed; no I/O."""

import collections
import dataclasses

from spoolhead._internal.models import instances

MAX_DELISTED = 1_000
"""Ids whose latest start is remembered beyond those that are listed: news of a former run comes a
second or two late, and a deployment has some hundred departures in an hour."""


class LatestStarts:
    """Tells a former run of an instance from the present one."""

    __slots__ = ("_started_ms",)

    def __init__(self) -> None:
        self._started_ms: collections.OrderedDict[str, int] = collections.OrderedDict()

    def record(self, instance: instances.Instance) -> bool:
        """Take note of an instance's start; False if a later one is known."""
        if self.is_previous(instance):
            return False
        if instance.started_ms:
            self._started_ms[instance.instance_id] = instance.started_ms
            self._started_ms.move_to_end(instance.instance_id)
        return True

    def is_previous(self, instance: instances.Instance) -> bool:
        """Tell whether a later start is known, or one at all where the instance names none."""
        return instance.started_ms < self._started_ms.get(instance.instance_id, 0)

    def get_current_incarnation_id(self, previous: instances.Instance) -> str:
        """Return the name of the latest run of an instance that is listed as a former one."""
        started_ms = self._started_ms[previous.instance_id]
        return dataclasses.replace(previous, started_ms=started_ms).incarnation_id

    def evict_oldest(self, listed_count: int) -> None:
        """Forget the ids that were listed longest ago.

        :param listed_count: instances that are listed now, all of which are remembered.
        """
        while len(self._started_ms) > listed_count + MAX_DELISTED:
            self._started_ms.popitem(last=False)
