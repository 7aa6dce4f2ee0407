"""Watches which services this entry can reach on new connections."""

import logging
import random
from collections.abc import Callable

from spoolhead._internal.gateway import conclusion_check, entry_metrics
from spoolhead._internal.network import scheduler, upstream_calls
from spoolhead._internal.policy import service_reach, upstream_registry
from spoolhead._internal.routing import matcher
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 0.25
"""Time within which an instance must answer a probe."""
SUSPICION_INTERVAL_S = 0.1
"""Minimum interval between probes of a service after failures."""
PROBE_INTERVAL_S = 0.5
"""Interval between probes of a service that is out of reach."""
PROBES_AT_ONCE = 3
"""Maximum number of instances of a service that are probed at the same time."""
MAX_PROBES_PER_S = 20.0
"""Probes that one instance may get from all entries together, each of which may have lost it. In a
large fleet, an entry therefore sends its probes with a probability below one."""


class _Probe:
    """A health request; the watch learns of its outcome as of that of any other call."""

    __slots__ = ("address", "call", "watch")

    def __init__(self, watch: "ReachWatch", address: str) -> None:
        self.watch = watch
        self.address = address
        self.call: upstream_calls.UpstreamCall | None = None

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        pass

    def on_answer_body(self, data: bytes) -> None:
        pass

    def on_answer_end(self) -> None:
        pass

    def on_call_lost(self, reason: str) -> None:
        pass

    def on_timeout(self) -> None:
        if self.call is None or self.call.is_over:
            return
        self.call.cancel()
        if not self.call.has_head:
            self.watch.record_unanswered(self.address)


class ReachWatch:
    """Records the outcome of new connections to instances, whatever they were made for.

    While a service is out of reach, some of its instances are probed at intervals.

    :param calls: makes HTTP requests to instances.
    :param timers: scheduler for timers.
    :param registry: the known instances.
    :param metrics: metrics of the entry.
    :param rng: source of random numbers.
    :param get_table: returns the route table in force.
    :param get_entry_count: returns the number of known entries.
    :param get_silent_halls: returns the silent halls, for the log.
    :param get_load_age_ms: returns the age of what is known of other entries, for the log.
    :param on_lost: called with the name of a service that is out of reach from now on.
    :param on_regained: called with the name of a service that is within reach again.
    :param clock: monotonic time in seconds.
    :ivar conclusions: conclusions about instances that must be confirmed.
    """

    def __init__(
        self,
        calls: upstream_calls.UpstreamCalls,
        timers: scheduler.Scheduler,
        registry: upstream_registry.UpstreamRegistry,
        metrics: entry_metrics.EntryMetrics,
        rng: random.Random,
        *,
        get_table: Callable[[], matcher.Matcher | None],
        get_entry_count: Callable[[], int],
        get_silent_halls: Callable[[], frozenset[str]],
        get_load_age_ms: Callable[[], int],
        on_lost: Callable[[str], None],
        on_regained: Callable[[str], None],
        clock: clocks.Clock = clocks.get_s,
    ) -> None:
        self._calls = calls
        self._timers = timers
        self._registry = registry
        self._rng = rng
        self._get_table = get_table
        self._get_entry_count = get_entry_count
        self._get_silent_halls = get_silent_halls
        self._get_load_age_ms = get_load_age_ms
        self._on_lost = on_lost
        self._on_regained = on_regained
        self._clock = clock
        self._reach = service_reach.ServiceReach()
        self._out_of_reach_s: dict[str, float] = {}
        self._probed_s: dict[str, float] = {}
        self.conclusions = conclusion_check.ConclusionCheck(
            timers, registry, rng, probe=self._send_probe, clock=clock
        )
        metrics.unreached_services.set_function(lambda: len(self._out_of_reach_s))
        timers.call_every(PROBE_INTERVAL_S, self._probe_lost)

    def is_out_of_reach(self, service: str) -> bool:
        """Return whether this entry cannot reach any instance of a service."""
        return service in self._out_of_reach_s

    def record_answered(self, address: str, opened_s: float) -> None:
        """Record that an instance answered a call on a new connection."""
        upstream = self._registry.get_by_address(address)
        if upstream is None:
            return
        self.conclusions.record_answered(upstream, opened_s)
        service = upstream.instance.service
        self._reach.record_reached(service, opened_s)
        if self.is_out_of_reach(service):
            self._update(service)

    def record_unanswered(self, address: str) -> None:
        """Record that an instance did not answer on a new connection."""
        upstream = self._registry.get_by_address(address)
        if upstream is None:
            return
        instance = upstream.instance
        self._reach.record_unreached(instance.service, instance.incarnation_id, self._clock())
        self._update(instance.service)
        if not self.is_out_of_reach(instance.service):
            self._probe_others(instance.service)

    def handle_list_change(self) -> None:
        """Forget instances that are no longer listed."""
        listed = {item.instance.incarnation_id for item in self._registry.get_all()}
        self._reach.retain(listed)
        for service in list(self._out_of_reach_s):
            self._update(service)

    def _update(self, service: str) -> None:
        current = [item.instance.incarnation_id for item in self._get_remaining(service)]
        # Without a health path, nothing would show that the service is within reach again.
        is_out_of_reach = bool(self._get_health_path(service)) and self._reach.is_out_of_reach(
            service, current
        )
        if is_out_of_reach == self.is_out_of_reach(service):
            return
        if is_out_of_reach:
            self._record_lost(service)
        else:
            self._record_regained(service)

    def _record_lost(self, service: str) -> None:
        self._out_of_reach_s[service] = self._clock()
        fields = {
            "service": service,
            "unreached": self._reach.get_unreached(service),
            "peers_age_ms": self._get_load_age_ms(),
            "silent_halls": sorted(self._get_silent_halls()),
        }
        logger.warning("service is out of reach", extra={"fields": fields})
        # The failure that showed this is still being handled by the request that had it.
        self._timers.call_later(0, lambda: self._handle_lost(service))

    def _handle_lost(self, service: str) -> None:
        self._on_lost(service)
        # The connections to all services may be lost, also to those without requests at present.
        table = self._get_table()
        for other in table.services if table is not None else ():
            if not self.is_out_of_reach(other.name):
                self._probe_others(other.name)

    def _record_regained(self, service: str) -> None:
        lost_s = self._out_of_reach_s.pop(service)
        fields = {"service": service, "for_ms": int((self._clock() - lost_s) * 1000)}
        logger.info("service is within reach again", extra={"fields": fields})
        self._on_regained(service)

    def _probe_others(self, service: str) -> None:
        """Find out whether other instances can be reached than those that failed."""
        now_s = self._clock()
        if now_s - self._probed_s.get(service, -SUSPICION_INTERVAL_S) < SUSPICION_INTERVAL_S:
            return
        self._probed_s[service] = now_s
        unreached = set(self._reach.get_unreached(service))
        if self._may_probe(service, interval_s=1.0):
            self._probe(service, excluded=unreached, most=PROBES_AT_ONCE)

    def _probe_lost(self) -> None:
        for service in self._out_of_reach_s:
            if self._may_probe(service, interval_s=PROBE_INTERVAL_S):
                self._probe(service, excluded=set(), most=1)

    def _may_probe(self, service: str, *, interval_s: float) -> bool:
        """Return whether this entry sends a probe now, drawn at random in a large fleet."""
        allowed = MAX_PROBES_PER_S * interval_s * len(self._get_remaining(service))
        return self._rng.random() * self._get_entry_count() < allowed

    def _probe(self, service: str, *, excluded: set[str], most: int) -> None:
        now_s = self._clock()
        candidates = [
            upstream
            for upstream in self._get_remaining(service)
            if upstream.instance.incarnation_id not in excluded
            and not upstream.rest.is_resting(now_s)
        ]
        for upstream in self._rng.sample(candidates, min(most, len(candidates))):
            self._send_probe(upstream)

    def _send_probe(self, upstream: upstream_registry.Upstream) -> None:
        path = self._get_health_path(upstream.instance.service)
        if not path:
            return
        address = upstream.instance.address
        probe = _Probe(self, address)
        request = upstream_calls.make_request("GET", path, address, (), b"")
        probe.call = self._calls.open(address, request, probe, fresh=True)
        self._timers.call_later(PROBE_TIMEOUT_S, probe.on_timeout)

    def _get_remaining(self, service: str) -> list[upstream_registry.Upstream]:
        return [item for item in self._registry.get_service(service) if not item.is_leaving]

    def _get_health_path(self, service: str) -> str:
        table = self._get_table()
        row = table.get_service(service) if table is not None else None
        return row.health_path if row is not None else ""
