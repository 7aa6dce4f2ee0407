"""Probes the health of model engines, to detect departures before the instance list shows them.

An engine that is being drained reports this at once, while the platform's list lags by most of a
second, which is too late to migrate its runs. A bad answer raises an alarm, which expires unless
the list confirms it.
"""

import logging
import math
from collections.abc import Callable, Sequence

from spoolhead._internal.models import dialects, fleet, settings, shared_load
from spoolhead._internal.network import links, upstream_calls
from spoolhead._internal.network import loop as loops
from spoolhead._internal.policy import probe_assignment, upstream_registry
from spoolhead._internal.routing import matcher
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 0.5
"""Timeout of a probe; many times the usual few milliseconds."""

MIN_SILENT_PROBES = 2
"""Consecutive probes without any answer after which an alarm is raised. If a single probe sufficed,
half a second's stall of this entry or its link would cause all engines to be drained at once."""

LIMITED_PROBE_INTERVAL_S = 1.0
"""Minimum interval between two probes of an instance that states a rate limit."""

_OK = 200


class _Probe:
    """One health probe of an instance; a bad answer raises an alarm."""

    __slots__ = (
        "began_s",
        "call",
        "cold_ms",
        "has_not_run",
        "instance_id",
        "owner",
        "path",
        "status",
        "upstream",
    )

    def __init__(
        self, owner: "HealthWatch", upstream: upstream_registry.Upstream, path: str
    ) -> None:
        self.owner = owner
        self.upstream = upstream
        self.path = path
        self.began_s = clocks.get_s()
        self.call: upstream_calls.UpstreamCall | None = None
        self.status = 0
        self.has_not_run = False
        self.cold_ms = 0
        self.instance_id = ""

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        self.status = status
        head = self.owner.dialect.read_answer(status, headers)
        self.has_not_run = head.has_not_run
        self.cold_ms = head.cold_ms or 0
        self.instance_id = head.instance_id
        if self.instance_id in ("", self.upstream.instance.instance_id):
            self.owner.on_answer(self.upstream, head)

    def on_answer_body(self, data: bytes) -> None:
        pass

    def on_answer_end(self) -> None:
        self.owner.handle_probe_end(self, f"status {self.status}")

    def on_call_lost(self, reason: str) -> None:
        if self.call is not None and self.call.is_reused:
            self.owner.retry_probe(self)
            return
        is_silent = reason == links.CONNECT_TIMEOUT
        self.owner.handle_probe_end(self, reason, is_silent=is_silent)


class HealthWatch:
    """Probes the engines that are assigned to this entry.

    :param loop: event loop of the program.
    :param calls: makes HTTP requests.
    :param config: the entry's settings.
    :param dialect: adapter for the wire format of instances.
    :param registry: the known instances.
    :param get_table: returns the route table in force.
    :param get_entries: returns all live entries, among which the engines are divided.
    :param get_silent_halls: returns the silent halls; nothing is probed there, since a missing
        answer would not be the instance's fault.
    :param on_alarm: called with an unhealthy instance and the kind of alarm.
    :param on_cold: called with an instance that newly reports to be cold, and the remaining time
        in milliseconds.
    :param on_replaced: called with an instance at whose address another one answers.
    :param on_answer: called with the head of each answer of the probed instance itself.
    :param is_limited: returns whether an instance states a rate limit.
    :param confirm: called with an instance that did not answer, the kind of the alarm and a
        function that raises it, to be called if the failure is not this entry's own.
    """

    def __init__(
        self,
        loop: loops.Loop,
        calls: upstream_calls.UpstreamCalls,
        config: settings.GatewaySettings,
        dialect: dialects.EntryDialect,
        registry: upstream_registry.UpstreamRegistry,
        *,
        get_table: Callable[[], matcher.Matcher | None],
        get_entries: Callable[[], Sequence[fleet.Process]],
        get_silent_halls: Callable[[], frozenset[str]],
        on_alarm: Callable[[upstream_registry.Upstream, shared_load.AlarmKind], None],
        on_cold: Callable[[upstream_registry.Upstream, int], None],
        on_replaced: Callable[[upstream_registry.Upstream], None],
        on_answer: Callable[[upstream_registry.Upstream, dialects.AnswerHead], None],
        is_limited: Callable[[upstream_registry.Upstream], bool],
        confirm: Callable[[str, str, Callable[[], None]], None],
    ) -> None:
        self._calls = calls
        self._config = config
        self.dialect = dialect
        self._registry = registry
        self._get_table = get_table
        self._get_entries = get_entries
        self._assignments = probe_assignment.ProbeAssignments(config.name)
        self._get_silent_halls = get_silent_halls
        self._on_alarm = on_alarm
        self._on_cold = on_cold
        self._on_replaced = on_replaced
        self.on_answer = on_answer
        self._is_limited = is_limited
        self._confirm = confirm
        self._probed_s: dict[str, float] = {}
        self._probes: dict[str, _Probe] = {}
        self._silent_probes: dict[str, int] = {}
        loop.scheduler.call_every(config.health_interval_ms / 1000, self._probe_all)

    def handle_probe_end(self, probe: _Probe, outcome: str, *, is_silent: bool = False) -> None:
        """Handle the answer to a probe, or its failure.

        :param outcome: description of the result for the log.
        :param is_silent: whether nothing arrived at all, not even a refused connection.
        """
        incarnation_id = probe.upstream.instance.incarnation_id
        self._probes.pop(incarnation_id, None)
        silent_count = self._silent_probes.pop(incarnation_id, 0)
        if probe.instance_id not in ("", probe.upstream.instance.instance_id):
            self._handle_replaced(probe.upstream, probe.instance_id)
            return
        if probe.status == _OK and probe.cold_ms:
            self._handle_cold(probe.upstream, probe.cold_ms)
        if probe.status == _OK or probe.upstream.is_leaving:
            return
        if probe.has_not_run:
            # The instance is at capacity: a probe needs a slot like any other request.
            return
        if probe.upstream.instance.hall in self._get_silent_halls():
            return
        if is_silent and silent_count + 1 < MIN_SILENT_PROBES:
            self._silent_probes[incarnation_id] = silent_count + 1
            return
        if probe.status:
            self._raise_alarm(probe.upstream, shared_load.AlarmKind.UNHEALTHY, outcome)
            return
        kind = shared_load.AlarmKind.UNREACHABLE
        self._confirm(
            incarnation_id,
            kind.name.lower(),
            lambda: self._raise_alarm(probe.upstream, kind, outcome),
        )

    def _raise_alarm(
        self, upstream: upstream_registry.Upstream, kind: shared_load.AlarmKind, outcome: str
    ) -> None:
        if not upstream.raise_alarm(clocks.get_s(), kind):
            return
        fields = {"upstream": upstream.instance.incarnation_id, "outcome": outcome}
        logger.info("upstream says that it is not well", extra={"fields": fields})
        self._on_alarm(upstream, kind)

    def _handle_replaced(self, upstream: upstream_registry.Upstream, instance_id: str) -> None:
        """Record that another instance answers at this one's address."""
        if not upstream.record_replaced(clocks.get_s()):
            return
        fields = {"upstream": upstream.instance.incarnation_id, "answers": instance_id}
        logger.info("upstream is replaced", extra={"fields": fields})
        self._on_replaced(upstream)

    def _handle_cold(self, upstream: upstream_registry.Upstream, cold_ms: int) -> None:
        """Record that an instance reports to be cold, and pass it on if it was not known to be."""
        if not upstream.record_cold(cold_ms, clocks.get_s()):
            return
        fields = {"upstream": upstream.instance.incarnation_id, "for_ms": cold_ms}
        logger.info("upstream says that it is cold", extra={"fields": fields})
        self._on_cold(upstream, cold_ms)

    def retry_probe(self, probe: _Probe) -> None:
        """Repeat a probe on a new connection after its reused connection proved to be closed."""
        self._send(probe, fresh=True)

    def _probe_all(self) -> None:
        table = self._get_table()
        if table is None:
            return
        now_s = clocks.get_s()
        for probe in list(self._probes.values()):
            if now_s - probe.began_s > ANSWER_TIMEOUT_S and probe.call is not None:
                probe.call.cancel()
                self.handle_probe_end(probe, "no answer", is_silent=True)
        listed = [upstream.instance for upstream in self._registry.get_all()]
        self._assignments.update(self._get_entries(), listed)
        silent_halls = self._get_silent_halls()
        for service in table.services:
            if service.engine is None or not service.health_path:
                continue
            for upstream in self._registry.get_service(service.name):
                instance = upstream.instance
                if upstream.is_leaving or instance.incarnation_id in self._probes:
                    continue
                if instance.hall in silent_halls:
                    continue
                if self._assignments.has(instance) and self._may_probe(upstream, now_s):
                    self._start_probe(upstream, service.health_path)

    def _may_probe(self, upstream: upstream_registry.Upstream, now_s: float) -> bool:
        """Return whether the instance's rest and rate limit permit a probe now."""
        if upstream.rest.is_resting(now_s):
            return False
        incarnation_id = upstream.instance.incarnation_id
        if not self._is_limited(upstream):
            self._probed_s.pop(incarnation_id, None)
            return True
        if now_s - self._probed_s.get(incarnation_id, -math.inf) < LIMITED_PROBE_INTERVAL_S:
            return False
        self._probed_s[incarnation_id] = now_s
        return True

    def _start_probe(self, upstream: upstream_registry.Upstream, path: str) -> None:
        probe = _Probe(self, upstream, path)
        self._probes[upstream.instance.incarnation_id] = probe
        self._send(probe, fresh=False)

    def _send(self, probe: _Probe, *, fresh: bool) -> None:
        address = probe.upstream.instance.address
        request = upstream_calls.make_request("GET", probe.path, address, (), b"")
        probe.call = self._calls.open(address, request, probe, fresh=fresh)
