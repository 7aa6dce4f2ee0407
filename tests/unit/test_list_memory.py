"""Memory of the instance lists at an entry, which must not grow with keepers times instances."""

import tracemalloc

from spoolhead._internal.gateway import followed_keeper
from spoolhead._internal.models import instances
from spoolhead._internal.network import route_messages
from spoolhead._internal.policy import upstream_registry

INSTANCES = 1_600
KEEPERS = 7
MAX_BYTES = 4_000_000
"""Out of the 26 MB that remain of an entry's 128 MB at the target fleet size."""


class Follower:
    def make_client(self, address, keeper):
        return None


def _make(number, **changes):
    fields = {
        "instance_id": f"i-{number:010x}",
        "service": "a-service-of-some-name",
        "address": f"10.{number % 200}.{number // 200}.7:8742",
        "hall": f"hall-{number % 15}",
        "slots": 9,
        "is_leaving": False,
        "started_ms": 1_700_000_000_000 + number,
    }
    return instances.Instance(**{**fields, **changes})


def _send_list(keeper, listed, known=()):
    packed = instances.pack(listed)
    # Decoded messages do not share string objects.
    copied = [["".join(list(v)) if isinstance(v, str) else v for v in row] for row in packed]
    message = route_messages.InstanceList(
        reader_term=1, sequence=1, is_whole=True, changed=copied, gone=[]
    )
    keeper.apply_list(message, known)
    return keeper.listed


def _make_keepers(count):
    return [followed_keeper.FollowedKeeper(Follower(), f"10.0.0.{n}:7") for n in range(count)]


def test_the_lists_of_all_keepers_and_the_book_fit_the_target():
    listed = [_make(number) for number in range(INSTANCES)]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    keepers = _make_keepers(KEEPERS)
    for keeper in keepers:
        _send_list(keeper, listed, [other.listed for other in keepers if other.listed])
    registry = upstream_registry.UpstreamRegistry()
    registry.update_instances(keepers[0].listed.values(), 1.0)
    used_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(registry.get_all()) == INSTANCES
    assert used_bytes < MAX_BYTES


def test_what_keepers_tell_alike_is_kept_once_and_what_differs_is_not():
    one, other = _make_keepers(2)
    same, changed, cold = _make(1), _make(2), _make(3, cold_ms=500)
    first = _send_list(one, [same, changed, cold])
    second = _send_list(other, [same, _make(2, is_leaving=True), cold], [first])
    assert second[same.instance_id] is first[same.instance_id]
    assert second[changed.instance_id].is_leaving
    assert not first[changed.instance_id].is_leaving
    # Each reading of a cold instance is a separate object.
    assert second[cold.instance_id] is not first[cold.instance_id]
