"""Chooses the entries that grant permits for an instance. Performs no I/O.

Entries of the instance's hall come first, since during a network partition every entry that reaches
the instance can also reach them. They are chosen by rendezvous hashing: entries that see the same
fleet compute the same result without communication.
"""

from collections.abc import Sequence

import xxhash

from spoolhead._internal.models import fleet, instances

MAX_GRANTERS = 3
"""Number of entries that are asked in turn: the primary granter and its backups."""


def get_granters(
    entries: Sequence[fleet.Process], instance: instances.Instance
) -> list[fleet.Process]:
    """Return the entries to ask for permits, the primary granter first."""

    def _get_sort_key(entry: fleet.Process) -> tuple[bool, int]:
        weight = xxhash.xxh3_64_intdigest(f"permit/{entry.name}/{instance.incarnation_id}".encode())
        return entry.hall != instance.hall, weight

    return sorted(entries, key=_get_sort_key)[:MAX_GRANTERS]
