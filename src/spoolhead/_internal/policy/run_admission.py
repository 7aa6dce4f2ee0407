"""Decides whether a generation begins, waits at the entry or is refused.

Performs no I/O; the current time is passed in.

An engine that gets more than its memory holds queues the rest, and a request queued there cannot
move to another engine that has room. Requests that do not fit therefore wait at the entry, for part
of the time within which the first token is expected; a request that is unlikely to start by then is
refused early enough for its caller to retry in time.
"""

import enum

from spoolhead._internal.models import route_table
from spoolhead._internal.policy import upstream_choice, upstream_registry

MAX_FILL_FRACTION = 1.0
"""Share of an engine's memory that generations may be expected to fill at their full length."""
FILL_FRACTION_PER_RANK = 0.1
"""Share of the memory kept free for more urgent routes, for each rank below the most urgent."""
PREFILL_TOKENS_PER_MS = 7.5
"""Prompt tokens that an engine processes per millisecond while it also streams other answers: half
of its speed without them, since each chunk of 112 tokens (8 ms) alternates with a decoding step for
the others (7 ms)."""
PREFILL_FRACTION = 0.7
"""Share of the objective that prefill of all prompts ahead may take."""
OTHERS_PREFILL_FRACTION = 0.4
"""Share of the shortest objective at a service that prefill at an engine may take before a request
with a longer objective starts there: a more urgent one must still find a short backlog."""
REFUSE_AFTER_FRACTION = 0.2
"""Share of the objective for which a request waits even if it is unlikely to start. Engines start
and runs end at unexpected times: refusing at once lost 0.011 of the value served (standard error
0.005, 24 days with engines that come and go), while a wait of some hundred milliseconds leaves a
refused caller nearly all of its time for a retry."""
OFFER_AFTER_FRACTION = 0.6
"""Share of the objective after which a request is sent to the best engine even without room. The
expected memory exceeds the memory in use (three quarters of it were in use), so it often starts
there at once; prefill takes the rest of the objective (3,000 tokens: 0.4 s of 1.8 s, twice that
behind another prompt)."""
REFUSE_FILL_FRACTION = 1.4
"""Fill of the emptiest engine from which a start within the objective is unlikely: two in five of
its generations would have to end first."""
RETRY_AFTER_FRACTION = 1 / 6
"""Share of the remaining time after which a refused caller is asked to retry: late enough for
capacity to appear (a new engine takes four seconds), early enough to be served."""
MIN_RETRY_AFTER_MS = 300


class Verdict(enum.Enum):
    """Decision on a generation."""

    BEGIN = "begin"
    WAIT = "wait"
    REFUSE = "refuse"


class Request:
    """A generation that waits for admission.

    :ivar rank: its route's rank, 0 for the most urgent.
    :ivar need_tokens: memory that it needs at its full length, in tokens.
    :ivar prompt_tokens: length of its prompt.
    :ivar objective_ms: time within which its first token is expected.
    :ivar arrived_s: monotonic time of its arrival.
    :ivar max_prefill_ms: time that its prefill and that of all prompts ahead may take.
    """

    __slots__ = (
        "arrived_s",
        "max_prefill_ms",
        "need_tokens",
        "objective_ms",
        "prompt_tokens",
        "rank",
    )

    def __init__(
        self,
        *,
        rank: int,
        need_tokens: int,
        prompt_tokens: int,
        objective_ms: int,
        arrived_s: float,
        max_prefill_ms: float | None = None,
    ) -> None:
        self.rank = rank
        self.need_tokens = need_tokens
        self.prompt_tokens = prompt_tokens
        self.objective_ms = objective_ms
        self.arrived_s = arrived_s
        if max_prefill_ms is None:
            max_prefill_ms = objective_ms * PREFILL_FRACTION
        self.max_prefill_ms = max_prefill_ms

    @property
    def refuse_s(self) -> float:
        """Monotonic time from which it is refused if it is unlikely to start."""
        return self.arrived_s + self.objective_ms * REFUSE_AFTER_FRACTION / 1000

    @property
    def offer_s(self) -> float:
        """Monotonic time from which it is sent to any engine."""
        return self.arrived_s + self.objective_ms * OFFER_AFTER_FRACTION / 1000


def has_room(
    engine: route_table.Engine, upstream: upstream_registry.Upstream, request: Request
) -> bool:
    """Return whether a generation would start at an engine within its objective."""
    limit = engine.memory_tokens * (MAX_FILL_FRACTION - FILL_FRACTION_PER_RANK * request.rank)
    if upstream.count and upstream.tokens + request.need_tokens > limit:
        return False
    prefill_ms = (upstream.prefill_tokens + request.prompt_tokens) / PREFILL_TOKENS_PER_MS
    prefill_ms *= upstream.pace.typical_factor
    return not upstream.prefill_tokens or prefill_ms <= request.max_prefill_ms


def get_max_prefill_ms(objective_ms: int, tightest_objective_ms: int) -> float:
    """Return the time that prefill may take where requests with a shorter objective come, too.

    :param objective_ms: objective of the request.
    :param tightest_objective_ms: shortest objective of the requests that the engines get.
    """
    own_ms = objective_ms * PREFILL_FRACTION
    if tightest_objective_ms >= objective_ms:
        return own_ms
    return min(own_ms, tightest_objective_ms * OTHERS_PREFILL_FRACTION)


def get_min_fill(engine: route_table.Engine, choice: upstream_choice.Choice) -> float:
    """Return the fill of the emptiest engine of a choice."""
    return min(item.upstream.tokens / engine.memory_tokens for item in choice.candidates)


def decide(
    engine: route_table.Engine, choice: upstream_choice.Choice, request: Request, now_s: float
) -> Verdict:
    """Decide on a generation.

    :param choice: the engines that it may use; engines without room are left out if any has room.
    """
    if choice.upstream is not None and has_room(engine, choice.upstream, request):
        return Verdict.BEGIN
    if choice.is_cut_off:
        # A partition lasts for seconds; waiting would only delay a retry in another hall.
        return Verdict.REFUSE
    if choice.retry_after_ms is not None and choice.upstream is None:
        # All engines are blocked until a known time.
        return _wait_or_refuse(request, now_s + choice.retry_after_ms / 1000)
    if now_s < request.refuse_s:
        return Verdict.WAIT
    if choice.upstream is None or get_min_fill(engine, choice) >= REFUSE_FILL_FRACTION:
        return Verdict.REFUSE
    return Verdict.BEGIN if now_s >= request.offer_s else Verdict.WAIT


def decide_queued(
    choice: upstream_choice.Choice, request: Request, *, refuse_s: float, now_s: float
) -> Verdict:
    """Decide on a generation that gets no room in the queue shared by all entries.

    :param refuse_s: monotonic time until which it may wait.
    """
    if choice.is_cut_off:
        return Verdict.REFUSE
    if choice.upstream is None:
        refuse_s = min(refuse_s, request.refuse_s)
        open_s = now_s + (choice.retry_after_ms or 0) / 1000
        return Verdict.WAIT if open_s < refuse_s else Verdict.REFUSE
    return Verdict.WAIT if now_s < refuse_s else Verdict.REFUSE


def _wait_or_refuse(request: Request, open_s: float) -> Verdict:
    return Verdict.WAIT if open_s < request.refuse_s else Verdict.REFUSE


def compute_retry_after_ms(remaining_ms: int) -> int:
    """Return the time after which a refused caller should retry.

    :param remaining_ms: time for which the caller still waits for the answer.
    """
    return max(MIN_RETRY_AFTER_MS, int(remaining_ms * RETRY_AFTER_FRACTION))
