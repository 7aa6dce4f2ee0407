"""Max-min fair shares of a service's memory among workspaces.

Performs no I/O. Usage is known by bucket: a workspace belongs to one bucket in each of two hashes,
and the smaller of both bounds its usage from above.
"""

import math
from collections.abc import Sequence

from spoolhead._internal.models import queue_rows, shared_load


def compute_level(demands: Sequence[int], capacity: int) -> float:
    """Return the max-min fair share: the most that any of the demands gets of a capacity."""
    left = float(capacity)
    ordered = sorted(demand for demand in demands if demand > 0)
    if len(ordered) == 1:
        # Nobody else wants the room.
        return math.inf
    for number, demand in enumerate(ordered):
        share = left / (len(ordered) - number)
        if demand > share:
            return share
        left -= demand
    return float(capacity)


class WorkspaceShares:
    """Usage by workspace bucket, and the fair share of a bucket.

    :param tables: load by bucket, for each of the two hashes.
    :param capacity: memory of the service's usable instances, in tokens.
    """

    __slots__ = ("_levels", "_tables")

    def __init__(self, tables: Sequence[Sequence[shared_load.InstanceLoad]], capacity: int) -> None:
        self._tables = tables
        self._levels = [
            compute_level([load.tokens + load.prefill_tokens for load in table], capacity)
            for table in tables
        ]

    def is_over(self, workspace: str, draw: float = 0.0) -> bool:
        """Return whether a workspace is over its share.

        :param draw: part of its waiting demand that is added to its memory in flight, from 0 to 1.
        """
        if not workspace:
            return False
        places = zip(self._tables, self._levels, queue_rows.get_buckets(workspace), strict=True)
        return all(
            table[bucket].tokens + draw * table[bucket].prefill_tokens > level
            for table, level, bucket in places
        )
