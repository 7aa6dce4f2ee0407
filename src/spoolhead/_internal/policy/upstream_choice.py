"""Chooses the instance that a request is sent to.

Performs no I/O; the current time is passed in.
"""

import collections
import random
from collections.abc import Callable, Collection, Mapping, Sequence

from spoolhead._internal.models import route_table
from spoolhead._internal.policy import run_placement, upstream_gate, upstream_registry

OTHER_HALL_COST = 0.1
"""Cost of an instance in another hall, as a share of its capacity: a tenth more load costs a
request about as much as the latency and transfer between halls. It is multiplied by the number of
usable instances in the entry's hall beyond the first."""
MAX_OTHER_HALL_FACTOR = 3
"""Upper bound of that multiplier. A run in another hall is lost when either hall is cut off, and
its migration takes twice as long; in return the run gets the least filled of all instances instead
of the least filled in its own hall, and the more instances the own hall has, the closer the two
are. With six engines per hall, 4 in 100 runs are then in another hall instead of 32, with equal
time to first token (p95 411 ms in both, simulated with the load of a fleet of 32 engines); with one
or two engines per hall nothing changes."""
COLD_COST = 0.5
"""Cost of an instance that is still cold, as a share of its capacity."""
SILENT_HALL_COST = 2.0
"""Cost of an instance in a silent hall: more than any load can cost."""
PREFILL_TOKENS_PER_COST = 14_000
"""Prefill tokens that cost as much as a full memory: one second of prefill, most of the time within
which a first token is expected."""


_DEPARTED = (upstream_gate.BlockReason.LEAVING, upstream_gate.BlockReason.REPLACED)
_UNREACHABLE = (upstream_gate.BlockReason.CUT_OFF, upstream_gate.BlockReason.EVACUATED)


class Candidate:
    """An instance that can be chosen, and its cost.

    :ivar upstream: the instance.
    :ivar cost: cost of sending the request there; the instance with the lowest cost is chosen.
    :ivar placement: parts of the cost of a generation where paces are known; None otherwise.
    """

    __slots__ = ("cost", "placement", "upstream")

    def __init__(
        self,
        upstream: upstream_registry.Upstream,
        cost: float,
        placement: run_placement.Placement | None = None,
    ) -> None:
        self.upstream = upstream
        self.cost = cost
        self.placement = placement


class Choice:
    """Result of a choice.

    :ivar upstream: the chosen instance, or None.
    :ivar candidates: the instances that can be chosen, the best first.
    :ivar is_cut_off: whether the service has instances, but only in halls that are unreachable or
        evacuated.
    :ivar retry_after_ms: time after which the first blocked instance is expected to accept
        requests; None if unknown.
    :ivar blocked: number of untried instances that are blocked, by reason.
    """

    __slots__ = ("blocked", "candidates", "is_cut_off", "retry_after_ms", "upstream")

    def __init__(
        self,
        candidates: Sequence[Candidate],
        *,
        is_cut_off: bool = False,
        blocked: Mapping[upstream_gate.BlockReason, int] | None = None,
        retry_after_ms: int | None = None,
    ) -> None:
        self.candidates = candidates
        self.is_cut_off = is_cut_off
        self.blocked = blocked or {}
        self.retry_after_ms = retry_after_ms
        self.upstream = candidates[0].upstream if candidates else None

    def prefer(self, is_preferred: Callable[[upstream_registry.Upstream], bool]) -> "Choice":
        """Return the choice with the candidates that satisfy a predicate moved to the front."""
        return self._order(lambda upstream: not is_preferred(upstream))

    def prefer_least_loaded(self) -> "Choice":
        """Return the choice ordered by the number of requests in flight, fewest first."""
        return self._order(lambda upstream: upstream.count)

    def _order(self, get_rank: Callable[[upstream_registry.Upstream], int]) -> "Choice":
        ordered = sorted(self.candidates, key=lambda item: get_rank(item.upstream))
        return Choice(
            ordered,
            is_cut_off=self.is_cut_off,
            blocked=self.blocked,
            retry_after_ms=self.retry_after_ms,
        )


class ChoiceContext:
    """Input of a choice.

    :ivar hall: hall of the entry.
    :ivar silent_halls: halls whose entries are silent.
    :ivar cut_off_halls: halls that are currently unreachable.
    :ivar now_s: monotonic time in seconds.
    :ivar request_priority: rank and workspace of the request.
    :ivar permitted_id: incarnation id of the rate-limited instance for which the request has a
        permit; empty for none.
    :ivar gate: decides whether an instance is blocked for this entry.
    :ivar rng: source of random numbers.
    """

    __slots__ = (
        "rng",
        "request_priority",
        "cut_off_halls",
        "gate",
        "hall",
        "now_s",
        "permitted_id",
        "silent_halls",
    )

    def __init__(
        self,
        *,
        hall: str,
        silent_halls: Collection[str],
        cut_off_halls: Collection[str],
        now_s: float,
        gate: upstream_gate.Gate,
        request_priority: upstream_gate.RequestPriority,
        permitted_id: str = "",
        rng: random.Random,
    ) -> None:
        self.hall = hall
        self.silent_halls = silent_halls
        self.cut_off_halls = cut_off_halls
        self.now_s = now_s
        self.gate = gate
        self.request_priority = request_priority
        self.permitted_id = permitted_id
        self.rng = rng


def choose(
    service: route_table.Service,
    upstreams: Sequence[upstream_registry.Upstream],
    *,
    need_tokens: int,
    excluded: Collection[str],
    context: ChoiceContext,
    generation: run_placement.Generation | None = None,
) -> Choice:
    """Choose an instance.

    If every instance is ejected or suspected, one of them is used anyway, except in a silent hall.
    An instance in an unreachable hall is never used, since the connection attempt would only time
    out. Evacuated halls get no requests, and cold instances no more than their quota.

    :param service: the request's service.
    :param upstreams: its instances.
    :param need_tokens: memory that the request will need at a model engine, in tokens.
    :param excluded: incarnation ids of the instances that must not be used.
    :param generation: the generation that is placed; without it, or while no pace is known, engines
        are compared by their load alone.
    """
    reasons = [_get_block_reason(service, upstream, context) for upstream in upstreams]
    untried = [
        (upstream, reason)
        for upstream, reason in zip(upstreams, reasons, strict=True)
        if upstream.instance.incarnation_id not in excluded
    ]
    usable = [upstream for upstream, reason in untried if reason is None]
    if not usable:
        usable = [
            upstream
            for upstream, reason in untried
            if reason is not None
            and not reason.is_binding
            and upstream.instance.hall not in context.silent_halls
        ]
    paces = run_placement.Paces(usable, context.now_s)
    other_hall_cost = _get_other_hall_cost(usable, context.hall)
    candidates = [
        _make_candidate(service, upstream, need_tokens, context, paces, generation)
        for upstream in usable
    ]
    for candidate in candidates:
        _add_place_cost(candidate, context, other_hall_cost)
    context.rng.shuffle(candidates)
    candidates.sort(key=lambda candidate: candidate.cost)
    return Choice(
        candidates,
        is_cut_off=_is_cut_off(reasons),
        blocked=collections.Counter(reason for _, reason in untried if reason is not None),
        retry_after_ms=_get_retry_after_ms(untried, context),
    )


def _get_block_reason(
    service: route_table.Service, upstream: upstream_registry.Upstream, context: ChoiceContext
) -> upstream_gate.BlockReason | None:
    return context.gate.get_block_reason(
        service,
        upstream,
        context.now_s,
        request_priority=context.request_priority,
        has_permit=upstream.instance.incarnation_id == context.permitted_id,
        cut_off_halls=context.cut_off_halls,
    )


def _get_retry_after_ms(
    untried: Sequence[tuple[upstream_registry.Upstream, upstream_gate.BlockReason | None]],
    context: ChoiceContext,
) -> int | None:
    waits_ms = [
        context.gate.get_retry_after_ms(upstream, reason, context.now_s)
        for upstream, reason in untried
    ]
    return min((wait_ms for wait_ms in waits_ms if wait_ms is not None), default=None)


def _is_cut_off(reasons: Collection[upstream_gate.BlockReason | None]) -> bool:
    """Return whether there are instances, all of them in unreachable or evacuated halls."""
    remaining = [reason for reason in reasons if reason not in _DEPARTED]
    return bool(remaining) and all(reason in _UNREACHABLE for reason in remaining)


def _get_other_hall_cost(usable: Sequence[upstream_registry.Upstream], hall: str) -> float:
    own_hall_count = sum(upstream.instance.hall == hall for upstream in usable)
    return OTHER_HALL_COST * min(max(1, own_hall_count - 1), MAX_OTHER_HALL_FACTOR)


def _make_candidate(
    service: route_table.Service,
    upstream: upstream_registry.Upstream,
    need_tokens: int,
    context: ChoiceContext,
    paces: run_placement.Paces,
    generation: run_placement.Generation | None,
) -> Candidate:
    """Return a candidate with the cost of its load and pace."""
    engine = service.engine
    if engine is None:
        return Candidate(upstream, _get_plain_cost(upstream, context, paces))
    if generation is not None and paces.is_known:
        pace = paces.get(upstream)
        placement = run_placement.compute_placement(engine, upstream, generation, pace)
        return Candidate(upstream, placement.cost, placement)
    cost = (upstream.tokens + need_tokens) / engine.memory_tokens
    return Candidate(upstream, cost + upstream.prefill_tokens / PREFILL_TOKENS_PER_COST)


def _get_plain_cost(
    upstream: upstream_registry.Upstream, context: ChoiceContext, paces: run_placement.Paces
) -> float:
    known = max(upstream.count, upstream.get_reported_count(context.now_s))
    slots = max(1, upstream.instance.slots)
    if not paces.is_known:
        return known / slots
    # The request itself counts too: it takes longer at a slow instance even if that is idle.
    return (known + 1) / slots * paces.get(upstream).current


def _add_place_cost(candidate: Candidate, context: ChoiceContext, other_hall_cost: float) -> None:
    """Add the cost of the instance's hall and of its start, whatever its load."""
    upstream = candidate.upstream
    if upstream.instance.hall != context.hall:
        candidate.cost += other_hall_cost
    if upstream.instance.hall in context.silent_halls:
        candidate.cost += SILENT_HALL_COST
    if upstream.is_cold(context.now_s):
        candidate.cost += COLD_COST
