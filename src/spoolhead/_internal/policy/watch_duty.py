"""Which entry watches an instance's health; no I/O.

Each instance is watched by one entry only, one of its hall where there is one, chosen by
rendezvous hashing, so that entries which see the same fleet agree without a word and few
instances change hands when an entry comes or goes.
"""

from collections.abc import Sequence

import xxhash

from spoolhead._internal.models import fleet, instances


def is_on_duty(
    own_name: str, watchers: Sequence[fleet.Process], instance: instances.Instance
) -> bool:
    """Tell whether an entry is the one that watches an instance.

    :param own_name: name of the entry.
    :param watchers: all entries that are alive, this one among them.
    """
    near = [watcher for watcher in watchers if watcher.hall == instance.hall]
    chosen = max(near or watchers, key=lambda watcher: _get_weight(watcher, instance))
    return chosen.name == own_name


def _get_weight(watcher: fleet.Process, instance: instances.Instance) -> int:
    key = f"{watcher.name}/{instance.life_id}"
    return xxhash.xxh3_64(key.encode()).intdigest()
