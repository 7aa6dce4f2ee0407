"""Decides whether a waiting generation starts, by one rule at all entries.

Performs no I/O; time and random numbers are passed in.

Entries publish the memory that their waiting requests need, by class. Each entry computes for a
request of its own how much demand is ahead of it, and starts it if the engines have room for that
demand and the request. Requests of one class are ordered by random numbers.
"""

import random
from collections.abc import Iterable, Mapping, Sequence

from spoolhead._internal.models import queue_rows
from spoolhead._internal.policy import upstream_registry, workspace_shares

START_FRACTION = 0.8
"""Share of the objective within which a request has to start; prefill takes the rest."""
PROMOTE_FRACTION = 0.4
"""Share of the objective after which promoted requests count as one rank more urgent."""
PROMOTED_SHARE = 0.4
"""Share of the less urgent requests that are promoted; bounds from below how often they start."""
RESERVE_OF_USE = 0.05
"""Room kept free for more urgent requests, as a share of their memory in flight."""
MAX_RESERVE_FRACTION = 0.03
"""Maximum of that room, as a share of the memory of all engines."""
DRAW_INTERVAL_S = 0.2
"""Mean time for which a random number orders a request; several times as long as a start takes to
reach the other entries."""
START_SLACK = 0.5
"""Demand ahead of a request that may exceed the room, as a share of what it needs: a larger one
leaves less room unused, a smaller one has fewer entries start at once."""
SCARCE_FRACTION = 0.2
"""Share of all memory below which free room is scarce: requests then spread over it at random, as
entries that decide at the same time would all choose the best engine."""
RELEASE_S = 0.3
"""Time without a start after which unused room is open to all waiting requests alike."""
MAX_WAIT_FRACTION = 2.0
"""Maximum time in the queue, as a share of the objective."""
REFUSE_MARGIN_S = 0.3
"""Time before a request's deadline at which it is refused at the latest."""


class WaitingRequest:
    """A generation that waits for room.

    :ivar service: name of its service.
    :ivar rank: its rank, 0 for the most urgent.
    :ivar workspace: name of its workspace; empty without one.
    :ivar need_tokens: memory that it needs, in tokens.
    :ivar arrived_s: monotonic time of its arrival.
    :ivar draw: random number that orders it within its class.
    :ivar spread: random number that selects its engine where room is scarce.
    """

    __slots__ = (
        "_draw_until_s",
        "_is_promoted",
        "_share_draw",
        "arrived_s",
        "deadline_s",
        "draw",
        "need_tokens",
        "objective_s",
        "rank",
        "service",
        "spread",
        "workspace",
    )

    def __init__(
        self,
        *,
        service: str,
        rank: int,
        workspace: str,
        need_tokens: int,
        objective_ms: int,
        arrived_s: float,
        deadline_s: float,
        rng: random.Random,
    ) -> None:
        self.service = service
        self.rank = min(rank, queue_rows.RANKS - 1)
        self.workspace = workspace
        self.need_tokens = max(1, need_tokens)
        self.objective_s = max(1, objective_ms) / 1000
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.draw = rng.random()
        self._share_draw = rng.random()
        self.spread = rng.random()
        self._is_promoted = rng.random() < PROMOTED_SHARE
        self._draw_until_s = arrived_s + DRAW_INTERVAL_S * rng.random()

    @property
    def refuse_s(self) -> float:
        """Monotonic time at which it is refused at the latest."""
        wait_until_s = self.arrived_s + self.objective_s * MAX_WAIT_FRACTION
        return min(wait_until_s, self.deadline_s - REFUSE_MARGIN_S)

    def update_draw(self, rng: random.Random, now_s: float) -> None:
        """Draw another random number if the last one is old."""
        if now_s >= self._draw_until_s:
            self.draw = rng.random()
            self.spread = rng.random()
            self._draw_until_s = now_s + DRAW_INTERVAL_S * (0.5 + rng.random())

    def get_class(self, shares: workspace_shares.WorkspaceShares | None, now_s: float) -> int:
        """Return its waiting class."""
        age = (now_s - self.arrived_s) / self.objective_s
        is_promoted = self._is_promoted and age >= PROMOTE_FRACTION
        age_class = int(age / START_FRACTION * queue_rows.AGE_CLASSES)
        is_over = shares is not None and shares.is_over(self.workspace)
        # Of a workspace below its share, only as many requests as fit come first.
        exceeds = shares is not None and shares.is_over(self.workspace, self._share_draw)
        return queue_rows.get_class(
            max(0, self.rank - is_promoted),
            is_late=age_class >= queue_rows.AGE_CLASSES or (exceeds and not is_over),
            is_over_share=is_over,
            age_class=max(0, age_class),
        )


class EngineRoom:
    """Free memory of an engine, in multiples of what a request needs.

    :ivar upstream: the engine.
    :ivar tokens: the free memory in tokens.
    """

    __slots__ = ("tokens", "upstream")

    def __init__(
        self, upstream: upstream_registry.Upstream, memory_tokens: int, need_tokens: int
    ) -> None:
        self.upstream = upstream
        free = max(0, memory_tokens - upstream.tokens)
        # An empty engine has room for a request of any length.
        self.tokens = max(need_tokens, free // need_tokens * need_tokens)


class Demand:
    """The demand that competes with a request.

    :ivar by_class: memory needed by the waiting requests of other entries, by class.
    :ivar own: the waiting requests of this entry and their classes.
    :ivar running_by_rank: memory in flight, in tokens.
    :ivar capacity: memory of all usable engines, in tokens.
    """

    __slots__ = ("by_class", "capacity", "own", "running_by_rank")

    def __init__(
        self,
        by_class: Sequence[int],
        own: Mapping[WaitingRequest, int],
        running_by_rank: Sequence[int],
        capacity: int,
    ) -> None:
        self.by_class = by_class
        self.own = own
        self.running_by_rank = running_by_rank
        self.capacity = capacity

    def get_ahead_tokens(self, request: WaitingRequest, own_class: int) -> float:
        """Return the memory needed by the requests ahead of one, as expected."""
        ahead = sum(self.by_class[:own_class]) + request.draw * self.by_class[own_class]
        for other, other_class in self.own.items():
            if other is not request and (other_class, other.draw) < (own_class, request.draw):
                ahead += other.need_tokens
        return ahead

    def get_random_ahead_tokens(self, request: WaitingRequest) -> float:
        """Return the memory needed by the requests ahead of one if all are in random order."""
        own = sum(
            other.need_tokens
            for other in self.own
            if other is not request and other.draw < request.draw
        )
        return request.draw * sum(self.by_class) + own

    def get_reserve_tokens(self, request: WaitingRequest) -> float:
        """Return the room kept free for more urgent requests than one, in tokens."""
        running = sum(self.running_by_rank[: request.rank])
        return min(RESERVE_OF_USE * running, MAX_RESERVE_FRACTION * self.capacity)


class Decision:
    """Decision on a request.

    :ivar upstream: engine at which it starts; None if it waits.
    :ivar waiting_class: its class.
    :ivar ahead_tokens: memory needed by the requests ahead of it and kept free for others.
    :ivar room_tokens: free memory of all engines, in tokens.
    :ivar is_released: whether the room was open to all because it stayed unused.
    """

    __slots__ = ("ahead_tokens", "is_released", "room_tokens", "upstream", "waiting_class")

    def __init__(
        self,
        upstream: upstream_registry.Upstream | None,
        *,
        waiting_class: int,
        ahead_tokens: float,
        room_tokens: int,
        is_released: bool,
    ) -> None:
        self.upstream = upstream
        self.waiting_class = waiting_class
        self.ahead_tokens = int(ahead_tokens)
        self.room_tokens = room_tokens
        self.is_released = is_released


def decide(
    request: WaitingRequest,
    waiting_class: int,
    rooms: Sequence[EngineRoom],
    demand: Demand,
    *,
    is_released: bool,
) -> Decision:
    """Decide whether a request starts, and at which engine.

    :param waiting_class: its class.
    :param rooms: engines with room for it, the best first.
    :param is_released: whether room has stayed unused, so that the order is random.
    """
    ahead = demand.get_ahead_tokens(request, waiting_class)
    if is_released:
        ahead = min(ahead, demand.get_random_ahead_tokens(request))
    ahead += demand.get_reserve_tokens(request)
    room_tokens = sum(room.tokens for room in rooms)
    is_scarce = room_tokens < SCARCE_FRACTION * demand.capacity
    place = request.spread * room_tokens if is_scarce else ahead
    starts = bool(rooms) and ahead + request.need_tokens * (1 - START_SLACK) <= room_tokens
    return Decision(
        _find_engine(rooms, place) if starts else None,
        waiting_class=waiting_class,
        ahead_tokens=ahead,
        room_tokens=room_tokens,
        is_released=is_released,
    )


def _find_engine(rooms: Sequence[EngineRoom], place: float) -> upstream_registry.Upstream:
    """Return the engine that has the room at a place, counted in tokens over all engines."""
    for room in rooms:
        if place < room.tokens:
            return room.upstream
        place -= room.tokens
    return rooms[-1].upstream


class StallWatch:
    """Detects that the room of a service stays unused although requests wait."""

    __slots__ = ("_since_s", "_tokens")

    def __init__(self) -> None:
        self._tokens: dict[int, int] = {}
        self._since_s: float | None = None

    def record(
        self, upstreams: Iterable[upstream_registry.Upstream], now_s: float, *, is_unused: bool
    ) -> None:
        """Record the load of the engines.

        :param is_unused: whether a request waits although an engine has room for it.
        """
        tokens = {upstream.key: upstream.tokens for upstream in upstreams}
        has_start = any(each > self._tokens.get(key, each) for key, each in tokens.items())
        self._tokens = tokens
        if not is_unused:
            self._since_s = None
        elif has_start or self._since_s is None:
            self._since_s = now_s

    def get_unused_s(self, now_s: float) -> float:
        """Return for how long room has stayed unused without a start."""
        return now_s - self._since_s if self._since_s is not None else 0.0

    def is_released(self, now_s: float) -> bool:
        """Return whether unused room is open to all waiting requests."""
        return self.get_unused_s(now_s) > RELEASE_S
