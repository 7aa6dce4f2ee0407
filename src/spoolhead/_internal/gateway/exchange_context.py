"""Components that all exchanges of an entry share."""

import random
from collections.abc import Callable

from spoolhead._internal.contents import content_watch
from spoolhead._internal.gateway import (
    entry_metrics,
    forwarding,
    permit_exchange,
    room_sharing,
    run_queue,
    shared_allowances,
    upstream_limits,
    upstream_paces,
)
from spoolhead._internal.models import dialects, settings
from spoolhead._internal.network import scheduler, upstream_calls
from spoolhead._internal.policy import (
    body_budget,
    cold_start,
    hall_reach,
    upstream_gate,
    upstream_registry,
)
from spoolhead._internal.utils import clocks


class Context:
    """Components that all exchanges of an entry share.

    :ivar config: the entry's settings.
    :ivar dialect: adapter for the wire formats of callers and instances.
    :ivar calls: makes HTTP requests.
    :ivar timers: scheduler for timers.
    :ivar registry: the known instances.
    :ivar rng: random number generator.
    :ivar on_change: called when this entry's load at an instance has changed.
    :ivar on_lost_request: called with the incarnation id of an instance that accepted a request
        and lost it.
    :ivar on_answer: called with an instance, the head of its answer and the time of arrival.
    :ivar on_replaced: called with an instance at whose address another one answers.
    :ivar get_silent_halls: returns the halls that are silent.
    :ivar get_load_age_ms: returns the age of the load data received from other entries.
    :ivar metrics: counters and histograms.
    :ivar queue: generations that wait for an engine with free capacity.
    :ivar room: shares the order of these with other entries; None if each entry has its own.
    :ivar forwarding: sends requests of unreachable services to other entries; None for no such way.
    :ivar reach: tracks which halls are reachable.
    :ivar cold_starts: quotas for requests to cold instances.
    :ivar gate: decides whether an instance may receive a request.
    :ivar limits: rate limits that instances stated.
    :ivar paces: paces of instances.
    :ivar permits: requests permits for rate-limited instances.
    :ivar contents: tracks request contents that may crash instances.
    :ivar allowances: retry allowances of the services, shared with the other entries.
    :ivar bodies: budget of the bodies that this process holds.
    :ivar query_termination: called with an instance that accepted a request and lost it, to find
        out whether the instance has terminated.
    """

    __slots__ = (
        "allowances",
        "bodies",
        "query_termination",
        "registry",
        "calls",
        "rng",
        "cold_starts",
        "config",
        "contents",
        "dialect",
        "forwarding",
        "metrics",
        "gate",
        "get_load_age_ms",
        "get_silent_halls",
        "limits",
        "on_answer",
        "on_change",
        "on_lost_request",
        "on_replaced",
        "paces",
        "permits",
        "queue",
        "reach",
        "room",
        "timers",
    )

    def __init__(
        self,
        *,
        config: settings.GatewaySettings,
        dialect: dialects.EntryDialect,
        calls: upstream_calls.UpstreamCalls,
        timers: scheduler.Scheduler,
        registry: upstream_registry.UpstreamRegistry,
        rng: random.Random,
        on_change: Callable[[], None],
        on_lost_request: Callable[[str], None],
        on_answer: Callable[[upstream_registry.Upstream, dialects.AnswerHead, float], None],
        on_replaced: Callable[[upstream_registry.Upstream], None],
        contents: content_watch.ContentWatch,
        limits: upstream_limits.UpstreamLimits,
        paces: upstream_paces.UpstreamPaces,
        permits: permit_exchange.PermitExchange,
        query_termination: Callable[[upstream_registry.Upstream], None],
        get_silent_halls: Callable[[], frozenset[str]],
        get_load_age_ms: Callable[[], int],
        metrics: entry_metrics.EntryMetrics,
        bodies: body_budget.BodyBudget | None = None,
        room: room_sharing.RoomSharing | None = None,
        allowances: shared_allowances.SharedAllowances | None = None,
    ) -> None:
        self.config = config
        self.dialect = dialect
        self.calls = calls
        self.timers = timers
        self.registry = registry
        self.rng = rng
        self.on_change = on_change
        self.on_lost_request = on_lost_request
        self.on_answer = on_answer
        self.on_replaced = on_replaced
        self.contents = contents
        self.bodies = bodies if bodies is not None else body_budget.BodyBudget(0)
        self.query_termination = query_termination
        self.get_silent_halls = get_silent_halls
        self.get_load_age_ms = get_load_age_ms
        self.metrics = metrics
        self.room = room
        self.forwarding: forwarding.Forwarding | None = None
        self.queue = run_queue.RunQueue(timers, rng, room)
        self.reach = hall_reach.HallReach(config.hall)
        self.cold_starts = cold_start.ColdStarts(config.name, config.hall)
        self.limits = limits
        self.paces = paces
        self.permits = permits
        self.gate = upstream_gate.Gate(self.cold_starts, limits.registry, permits.backoff)
        self.allowances = allowances or shared_allowances.SharedAllowances(config, metrics)

    def get_cut_off_halls(self, now_s: float) -> frozenset[str]:
        """Return the halls that are currently cut off."""
        return self.reach.get_cut_off_halls(self.get_silent_halls(), now_s)

    def query_termination_if_abandoned(self, upstream: upstream_registry.Upstream) -> None:
        """Query whether an unhealthy instance has terminated, if requests were abandoned there.

        One of these requests may have crashed the instance, and no connection is left to show it.
        """
        if upstream.is_expected_to_terminate(clocks.get_s()):
            return
        if self.contents.has_abandoned(upstream.instance.incarnation_id):
            self.query_termination(upstream)
