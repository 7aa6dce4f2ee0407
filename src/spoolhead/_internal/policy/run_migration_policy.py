"""What keeps a run alive when its instance goes: where its memory is copied; no I/O."""

from collections.abc import Collection, Sequence

from spoolhead._internal.models import route_table
from spoolhead._internal.policy import upstream_gate, upstream_registry

OTHER_HALL_COST = 0.4
"""What another hall counts against a holder, as a share of a memory: a copy between halls takes
twice as long, and an instance that leaves has time for a handful of copies only."""
GENERATED_TOKEN_VALUE = 10
"""What a token that was made is worth in tokens that were read: making one anew takes some ten
times as long, a step of 8 ms shared by some eight runs against 14 tokens read in a millisecond."""
NEARLY_DONE_TOKENS = 150
NEARLY_DONE_FRACTION = 0.3
"""A run that is expected to make fewer tokens than this, a good second's worth, is likely to
end by itself before its instance does, so copying it saves that part of its value only."""
DEFAULT_PAUSE_MS = 500
"""Longest good pause on a route that states none."""


def choose_copy_target(
    service: route_table.Service,
    upstreams: Sequence[upstream_registry.Upstream],
    *,
    running_at: upstream_registry.Upstream,
    excluded: Collection[str],
    now_s: float,
    gate: upstream_gate.Gate,
    request_priority: upstream_gate.RequestPriority,
) -> upstream_registry.Upstream | None:
    """Choose the instance that gets a copy of a run's memory.

    One that is foreseen to be full is tried too: what is foreseen is more than what is held, the
    instance itself refuses what it has no room for, and without a copy the run is lost.

    :param running_at: where the run is.
    :param excluded: runs of instances that have just refused.
    :param gate: what bounds this entry's requests to instances.
    :param request_priority: what the request may claim where not all get something.
    :returns: the instance with most room, with those of the same hall preferred, or None.
    """
    engine = service.engine
    if engine is None:
        return None
    candidates = [
        upstream
        for upstream in upstreams
        if upstream is not running_at
        and upstream.instance.incarnation_id not in excluded
        and gate.get_block_reason(service, upstream, now_s, request_priority=request_priority)
        is None
    ]

    def _get_cost(upstream: upstream_registry.Upstream) -> float:
        cost = upstream.tokens / engine.memory_tokens
        if upstream.instance.hall != running_at.instance.hall:
            cost += OTHER_HALL_COST
        return cost

    return min(candidates, key=_get_cost, default=None)


def get_rank(prompt_tokens: int, expected_tokens: int, made_tokens: int) -> float:
    """Return how much is saved by copying a run, for the time that it takes.

    A run's value grows with its whole size, in which a token that was made counts for more
    than one that was read; the time grows with what is in memory now.

    :param expected_tokens: tokens that it will make on the whole.
    :param made_tokens: tokens that it has made.
    """
    value = prompt_tokens + GENERATED_TOKEN_VALUE * max(expected_tokens, made_tokens)
    if 0 < expected_tokens - made_tokens < NEARLY_DONE_TOKENS:
        value *= NEARLY_DONE_FRACTION
    return value / max(1, prompt_tokens + made_tokens)


def get_max_pause_ms(route: route_table.Route) -> int:
    """Return the longest pause between two events that counts as good."""
    return route.pause_ms or DEFAULT_PAUSE_MS
