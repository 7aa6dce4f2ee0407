"""Which entries grant permits for an instance; no I/O.

Entries of the instance's hall come first, since those that reach the instance behind a cut reach
them too, chosen by rendezvous hashing: entries that see the same fleet agree without a word.
"""

from collections.abc import Sequence

import xxhash

from spoolhead._internal.models import fleet, instances

MAX_GRANTERS = 3
"""Entries that are asked in turn: the first granter and those that stand in for it."""


def get_granters(
    entries: Sequence[fleet.Process], instance: instances.Instance
) -> list[fleet.Process]:
    """Return the entries to ask for permits, the first granter first."""

    def _get_sort_key(entry: fleet.Process) -> tuple[bool, int]:
        weight = xxhash.xxh3_64_intdigest(f"permit/{entry.name}/{instance.incarnation_id}".encode())
        return entry.hall != instance.hall, weight

    return sorted(entries, key=_get_sort_key)[:MAX_GRANTERS]
