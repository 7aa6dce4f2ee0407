"""Shares the order of waiting generations with the other entries.

Publishes what waits at this entry and what runs, in the reports of the load, and decides by
:mod:`spoolhead._internal.policy.shared_queue`.
"""

import random
from collections.abc import Callable, Sequence

from spoolhead._internal.gateway import (
    answer_lengths,
    entry_metrics,
    load_sharing,
    room_forecast,
    routed_job,
)
from spoolhead._internal.models import queue_rows, route_table, settings, shared_load
from spoolhead._internal.policy import shared_queue, upstream_registry, workspace_shares
from spoolhead._internal.utils import clocks

MAX_WORKSPACES_PER_REPORT = 6
"""Maximum number of workspaces whose usage is reported, the largest first: 200 bytes. The usage of
the others is reported as one sum."""
STALE_S = 0.6
"""Age of the other entries' load above which no request starts until an update arrives, as after a
time in which this process did not run."""
STALE_WAIT_S = 0.3
"""Maximum time for which requests wait for that update; about the time to find another hub."""
SHARES_TTL_S = 0.05
"""Time for which computed shares are used; about the interval between updates."""
DEMAND_TTL_S = 0.01
"""Time for which the computed classes and demand are used, so that one check computes them once."""

REJOIN_S = 1.0
"""Time after a hall is heard again for which its engines get no queued requests: until the rows of
its loads have been sent in rotation, they look empty."""

Place = tuple[int, float]
"""Waiting class and random number of a request, which order it."""


class _ServiceQueue:
    """Requests of one service that wait at this entry, and what is known of the others.

    :ivar waiting: the class of each request.
    :ivar capacity: memory of the usable engines, in tokens.
    :ivar demand: the demand at all entries.
    :ivar stalls: detects unused room, by rank of the request that could use it.
    """

    __slots__ = (
        "capacity",
        "demand",
        "demand_due_s",
        "shares",
        "shares_due_s",
        "stalls",
        "waiting",
    )

    def __init__(self) -> None:
        self.waiting: dict[shared_queue.WaitingRequest, int] = {}
        self.capacity = 0
        self.demand = shared_queue.Demand((), self.waiting, (), 0)
        self.demand_due_s = 0.0
        self.shares: workspace_shares.WorkspaceShares | None = None
        self.shares_due_s = 0.0
        self.stalls = [shared_queue.StallWatch() for _ in range(queue_rows.RANKS)]


class RoomSharing:
    """The part of one entry in the queue that all entries share.

    :param registry: the known instances.
    :param get_other_load: returns the load of the other entries under a key.
    :param get_load_age_ms: returns the age of that load.
    :param has_snapshot: returns whether that load is complete.
    :param get_silent_halls: returns the halls that are silent.
    :param request_report: called when a request begins or ends to wait; changes of class follow
        with the repeated reports.
    :param metrics: counters and histograms.
    :param rng: random number generator.
    :param clock: monotonic time in seconds.
    :ivar forecast: forecasts when waiting requests start.
    :ivar lengths: lengths of the answers of each route.
    """

    def __init__(
        self,
        registry: upstream_registry.UpstreamRegistry,
        *,
        get_other_load: Callable[[int], shared_load.InstanceLoad | None],
        get_load_age_ms: Callable[[], int],
        has_snapshot: Callable[[], bool],
        get_silent_halls: Callable[[], frozenset[str]],
        request_report: Callable[[], None],
        metrics: entry_metrics.EntryMetrics,
        rng: random.Random,
        clock: clocks.Clock = clocks.get_s,
    ) -> None:
        self._registry = registry
        self._get_other_load = get_other_load
        self._get_load_age_ms = get_load_age_ms
        self._has_snapshot = has_snapshot
        self._get_silent_halls = get_silent_halls
        self._silent_at_s: dict[str, float] = {}
        self._request_report = request_report
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._queues: dict[str, _ServiceQueue] = {}
        self.forecast = room_forecast.RoomForecast(get_other_load, clock=clock)
        self.lengths = answer_lengths.AnswerLengths(get_other_load)
        self._stale_since_s: float | None = None

    def make_request(
        self, job: routed_job.Job, *, need_tokens: int, arrived_s: float, deadline_s: float
    ) -> shared_queue.WaitingRequest:
        """Return the request of a job for the shared queue."""
        return shared_queue.WaitingRequest(
            service=job.service.name,
            rank=job.route.priority,
            workspace=job.workspace_name,
            need_tokens=need_tokens,
            objective_ms=job.route.objective_ms,
            arrived_s=arrived_s,
            deadline_s=deadline_s,
            rng=self._rng,
        )

    def add(self, request: shared_queue.WaitingRequest) -> None:
        """Add a request that waits at this entry."""
        queue = self._get_queue(request.service)
        queue.waiting[request] = request.get_class(queue.shares, self._clock())
        self._request_report()

    def remove(self, request: shared_queue.WaitingRequest) -> None:
        """Remove a request that no longer waits."""
        self._get_queue(request.service).waiting.pop(request, None)
        self._request_report()

    def get_places(self) -> dict[shared_queue.WaitingRequest | None, Place]:
        """Return the place of each request that waits at this entry."""
        now_s = self._clock()
        places: dict[shared_queue.WaitingRequest | None, Place] = {}
        for service, queue in self._queues.items():
            self._update_demand(service, queue, now_s)
            for request, waiting_class in queue.waiting.items():
                places[request] = (waiting_class, request.draw)
        return places

    def decide(
        self,
        request: shared_queue.WaitingRequest,
        engine: route_table.Engine,
        upstreams: Sequence[upstream_registry.Upstream],
        *,
        has_room: Callable[[upstream_registry.Upstream], bool],
    ) -> shared_queue.Decision:
        """Decide on a request.

        :param upstreams: the engines that it may use, the best first.
        :param has_room: returns whether it would start at an engine at once.
        """
        now_s = self._clock()
        queue = self._get_queue(request.service)
        queue.capacity = engine.memory_tokens * len(upstreams)
        self._update_demand(request.service, queue, now_s)
        rooms = [
            shared_queue.EngineRoom(upstream, engine.memory_tokens, request.need_tokens)
            for upstream in self._get_known(upstreams, now_s)
            if has_room(upstream)
        ]
        stall = queue.stalls[request.rank]
        stall.record(upstreams, now_s, is_unused=bool(rooms))
        decision = shared_queue.decide(
            request,
            request.get_class(queue.shares, now_s),
            rooms,
            queue.demand,
            is_released=stall.is_released(now_s),
        )
        self._metrics.waiting_ahead_tokens.set(decision.ahead_tokens)
        return decision

    def record_start(
        self, request: shared_queue.WaitingRequest, decision: shared_queue.Decision
    ) -> bool:
        """Count a start.

        :returns: whether any other request waited anywhere.
        """
        queue = self._get_queue(request.service)
        if not self._has_waiting(request.service, queue):
            return False
        group = queue_rows.get_group(decision.waiting_class)
        self._metrics.room_starts.labels(*(str(int(each)) for each in group)).inc()
        unused_s = queue.stalls[request.rank].get_unused_s(self._clock())
        self._metrics.room_unused_ms.observe(unused_s * 1000)
        return True

    def record_refused(self, *, is_return: bool) -> None:
        """Count a refusal.

        :param is_return: whether the caller was refused before and returned when asked.
        """
        self._metrics.room_refusals.labels(str(int(is_return))).inc()

    def get_log_fields(self, decision: shared_queue.Decision) -> dict[str, object]:
        """Return the log fields of a decision."""
        rank, is_late, is_over_share = queue_rows.get_group(decision.waiting_class)
        upstream = decision.upstream
        return {
            "room_at": upstream.instance.incarnation_id if upstream is not None else "",
            "room_tokens": decision.room_tokens,
            "ahead_tokens": decision.ahead_tokens,
            "waiting_class": decision.waiting_class,
            "rank": rank,
            "is_past_start": is_late,
            "is_over_share": is_over_share,
            "is_released": decision.is_released,
            "news_age_ms": self._get_load_age_ms(),
        }

    def get_rows(self) -> shared_load.LoadByInstance:
        """Return the rows of this entry for a report."""
        self._record_silent_halls(self._clock())
        rows = self._get_waiting_rows()
        rows.update(self.forecast.get_rows())
        rows.update(self.lengths.get_rows())
        for service, queue in self._queues.items():
            self._add_running_rows(rows, service)
            if self._has_waiting(service, queue):
                self._add_bucket_rows(rows, service, queue)
        return rows

    def _get_queue(self, service: str) -> _ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = _ServiceQueue()
        return queue

    def _get_waiting_rows(self) -> shared_load.LoadByInstance:
        rows: shared_load.LoadByInstance = {}
        for service, queue in self._queues.items():
            keys = queue_rows.get_waiting_keys(service)
            for request, waiting_class in queue.waiting.items():
                _add(rows, keys[waiting_class], shared_load.InstanceLoad(request.need_tokens, 1))
        return rows

    def _add_running_rows(self, rows: shared_load.LoadByInstance, service: str) -> None:
        keys = queue_rows.get_running_keys(service)
        for run in self._get_runs(service):
            rank = min(run.rank, queue_rows.RANKS - 1)
            _add(rows, keys[rank], shared_load.InstanceLoad(run.tokens, 1))

    def _add_bucket_rows(
        self, rows: shared_load.LoadByInstance, service: str, queue: _ServiceQueue
    ) -> None:
        usage = self._get_own_usage(service, queue)
        largest = sorted(usage.items(), key=lambda item: -_get_demand(item[1]))
        for _, load in largest[MAX_WORKSPACES_PER_REPORT:]:
            _add(rows, queue_rows.get_rest_key(service), load)
        for workspace, load in largest[:MAX_WORKSPACES_PER_REPORT]:
            places = zip(
                queue_rows.get_bucket_keys(service), queue_rows.get_buckets(workspace), strict=True
            )
            for keys, bucket in places:
                _add(rows, keys[bucket], load)

    def _get_own_usage(
        self, service: str, queue: _ServiceQueue
    ) -> dict[str, shared_load.InstanceLoad]:
        """Return the memory in flight and waiting here of each workspace with a name."""
        usage: dict[str, shared_load.InstanceLoad] = {}
        for run in self._get_runs(service):
            _add(usage, run.workspace, shared_load.InstanceLoad(run.tokens))
        for request in queue.waiting:
            load = shared_load.InstanceLoad(prefill_tokens=request.need_tokens)
            _add(usage, request.workspace, load)
        usage.pop("", None)
        return usage

    def _get_runs(self, service: str) -> list[upstream_registry.InFlightRequest]:
        return [
            run
            for upstream in self._registry.get_service(service)
            for run in upstream.in_flight.values()
            if not run.is_copy
        ]

    def _update_shares(self, service: str, queue: _ServiceQueue, now_s: float) -> None:
        if now_s < queue.shares_due_s:
            return
        queue.shares_due_s = now_s + SHARES_TTL_S
        own: shared_load.LoadByInstance = {}
        self._add_bucket_rows(own, service, queue)
        tables = [
            [self._get_total(key, own) for key in keys]
            for keys in queue_rows.get_bucket_keys(service)
        ]
        # The workspaces that are not reported by name use little, so they get all that they want.
        rest = _get_demand(self._get_total(queue_rows.get_rest_key(service), own))
        queue.shares = workspace_shares.WorkspaceShares(tables, max(0, queue.capacity - rest))

    def _get_known(
        self, upstreams: Sequence[upstream_registry.Upstream], now_s: float
    ) -> Sequence[upstream_registry.Upstream]:
        """Return the engines whose load is known, or all if their halls are all silent."""
        if self._awaits_update(now_s):
            return ()
        self._record_silent_halls(now_s)
        known = [item for item in upstreams if item.instance.hall not in self._silent_at_s]
        return known or upstreams

    def _record_silent_halls(self, now_s: float) -> None:
        for hall in self._get_silent_halls():
            self._silent_at_s[hall] = now_s
        for hall, silent_at_s in list(self._silent_at_s.items()):
            if now_s - silent_at_s > REJOIN_S:
                del self._silent_at_s[hall]

    def _awaits_update(self, now_s: float) -> bool:
        """Return whether the other entries' load is old or partial, and may be complete soon."""
        if self._get_load_age_ms() <= STALE_S * 1000 and self._has_snapshot():
            self._stale_since_s = None
            return False
        if self._stale_since_s is None:
            self._stale_since_s = now_s
        return now_s - self._stale_since_s < STALE_WAIT_S

    def _get_total(self, key: int, own: shared_load.LoadByInstance) -> shared_load.InstanceLoad:
        total = own.get(key, shared_load.InstanceLoad()).copy()
        other = self._get_other_load(key)
        if other is not None:
            total.add(other)
        return total

    def _get_other_tokens(self, keys: Sequence[int]) -> list[int]:
        loads = [self._get_other_load(key) for key in keys]
        return [max(0, load.tokens) if load is not None else 0 for load in loads]

    def _has_waiting(self, service: str, queue: _ServiceQueue) -> bool:
        """Return whether a request of a service waits at any entry."""
        keys = queue_rows.get_waiting_keys(service)
        return bool(queue.waiting) or any(self._get_other_tokens(keys))

    def _update_demand(self, service: str, queue: _ServiceQueue, now_s: float) -> None:
        """Update the classes and the demand if they are old."""
        if now_s < queue.demand_due_s:
            return
        queue.demand_due_s = now_s + DEMAND_TTL_S
        self._update_shares(service, queue, now_s)
        for request in queue.waiting:
            request.update_draw(self._rng, now_s)
            queue.waiting[request] = request.get_class(queue.shares, now_s)
        running = self._get_other_tokens(queue_rows.get_running_keys(service))
        for run in self._get_runs(service):
            running[min(run.rank, queue_rows.RANKS - 1)] += run.tokens
        queue.demand = shared_queue.Demand(
            self._get_other_tokens(queue_rows.get_waiting_keys(service)),
            queue.waiting,
            running,
            queue.capacity,
        )


def make(
    config: settings.GatewaySettings,
    registry: upstream_registry.UpstreamRegistry,
    sharing: load_sharing.LoadSharing,
    metrics: entry_metrics.EntryMetrics,
    *,
    rng: random.Random | None = None,
    clock: clocks.Clock = clocks.get_s,
) -> RoomSharing | None:
    """Return the shared queue of an entry, connected to its reports; None if it is off."""
    if not config.shares_room:
        return None
    room = RoomSharing(
        registry,
        get_other_load=sharing.get_other_load,
        get_load_age_ms=sharing.get_load_age_ms,
        has_snapshot=lambda: sharing.has_snapshot,
        get_silent_halls=sharing.get_silent_halls,
        request_report=sharing.schedule_report,
        metrics=metrics,
        rng=rng or random.Random(),
        clock=clock,
    )
    sharing.share_rows(room.get_rows)
    return room


def _add(rows: dict, key: int | str, load: shared_load.InstanceLoad) -> None:
    if key in rows:
        rows[key].add(load)
    else:
        rows[key] = load.copy()


def _get_demand(load: shared_load.InstanceLoad) -> int:
    return load.tokens + load.prefill_tokens
