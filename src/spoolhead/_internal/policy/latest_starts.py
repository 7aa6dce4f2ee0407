"""The latest start of each instance that was ever listed; no I/O."""

import collections
import dataclasses

from spoolhead._internal.models import instances

FORMER_KEPT = 1_000
"""Ids whose latest start is remembered beyond those that are listed: news of a former run comes a
second or two late, and a deployment has some hundred departures in an hour."""


class LatestStarts:
    """Tells a former run of an instance from the present one."""

    __slots__ = ("_born_ms",)

    def __init__(self) -> None:
        self._born_ms: collections.OrderedDict[str, int] = collections.OrderedDict()

    def record(self, instance: instances.Instance) -> bool:
        """Take note of an instance's start; False if a later one is known."""
        if self.is_former(instance):
            return False
        if instance.born_ms:
            self._born_ms[instance.instance_id] = instance.born_ms
            self._born_ms.move_to_end(instance.instance_id)
        return True

    def is_former(self, instance: instances.Instance) -> bool:
        """Tell whether a later start is known, or one at all where the instance names none."""
        return instance.born_ms < self._born_ms.get(instance.instance_id, 0)

    def get_present_life_id(self, former: instances.Instance) -> str:
        """Return the name of the latest run of an instance that is listed as a former one."""
        born_ms = self._born_ms[former.instance_id]
        return dataclasses.replace(former, born_ms=born_ms).life_id

    def forget_oldest(self, listed_count: int) -> None:
        """Forget the ids that were listed longest ago.

        :param listed_count: instances that are listed now, all of which are remembered.
        """
        while len(self._born_ms) > listed_count + FORMER_KEPT:
            self._born_ms.popitem(last=False)
