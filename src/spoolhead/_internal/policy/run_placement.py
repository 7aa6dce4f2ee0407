"""Cost of placing a generation at an engine whose pace is known. Performs no I/O.

A decoding step produces one token for each run; while the engine also reads a prompt, each step
takes longer by one chunk of it, and both take the longer the slower the engine is at that moment.
A prompt therefore delays the events of all runs beside it, and a run is at risk where an event
beside a prompt in a slow moment takes longer than its route's pause bound.

The unit of all costs is one spoilt answer: one whose first token is late or that has a long pause.
A full memory costs as much, since a generation that finds no room there is late.
"""

from collections.abc import Sequence

from spoolhead._internal.models import route_table
from spoolhead._internal.policy import pace_estimate, upstream_registry

STEP_MS = 7.0
"""Time of a decoding step at the usual pace."""
STEP_MS_PER_RUN = 0.12
"""Time that each run adds to a decoding step."""
CHUNK_MS = 8.0
"""Time that a chunk of a prompt adds to a step."""
CHUNK_TOKENS = 112
"""Tokens of a prompt in one chunk."""
SAFE_FRACTION = 0.85
"""Share of the pause bound up to which an event is at no risk, despite errors of the pace."""
MIN_EVENTS_AT_RISK = 10
"""Events from which an answer is long enough to be still running when the next prompts are read."""
RISK_COST = 1.5
"""Cost of a long answer where it is at risk and no other long answer runs: above 1, since it also
keeps prompts away from the engine."""
SHELTER_FACTOR = 0.5
"""Reduction of that cost by each answer at risk there, since these keep prompts away."""
MAX_SHELTERING = 4
"""Answers at risk from which it is not reduced further."""
TOKENS_PER_ANSWER_AT_RISK = 700
"""Expected tokens of the answers at an engine that count as one answer at risk."""
SLOW_PROBABILITY = 0.25
"""Probability that an engine is slow for a whole event at some moment of a prompt."""
SLOW_NOW_PROBABILITY = 0.5
"""The same for an engine that is slow now: the period may end within an event."""


class Generation:
    """Properties of a generation that matter for its placement.

    :ivar prompt_tokens: tokens of its prompt that are to be processed; 0 for a migrated run.
    :ivar answer_tokens: tokens that it is expected to generate.
    :ivar objective_ms: time within which its first token is expected.
    :ivar pause_ms: longest acceptable pause between two of its events; 0 if not stated.
    """

    __slots__ = ("answer_tokens", "objective_ms", "pause_ms", "prompt_tokens")

    def __init__(
        self, *, prompt_tokens: int, answer_tokens: int, objective_ms: int, pause_ms: int
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.answer_tokens = answer_tokens
        self.objective_ms = objective_ms
        self.pause_ms = pause_ms


class Pace:
    """Pace of an engine at the time of a choice.

    :ivar current: factor expected for work that begins now.
    :ivar typical: factor outside of slow periods.
    :ivar slow: factor in slow periods.
    """

    __slots__ = ("current", "slow", "typical")

    def __init__(self, current: float, typical: float, slow: float) -> None:
        self.current = current
        self.typical = typical
        self.slow = slow

    @property
    def slow_probability(self) -> float:
        """Probability that the engine is slow at some moment of a prompt that is read next."""
        if self.slow <= self.typical:
            return SLOW_PROBABILITY
        slowness = (self.current - self.typical) / (self.slow - self.typical)
        slowness = min(1.0, max(0.0, slowness))
        return SLOW_PROBABILITY + (SLOW_NOW_PROBABILITY - SLOW_PROBABILITY) * slowness


class Placement:
    """Cost of a generation at one engine, with its parts.

    :ivar pace: pace of the engine.
    :ivar first_ms: expected time to the first token.
    :ivar fill_cost: cost of the memory in use.
    :ivar first_cost: cost of the time to the first token.
    :ivar risk_cost: cost of the risk that the answer itself has a long pause.
    :ivar harm_cost: cost of its prompt for the answers at risk there.
    """

    __slots__ = ("fill_cost", "first_cost", "first_ms", "harm_cost", "pace", "risk_cost")

    def __init__(
        self,
        pace: Pace,
        *,
        first_ms: float,
        fill_cost: float,
        first_cost: float,
        risk_cost: float,
        harm_cost: float,
    ) -> None:
        self.pace = pace
        self.first_ms = first_ms
        self.fill_cost = fill_cost
        self.first_cost = first_cost
        self.risk_cost = risk_cost
        self.harm_cost = harm_cost

    @property
    def cost(self) -> float:
        """The whole cost."""
        return self.fill_cost + self.first_cost + self.risk_cost + self.harm_cost

    def get_log_fields(self) -> dict[str, float]:
        """Return the pace and the parts of the cost for the log."""
        return {
            "pace": round(self.pace.current, 2),
            "typical_pace": round(self.pace.typical, 2),
            "slow_pace": round(self.pace.slow, 2),
            "first_ms": round(self.first_ms),
            "fill_cost": round(self.fill_cost, 2),
            "first_cost": round(self.first_cost, 2),
            "risk_cost": round(self.risk_cost, 2),
            "harm_cost": round(self.harm_cost, 2),
        }


class Paces:
    """Paces of the engines of one choice.

    An engine whose pace is unknown is expected to be like the mean of the others.

    :ivar is_known: whether the pace of at least one of them is known.
    """

    __slots__ = ("_default", "_now_s", "is_known")

    def __init__(self, upstreams: Sequence[upstream_registry.Upstream], now_s: float) -> None:
        known = [upstream.pace for upstream in upstreams if upstream.pace.is_known]
        self._now_s = now_s
        self.is_known = bool(known)
        usual = pace_estimate.USUAL_FACTOR
        typical = sum(pace.typical_factor for pace in known) / len(known) if known else usual
        slow = sum(pace.slow_factor for pace in known) / len(known) if known else usual
        self._default = Pace(typical, typical, slow)

    def get(self, upstream: upstream_registry.Upstream) -> Pace:
        """Return the pace of an engine."""
        estimate = upstream.pace
        if not estimate.is_known:
            return self._default
        current = estimate.get_current_factor(self._now_s)
        return Pace(current, estimate.typical_factor, estimate.slow_factor)


def compute_placement(
    engine: route_table.Engine,
    upstream: upstream_registry.Upstream,
    generation: Generation,
    pace: Pace,
) -> Placement:
    """Compute the cost of a generation at an engine."""
    risk = _get_risk(engine, upstream, generation, pace)
    first_ms = compute_first_ms(upstream, generation, pace)
    need_tokens = generation.prompt_tokens + generation.answer_tokens
    return Placement(
        pace,
        first_ms=first_ms,
        fill_cost=(upstream.tokens + need_tokens) / engine.memory_tokens,
        first_cost=first_ms / max(1, generation.objective_ms),
        risk_cost=get_risk_cost(engine, upstream, generation, pace),
        harm_cost=_compute_harm(upstream, generation, pace, risk),
    )


def compute_first_ms(
    upstream: upstream_registry.Upstream, generation: Generation, pace: Pace
) -> float:
    """Return the expected time to the first token of a generation.

    Its pace is the typical one: a slow period is about as short as the time that prompts take.
    """
    tokens = upstream.prefill_tokens + generation.prompt_tokens
    return tokens / CHUNK_TOKENS * (CHUNK_MS + STEP_MS) * pace.typical


def is_long_answer(engine: route_table.Engine, generation: Generation) -> bool:
    """Return whether an answer is long enough to be at risk of a long pause."""
    return generation.answer_tokens > MIN_EVENTS_AT_RISK * engine.tokens_per_event


def get_risk_cost(
    engine: route_table.Engine,
    upstream: upstream_registry.Upstream,
    generation: Generation,
    pace: Pace,
) -> float:
    """Return the cost of the risk that an answer has a long pause at an engine."""
    if not is_long_answer(engine, generation):
        return 0.0
    shelter = min(MAX_SHELTERING, _count_long_answers(upstream))
    risk = _get_risk(engine, upstream, generation, pace)
    return RISK_COST * risk / (1 + SHELTER_FACTOR * shelter)


def _get_risk(
    engine: route_table.Engine,
    upstream: upstream_registry.Upstream,
    generation: Generation,
    pace: Pace,
) -> float:
    """Return whether an event can take longer than the bound: 0 for surely not, 1 for surely."""
    if not generation.pause_ms:
        return 0.0
    step_ms = STEP_MS + STEP_MS_PER_RUN * (upstream.count + 1) + CHUNK_MS
    event_ms = engine.tokens_per_event * step_ms * pace.slow
    excess = event_ms / generation.pause_ms - SAFE_FRACTION
    return min(1.0, max(0.0, excess / (1 - SAFE_FRACTION)))


def _count_long_answers(upstream: upstream_registry.Upstream) -> float:
    return min(upstream.count, upstream.answer_tokens / TOKENS_PER_ANSWER_AT_RISK)


def _compute_harm(
    upstream: upstream_registry.Upstream,
    generation: Generation,
    pace: Pace,
    risk: float,
) -> float:
    """Return the number of other answers in which a prompt is expected to cause a long pause.

    Their routes are not known here; the bound of the generation's own route stands for theirs.
    """
    if not generation.prompt_tokens:
        return 0.0
    return _count_long_answers(upstream) * risk * pace.slow_probability
