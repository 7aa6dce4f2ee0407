"""Keys of the rows by which entries share their queues, in the datagrams of the load.

The rows are load rows like those of instances: absolute, and added up by the hubs. A row of a
waiting class has the memory that its requests need and their number; a row of a workspace bucket
has the memory of its requests in flight, and of those that wait in the field ``prefill_tokens``.
"""

import functools

import xxhash

from spoolhead._internal.models import shared_load

RANKS = 3
"""Number of ranks told apart in the shared queue; less urgent ones count as the last."""
AGE_CLASSES = 4
"""Number of age classes of requests that can still start within their objective."""
CLASS_COUNT = RANKS * 2 * (AGE_CLASSES + 1)
"""Number of waiting classes of a service."""
BUCKETS = 32
"""Number of buckets in each of two hashes of workspace names, which bounds the number of rows."""
BUCKET_KEY_START = 1 << 32
"""Lowest key of a workspace bucket; keys of other rows are below."""


def get_class(rank: int, *, is_late: bool, is_over_share: bool, age_class: int) -> int:
    """Return the number of a waiting class; classes with lower numbers are served first.

    Requests within their workspace's share come first, then those that can start within their
    objective, then the more urgent ones, then the older ones.

    :param rank: rank of the request, 0 for the most urgent.
    :param is_late: whether it can no longer start within its objective; it has no age class then.
    :param is_over_share: whether its workspace uses more than its share of the room.
    :param age_class: its age, ``AGE_CLASSES - 1`` for the oldest.
    """
    block_start = is_over_share * RANKS * (AGE_CLASSES + 1)
    rank = min(rank, RANKS - 1)
    if is_late:
        return block_start + RANKS * AGE_CLASSES + rank
    return block_start + rank * AGE_CLASSES + AGE_CLASSES - 1 - age_class


@functools.lru_cache(maxsize=64)
def get_waiting_keys(service: str) -> tuple[int, ...]:
    """Return the key of each waiting class of a service."""
    return tuple(shared_load.get_key(f"waiting/{service}/{each}") for each in range(CLASS_COUNT))


@functools.lru_cache(maxsize=64)
def get_running_keys(service: str) -> tuple[int, ...]:
    """Return the keys of the memory in flight of a service, by rank."""
    return tuple(shared_load.get_key(f"running/{service}/{rank}") for rank in range(RANKS))


@functools.lru_cache(maxsize=64)
def get_released_key(service: str) -> int:
    """Return the key of the memory that a service's runs have released so far."""
    return shared_load.get_key(f"released/{service}")


@functools.lru_cache(maxsize=64)
def get_acquired_keys(service: str) -> tuple[int, ...]:
    """Return the keys of the memory that a service's runs have acquired so far, by rank."""
    return tuple(shared_load.get_key(f"acquired/{service}/{rank}") for rank in range(RANKS))


@functools.lru_cache(maxsize=1024)
def get_length_key(route: str) -> int:
    """Return the key of the tokens and the number of a route's answers so far."""
    return shared_load.get_key(f"length/{route}")


@functools.lru_cache(maxsize=64)
def get_bucket_keys(service: str) -> tuple[tuple[int, ...], ...]:
    """Return the keys of the workspace buckets of a service, for each of the two hashes."""
    start = BUCKET_KEY_START + (xxhash.xxh32_intdigest(service.encode()) << 8)
    return tuple(
        tuple(range(start + number * BUCKETS, start + (number + 1) * BUCKETS))
        for number in range(2)
    )


@functools.lru_cache(maxsize=64)
def get_rest_key(service: str) -> int:
    """Return the key of the usage of all workspaces that are not reported by bucket."""
    return shared_load.get_key(f"rest/{service}")


def get_buckets(workspace: str) -> tuple[int, int]:
    """Return the bucket of a workspace in each of the two hashes."""
    digest = xxhash.xxh64_intdigest(workspace.encode())
    return digest % BUCKETS, digest // BUCKETS % BUCKETS


def get_group(waiting_class: int) -> tuple[int, bool, bool]:
    """Return the rank of a waiting class, whether it is late, and whether it is over its share."""
    is_over_share, place = divmod(waiting_class, RANKS * (AGE_CLASSES + 1))
    is_late = place >= RANKS * AGE_CLASSES
    rank = place - RANKS * AGE_CLASSES if is_late else place // AGE_CLASSES
    return rank, is_late, bool(is_over_share)
