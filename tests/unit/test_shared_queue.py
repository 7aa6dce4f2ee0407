"""Decisions of the queue that all entries share."""

import math
import random

import pytest

from lib import gateway_setting
from spoolhead._internal.models import queue_rows, shared_load
from spoolhead._internal.policy import (
    changed_rows,
    shared_queue,
    upstream_registry,
    workspace_shares,
)

MEMORY = 10_000
CLASSES = queue_rows.CLASS_COUNT


def _make_request(rank=1, *, arrived_s=0.0, workspace="", need_tokens=3_000, draw=0.5):
    request = shared_queue.WaitingRequest(
        service="s",
        rank=rank,
        workspace=workspace,
        need_tokens=need_tokens,
        objective_ms=1_000,
        arrived_s=arrived_s,
        deadline_s=arrived_s + 5.0,
        rng=random.Random(1),
    )
    request.draw = draw
    return request


def _make_rooms(*used):
    rooms = []
    for number, tokens in enumerate(used):
        upstream = upstream_registry.Upstream(gateway_setting.make_instance(f"i-{number}"))
        upstream.other_load = shared_load.InstanceLoad(tokens, 1)
        if tokens < MEMORY:
            rooms.append(shared_queue.EngineRoom(upstream, MEMORY, 3_000))
    return rooms


def _decide(request, used, ahead=0, *, same=0, is_released=False, running=(0, 0, 0)):
    waiting_class = request.get_class(None, 0.0)
    by_class = [0] * CLASSES
    by_class[0] = ahead
    by_class[waiting_class] += same
    demand = shared_queue.Demand(by_class, {}, running, MEMORY * len(used))
    rooms = _make_rooms(*used)
    return shared_queue.decide(request, waiting_class, rooms, demand, is_released=is_released)


def _get_name(decision):
    return decision.upstream.instance.instance_id if decision.upstream is not None else None


def test_a_request_starts_at_the_engine_that_the_demand_ahead_leaves():
    assert _get_name(_decide(_make_request(), [6_000, 6_000])) == "i-0"
    assert _get_name(_decide(_make_request(), [6_000, 6_000], ahead=3_000)) == "i-1"
    assert _get_name(_decide(_make_request(), [6_000, 6_000], ahead=6_000)) is None


def test_requests_spread_over_scarce_room():
    used = [10_000] * 10 + [6_000, 6_000]
    request = _make_request()
    chosen = []
    for request.spread in (0.1, 0.9):
        decision = _decide(request, used)
        chosen.append(_get_name(decision))
    assert None not in chosen
    assert len(set(chosen)) == 2


def test_random_numbers_order_a_class():
    assert _get_name(_decide(_make_request(draw=0.1), [6_000], same=9_000)) == "i-0"
    assert _get_name(_decide(_make_request(draw=0.9), [6_000], same=9_000)) is None


def test_unused_room_is_open_to_all():
    assert _get_name(_decide(_make_request(draw=0.1), [6_000], ahead=9_000)) is None
    released = _decide(_make_request(draw=0.1), [6_000], ahead=9_000, is_released=True)
    assert _get_name(released) == "i-0"


def test_the_reserve_follows_what_the_more_urgent_kind_uses():
    used = [7_000] * 20
    assert _decide(_make_request(), used).ahead_tokens == 0
    reserve = _decide(_make_request(), used, running=(10_000, 0, 0)).ahead_tokens
    assert reserve == 10_000 * shared_queue.RESERVE_OF_USE
    assert _decide(_make_request(rank=0), used, running=(10_000, 0, 0)).ahead_tokens == 0


def test_classes_order_share_then_lateness_then_rank_then_age():
    def _get(**changes):
        fields = {"is_late": False, "is_over_share": False, "age_class": 0, **changes}
        return queue_rows.get_class(fields.pop("rank", 0), **fields)

    ordered = [
        _get(age_class=queue_rows.AGE_CLASSES - 1),
        _get(),
        _get(rank=1, age_class=1),
        _get(rank=2),
        _get(is_late=True, age_class=9),
        _get(is_over_share=True, age_class=1),
        _get(rank=9, is_over_share=True),
        _get(rank=1, is_late=True, is_over_share=True),
    ]
    assert ordered == sorted(ordered)
    assert ordered[0] == 0
    assert max(ordered) < CLASSES
    assert queue_rows.get_group(ordered[6]) == (2, False, True)
    assert queue_rows.get_group(ordered[7]) == (1, True, True)


def test_a_request_ages_through_its_classes_and_is_refused_in_time():
    request = _make_request(rank=0)
    ages = [request.get_class(None, age_s) for age_s in (0.0, 0.3, 0.5, 0.7)]
    assert ages == sorted(ages, reverse=True)
    assert request.get_class(None, 0.81) > max(ages)
    assert request.refuse_s == shared_queue.MAX_WAIT_FRACTION
    request.deadline_s = 1.0
    assert request.refuse_s == 1.0 - shared_queue.REFUSE_MARGIN_S


@pytest.mark.parametrize(
    ("demands", "capacity", "level"),
    [
        ([10, 10], 30, 30),
        ([30, 30], 30, 15),
        ([5, 50, 50], 30, 12.5),
        ([], 30, 30),
        ([50], 30, math.inf),
    ],
)
def test_fair_shares_are_max_min(demands, capacity, level):
    assert workspace_shares.compute_level(demands, capacity) == level


def test_a_workspace_over_its_share_is_found_among_many():
    tables = [[shared_load.InstanceLoad() for _ in range(queue_rows.BUCKETS)] for _ in range(2)]
    usage = {"large": (60_000, 30_000)} | {f"small-{n}": (2_000, 2_000) for n in range(20)}
    for name, (tokens, waiting) in usage.items():
        for table, bucket in zip(tables, queue_rows.get_buckets(name), strict=True):
            table[bucket].add(shared_load.InstanceLoad(tokens, prefill_tokens=waiting))
    shares = workspace_shares.WorkspaceShares(tables, 100_000)
    assert shares.is_over("large")
    assert not any(shares.is_over(f"small-{n}") for n in range(20))
    assert not shares.is_over("")


def test_the_stall_watch_waits_for_time_without_a_start():
    watch = shared_queue.StallWatch()
    upstream = upstream_registry.Upstream(gateway_setting.make_instance("i-1"))
    watch.record([upstream], 0.0, is_unused=True)
    assert not watch.is_released(0.3)
    assert watch.is_released(0.31)
    upstream.other_load = shared_load.InstanceLoad(3_000, 1)
    watch.record([upstream], 0.31, is_unused=True)
    assert not watch.is_released(0.6)
    watch.record([upstream], 0.65, is_unused=False)
    assert watch.get_unused_s(0.9) == 0.0


def test_rows_of_buckets_and_of_loads_delay_each_other_in_no_batch():
    rows = changed_rows.ChangedRows()
    for number in range(500):
        rows.add(queue_rows.BUCKET_KEY_START + number, shared_load.InstanceLoad(1))
    for number in range(100):
        rows.add(number, shared_load.InstanceLoad(1))
    batch = rows.pop_batch()
    buckets = sum(key >= queue_rows.BUCKET_KEY_START for key in batch)
    assert len(batch) - buckets >= changed_rows.MAX_CHANGED_ROWS_PER_DATAGRAM
    assert buckets >= changed_rows.MAX_CHANGED_BUCKETS_PER_DATAGRAM
    assert buckets <= changed_rows.MAX_CHANGED_BUCKETS_PER_DATAGRAM + 1
