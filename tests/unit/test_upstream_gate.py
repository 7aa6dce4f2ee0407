"""Reasons that block an instance: the strictest one applies, even to a request with a permit."""

import random

import pytest

from lib import gateway_setting
from spoolhead._internal.models import route_table
from spoolhead._internal.policy import (
    cold_start,
    limit_registry,
    permit_backoff,
    upstream_choice,
    upstream_gate,
    upstream_registry,
)

NOW_S = 100.0
SERVICE = route_table.Service(
    name="s", health_path="/h", max_connections=9, engine=None, cold_per_s=1.0
)
BlockReason = upstream_gate.BlockReason


def _leave(upstream):
    upstream.record_announced_leaving()


def _replace(upstream):
    upstream.record_replaced(NOW_S)


def _evacuate(upstream):
    upstream.is_evacuated = True


def _rest(upstream):
    upstream.rest.record(2_000, NOW_S)


def _make_cold(upstream):
    upstream.record_cold(5_000, NOW_S)
    upstream.record_sent(NOW_S)


def _eject(upstream):
    upstream.record_failure(NOW_S, is_unreachable=True)


BLOCKERS = {
    BlockReason.LEAVING: _leave,
    BlockReason.REPLACED: _replace,
    BlockReason.EVACUATED: _evacuate,
    BlockReason.RESTING: _rest,
    BlockReason.COLD: _make_cold,
    BlockReason.SUSPECTED: _eject,
}


def _make(limit_per_s=2.0):
    registry = upstream_registry.UpstreamRegistry()
    registry.update_instances([gateway_setting.make_instance("i-1")], 0.0)
    (upstream,) = registry.get_all()
    limits = limit_registry.LimitRegistry()
    limits.record(upstream.key, limit_per_s, NOW_S)
    quotas = cold_start.ColdStarts("entry-1", "hall-a")
    return upstream, upstream_gate.Gate(quotas, limits, permit_backoff.PermitBackoff())


def _get_block_reason(gate, upstream, **options):
    request_priority = gateway_setting.REQUEST_PRIORITY
    return gate.get_block_reason(
        SERVICE, upstream, NOW_S, request_priority=request_priority, **options
    )


@pytest.mark.parametrize("reason", list(BLOCKERS))
def test_a_permit_brings_no_request_past_any_other_bar(reason):
    """Guards against a permit that overrides an instance's rest, cold start or leaving."""
    upstream, gate = _make()
    assert _get_block_reason(gate, upstream, has_permit=True) is None
    BLOCKERS[reason](upstream)
    assert _get_block_reason(gate, upstream, has_permit=True) is reason


@pytest.mark.parametrize(
    "reason", [reason for reason in BLOCKERS if reason is not BlockReason.SUSPECTED]
)
def test_no_last_resort_overrides_what_binds(reason):
    upstream, gate = _make(limit_per_s=None)
    BLOCKERS[reason](upstream)
    context = upstream_choice.ChoiceContext(
        hall="hall-a",
        silent_halls=(),
        cut_off_halls=(),
        now_s=NOW_S,
        gate=gate,
        request_priority=gateway_setting.REQUEST_PRIORITY,
        rng=random.Random(1),
    )
    choice = upstream_choice.choose(
        SERVICE, [upstream], need_tokens=0, excluded=(), context=context
    )
    assert choice.upstream is None
    assert choice.blocked == {reason: 1}


def test_an_ejected_instance_is_the_last_resort():
    upstream, gate = _make(limit_per_s=None)
    _eject(upstream)
    assert _get_block_reason(gate, upstream) is BlockReason.SUSPECTED
    assert not BlockReason.SUSPECTED.is_binding


def test_a_limited_instance_bars_whom_it_just_rejected_and_none_more_urgent():
    upstream, gate = _make()
    request_priority = gateway_setting.REQUEST_PRIORITY
    gate.backoff.record(
        upstream.key,
        request_priority.rank,
        request_priority.workspace,
        retry_after_ms=9,
        backoff_ms=900,
        now_s=NOW_S,
    )
    assert _get_block_reason(gate, upstream) is BlockReason.LIMITED
    assert _get_block_reason(gate, upstream, has_permit=True) is None
    urgent = upstream_gate.RequestPriority(request_priority.rank - 1, request_priority.workspace)
    assert gate.get_block_reason(SERVICE, upstream, NOW_S, request_priority=urgent) is None


def test_a_cut_hall_bars_its_instances():
    upstream, gate = _make()
    assert _get_block_reason(gate, upstream, cut_off_halls={"hall-a"}) is BlockReason.CUT_OFF
