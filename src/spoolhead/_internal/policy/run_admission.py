"""Whether a generation begins now, waits at the entry or is refused; no I/O, time passed in.

An engine that is given more than its memory holds queues the rest, and what waits there cannot
go elsewhere when another engine gets room. So what does not fit waits at the entry, for a part
of the time within which its first token is wanted; what has little hope by then is refused
early enough for its caller to come back in time.
"""

import enum

from spoolhead._internal.models import route_table
from spoolhead._internal.policy import upstream_choice, upstream_registry

MAX_FILL_FRACTION = 1.0
"""Share of an engine's memory that generations may be foreseen to fill at their full length."""
FILL_FRACTION_PER_RANK = 0.1
"""Memory kept free for more urgent routes, as a share, for each rank below the most urgent."""
PREFILL_TOKENS_PER_MS = 7.5
"""Prompt tokens that an engine reads while others stream beside: half of its speed alone, since
each piece of 112 tokens (8 ms) alternates with a step for the others (7 ms)."""
PREFILL_FRACTION = 0.7
"""Part of the objective that the reading of all prompts before may take."""
REFUSE_AFTER_FRACTION = 0.2
"""Part of the objective for which what has little hope waits all the same. Engines come and runs
end unforeseen: refusing at once lost 0.011 of the worth served (standard error 0.005, 24 days with
engines that come and go), while a wait of some hundred milliseconds leaves a refused caller nearly
all of its time for another try."""
OFFER_AFTER_FRACTION = 0.6
"""Part of the objective after which it goes to the best engine even without room. What is foreseen
is more than what is held (three quarters of it were seen in use), so it often begins there at once;
and reading a prompt takes the rest of the objective (3,000 tokens: 0.4 s of 1.8 s, twice that
behind another)."""
REFUSE_FILL_FRACTION = 1.4
"""Fill of the emptiest engine from which a start within the objective is not to be hoped for:
two in five of its generations would have to end before."""
RETRY_AFTER_FRACTION = 1 / 6
"""Part of the time left after which a refused caller is asked to come back: late enough for room
to come (a new engine takes four seconds), early enough to be served."""
MIN_RETRY_AFTER_MS = 300


class Verdict(enum.Enum):
    """What happens to a generation."""

    BEGIN = "begin"
    WAIT = "wait"
    REFUSE = "refuse"


class Request:
    """A generation that asks for an engine.

    :ivar rank: its route's rank, 0 for the most urgent.
    :ivar need_tokens: memory that it will hold at its full length.
    :ivar prompt_tokens: its prompt.
    :ivar objective_ms: time within which its first token is wanted.
    :ivar arrived_s: monotonic time of its arrival.
    """

    __slots__ = ("arrived_s", "need_tokens", "objective_ms", "prompt_tokens", "rank")

    def __init__(
        self,
        *,
        rank: int,
        need_tokens: int,
        prompt_tokens: int,
        objective_ms: int,
        arrived_s: float,
    ) -> None:
        self.rank = rank
        self.need_tokens = need_tokens
        self.prompt_tokens = prompt_tokens
        self.objective_ms = objective_ms
        self.arrived_s = arrived_s

    @property
    def refuse_s(self) -> float:
        """Monotonic time from which it is refused if it has little hope."""
        return self.arrived_s + self.objective_ms * REFUSE_AFTER_FRACTION / 1000

    @property
    def offer_s(self) -> float:
        """Monotonic time from which it goes to any engine."""
        return self.arrived_s + self.objective_ms * OFFER_AFTER_FRACTION / 1000


def has_room(
    engine: route_table.Engine, upstream: upstream_registry.Upstream, request: Request
) -> bool:
    """Tell whether a generation would begin at an engine within its objective."""
    limit = engine.memory_tokens * (MAX_FILL_FRACTION - FILL_FRACTION_PER_RANK * request.rank)
    if upstream.count and upstream.tokens + request.need_tokens > limit:
        return False
    prefill_ms = (upstream.prefill_tokens + request.prompt_tokens) / PREFILL_TOKENS_PER_MS
    return not upstream.prefill_tokens or prefill_ms <= request.objective_ms * PREFILL_FRACTION


def get_min_fill(engine: route_table.Engine, choice: upstream_choice.Choice) -> float:
    """Return the fill of the emptiest engine of a choice."""
    return min(item.upstream.tokens / engine.memory_tokens for item in choice.candidates)


def decide(
    engine: route_table.Engine, choice: upstream_choice.Choice, request: Request, now_s: float
) -> Verdict:
    """Decide on a generation.

    :param choice: the engines that it may go to; those without room have been left out where
        any has room.
    """
    if choice.upstream is not None and has_room(engine, choice.upstream, request):
        return Verdict.BEGIN
    if choice.is_cut_off:
        # A cut lasts for seconds; waiting would only keep the caller from asking elsewhere.
        return Verdict.REFUSE
    if choice.retry_after_ms is not None and choice.upstream is None:
        # What bars all engines ends at a known time.
        return _wait_or_refuse(request, now_s + choice.retry_after_ms / 1000)
    if now_s < request.refuse_s:
        return Verdict.WAIT
    if choice.upstream is None or get_min_fill(engine, choice) >= REFUSE_FILL_FRACTION:
        return Verdict.REFUSE
    return Verdict.BEGIN if now_s >= request.offer_s else Verdict.WAIT


def _wait_or_refuse(request: Request, open_s: float) -> Verdict:
    return Verdict.WAIT if open_s < request.refuse_s else Verdict.REFUSE


def compute_retry_after_ms(remaining_ms: int) -> int:
    """Return when a refused caller should come back.

    :param remaining_ms: time that its caller will still wait for the answer.
    """
    return max(MIN_RETRY_AFTER_MS, int(remaining_ms * RETRY_AFTER_FRACTION))
