"""Chooses where and in which order runs are copied when their instance leaves. Performs no I/O."""

from collections.abc import Collection, Sequence

from spoolhead._internal.models import route_table
from spoolhead._internal.policy import run_placement, upstream_gate, upstream_registry

OTHER_HALL_COST = 0.4
"""Cost of a copy target in another hall, as a share of its memory: a copy between halls takes twice
as long, and a leaving instance has time for a handful of copies only."""
RISK_FRACTION = 0.6
"""Share of the cost of a long pause that counts for a copy target: less than a full memory, since a
full instance refuses the copy and the run may be lost."""
GENERATED_TOKEN_VALUE = 10
"""Value of a generated token relative to a prompt token: generating one takes some ten times as
long, a step of 8 ms shared by some eight runs against 14 prompt tokens processed in a
millisecond."""
NEARLY_DONE_TOKENS = 150
NEARLY_DONE_FRACTION = 0.3
"""A run that is expected to generate fewer further tokens than this, a good second's worth, is
likely to end before its instance does, so copying it saves only this fraction of its value."""
DEFAULT_PAUSE_MS = 500
"""Maximum acceptable pause on a route that states none."""


def choose_copy_target(
    service: route_table.Service,
    upstreams: Sequence[upstream_registry.Upstream],
    *,
    source: upstream_registry.Upstream,
    excluded: Collection[str],
    now_s: float,
    gate: upstream_gate.Gate,
    request_priority: upstream_gate.RequestPriority,
    generation: run_placement.Generation | None = None,
) -> upstream_registry.Upstream | None:
    """Choose the instance that gets a copy of a run's memory.

    An instance that is expected to be full may be chosen too: the expected memory exceeds the
    memory in use, the instance itself refuses a copy for which it has no room, and without a copy
    the run is lost.

    :param source: instance of the run.
    :param excluded: incarnation ids of instances that have just refused.
    :param gate: decides whether an instance is blocked for this entry.
    :param request_priority: rank and workspace of the request.
    :param generation: the rest of the run; without it, or while no pace is known, instances are
        compared by their fill alone.
    :returns: the least filled instance, with those of the same hall and those where the run is at
        no risk of a long pause preferred, or None.
    """
    engine = service.engine
    if engine is None:
        return None
    candidates = [
        upstream
        for upstream in upstreams
        if upstream is not source
        and upstream.instance.incarnation_id not in excluded
        and gate.get_block_reason(service, upstream, now_s, request_priority=request_priority)
        is None
    ]

    paces = run_placement.Paces(candidates, now_s)

    def _get_cost(upstream: upstream_registry.Upstream) -> float:
        cost = upstream.tokens / engine.memory_tokens
        if generation is not None and paces.is_known:
            pace = paces.get(upstream)
            risk_cost = run_placement.get_risk_cost(engine, upstream, generation, pace)
            cost += RISK_FRACTION * risk_cost
        if upstream.instance.hall != source.instance.hall:
            cost += OTHER_HALL_COST
        return cost

    return min(candidates, key=_get_cost, default=None)


def get_migration_priority(
    prompt_tokens: int, expected_tokens: int, generated_tokens: int
) -> float:
    """Return the value saved by copying a run, relative to the duration of the copy.

    The value grows with the run's full size, in which a generated token counts more than a prompt
    token; the duration grows with the tokens in memory now.

    :param expected_tokens: total number of tokens that it is expected to generate.
    :param generated_tokens: tokens that it has generated.
    """
    value = prompt_tokens + GENERATED_TOKEN_VALUE * max(expected_tokens, generated_tokens)
    if 0 < expected_tokens - generated_tokens < NEARLY_DONE_TOKENS:
        value *= NEARLY_DONE_FRACTION
    return value / max(1, prompt_tokens + generated_tokens)


def get_max_pause_ms(route: route_table.Route) -> int:
    """Return the maximum acceptable pause between two events."""
    return route.pause_ms or DEFAULT_PAUSE_MS
