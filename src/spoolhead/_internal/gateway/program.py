"""The entry program: accepts requests, routes them to instances and follows the keepers."""

import logging
import random
import time
from http import HTTPStatus

from spoolhead._internal.contents import content_watch, termination_watch
from spoolhead._internal.gateway import (
    entry_metrics,
    exchange,
    exchange_context,
    forwarding,
    health_watch,
    load_sharing,
    permit_exchange,
    reach_watch,
    request_intake,
    room_sharing,
    shared_allowances,
    slow_readers,
    startup,
    table_feed,
    upstream_events,
    upstream_limits,
    upstream_paces,
)
from spoolhead._internal.load_broadcast import load_socket
from spoolhead._internal.models import (
    dialects,
    fleet,
    instances,
    permits,
    settings,
    shared_load,
)
from spoolhead._internal.network import (
    body_admission,
    caller_front,
    forward_server,
    links,
    loop,
    request_reader,
    small_server,
    upstream_calls,
)
from spoolhead._internal.policy import (
    hall_reach,
    peer_choice,
    upstream_registry,
)
from spoolhead._internal.routing import matcher, table_checks
from spoolhead._internal.utils import clocks, endpoints, prometheus_metrics

logger = logging.getLogger(__name__)

STOP_LISTEN_DURATION_S = 3.0
"""Time after the stop signal during which new connections are still served: the load balancer
probes each second and removes an entry after two bad answers."""
STOP_CHECK_INTERVAL_S = 0.05
STOP_MARGIN_S = 0.5
"""Time before the end of the stop period at which remaining requests are aborted."""
EARLY_REQUEST_WAIT_S = 1.5
"""Age up to which an entry that is not ready queues requests. A start that includes an election
takes less than a second."""
READY_CHECK_INTERVAL_S = 0.05
FLOW_INTERVAL_S = 0.1
"""Interval at which the memory released by runs is recorded; a twentieth of the time over which its
rate is measured."""
REACH_CHECK_INTERVAL_S = 0.2
"""Interval between checks of which services are reachable; a fifth of the load balancer's probe
interval."""


class Gateway:
    """The components of one entry and the connections between them.

    :param config: the entry's settings.
    :param dialect: adapter for the wire formats of callers, instances and the platform's instance
        list.
    :ivar loop: event loop of the program.
    """

    def __init__(self, config: settings.GatewaySettings, dialect: dialects.EntryDialect) -> None:
        self._config = config
        self._dialect = dialect
        self._matcher: matcher.Matcher | None = None
        self._is_ready = False
        self._has_instances = False
        self._is_stopping = False
        self._unreachable_service = ""
        self._started_s = clocks.get_s()
        self._stop_started_s = 0.0
        self._exchanges: set[exchange.Exchange] = set()
        self._early_callers: list[caller_front.Caller] = []
        self.loop = loop.Loop(self._begin_stop)
        outgoing = links.Links(self.loop, channel="links").register(self.loop)
        calls = upstream_calls.UpstreamCalls(self.loop, outgoing, config.upstreams)
        metrics = prometheus_metrics.PrometheusMetrics()
        self._metrics = entry_metrics.EntryMetrics(metrics)
        self._metrics.in_flight.set_function(lambda: len(self._exchanges))
        self._registry = upstream_registry.UpstreamRegistry()
        self._contents = content_watch.ContentWatch(
            config.name,
            clock=clocks.get_s,
            timers=self.loop.scheduler,
            request_broadcast=lambda: self._load_sharing.broadcast_contents(),
            on_held=lambda key: self._intake.reject_held(key),
            query_alive=self._query_alive,
        )
        self._metrics.held_contents.set_function(lambda: self._contents.held_count)
        address = (config.host, config.peer_port)
        load_sock = load_socket.LoadSocket(self.loop, address, self._handle_datagram)
        self._limits = upstream_limits.UpstreamLimits(
            self._registry.get_by_key,
            request_broadcast=lambda: self._load_sharing.broadcast_limits(),
            on_change=self._on_limit_change,
        )
        self._metrics.limited_upstreams.set_function(lambda: self._limits.registry.limited_count)
        self._paces = upstream_paces.UpstreamPaces(
            self._registry,
            request_broadcast=lambda: self._load_sharing.schedule_report(),
            measures_pace=config.measures_pace,
            on_overruled=self._metrics.overruled_paces.inc,
        )
        self._metrics.known_paces.set_function(lambda: self._paces.known_count)
        self._permits = permit_exchange.PermitExchange(
            self.loop.scheduler,
            config,
            self._limits,
            send=load_sock.send,
            first_id=int(time.time() * 1000),
        )
        self._load_sharing = load_sharing.LoadSharing(
            self.loop.scheduler,
            config,
            self._registry,
            self._contents,
            self._limits,
            self._paces,
            send=load_sock.send,
            on_alarm=lambda upstream: self._upstream_events.drain(upstream),
            on_load_update=self._on_load_update,
        )
        self._metrics.news_age_ms.set_function(self._load_sharing.get_load_age_ms)
        rng = random.Random()
        self._reach_watch = reach_watch.ReachWatch(
            calls,
            self.loop.scheduler,
            self._registry,
            self._metrics,
            rng,
            get_table=lambda: self._matcher,
            get_silent_halls=self._load_sharing.get_silent_halls,
            get_load_age_ms=self._load_sharing.get_load_age_ms,
            get_entry_count=lambda: len(self._load_sharing.get_entries()),
            on_lost=lambda service: self._intake.handle_service_lost(service),
            on_regained=self._on_service_regained,
        )
        calls.observer = self._reach_watch
        readers = slow_readers.SlowReaders(config, self._metrics)
        held = readers.bodies
        room = room_sharing.make(config, self._registry, self._load_sharing, self._metrics)
        if room is not None:
            self.loop.scheduler.call_every(FLOW_INTERVAL_S, room.forecast.record_flows)
        self._allowances = shared_allowances.make(config, self._load_sharing, self._metrics)
        self._termination_watch = termination_watch.TerminationWatch(
            calls,
            self.loop.scheduler,
            self._contents,
            read_instance_id=lambda status, head: dialect.read_answer(status, head).instance_id,
            on_terminated=lambda incarnation_id: self._load_sharing.broadcast_alarm(
                incarnation_id, shared_load.AlarmKind.ENDED
            ),
            confirm=self._reach_watch.conclusions.confirm,
        )
        self._context = exchange_context.Context(
            config=config,
            dialect=dialect,
            calls=calls,
            timers=self.loop.scheduler,
            registry=self._registry,
            rng=rng,
            on_change=self._on_own_change,
            on_lost_request=self._report_lost_request,
            on_answer=self._handle_answer,
            on_replaced=lambda upstream: self._upstream_events.handle_replaced(upstream),
            contents=self._contents,
            limits=self._limits,
            paces=self._paces,
            permits=self._permits,
            query_termination=self._query_termination,
            get_silent_halls=self._load_sharing.get_silent_halls,
            get_load_age_ms=self._load_sharing.get_load_age_ms,
            metrics=self._metrics,
            bodies=held,
            room=room,
            allowances=self._allowances,
        )
        self._peers = peer_choice.PeerChoice(config.name, config.hall, rng)
        self._context.forwarding = forwarding.Forwarding(
            forwarding.make_calls(self.loop, outgoing),
            config,
            self._reach_watch,
            self._peers,
            get_silent_halls=self._load_sharing.get_silent_halls,
            take_over=lambda job, caller: self._intake.forward(job, caller),
        )
        self._upstream_events = upstream_events.UpstreamEvents(
            self._context,
            self._load_sharing,
            self._exchanges,
            get_table=lambda: self._matcher,
        )
        self._metrics.waiting.set_function(lambda: len(self._context.queue))
        self._metrics.body_bytes.set_function(lambda: held.held_bytes)
        self._metrics.waiting_bodies.set_function(lambda: held.waiting_count)
        self._metrics.rejected_bodies.set_function(lambda: held.rejected_count)
        bodies = body_admission.BodyAdmission(held, dialect.read_wait_ms)
        self._front = caller_front.CallerFront(
            self.loop,
            config,
            on_request=self._handle_request,
            on_bad_request=lambda caller, item: self._intake.refuse_unread(caller, item),
            unread=readers.unread,
            on_drop=readers.record_drop,
            bodies=bodies,
        ).register(self.loop)
        self._forward_server = forward_server.ForwardServer(
            self.loop,
            config,
            on_request=lambda *received: self._intake.serve_forwarded(*received),
            bodies=bodies,
        ).register(self.loop)
        small_server.SmallServer(
            (config.ready_host, config.ready_port),
            channel="ready",
            limits=config.callers,
            answer=self._answer_probe,
        ).register(self.loop)
        metrics.serve(self.loop, config)
        self._table_feed = table_feed.TableFeed(self.loop, outgoing, calls, config, dialect, self)
        self._table_feed.count_list_faults(self._metrics.list_faults.inc)
        self._intake = request_intake.RequestIntake(
            self._context,
            self._table_feed,
            self._exchanges,
            get_table=lambda: self._matcher,
            is_serving=lambda: self._is_ready,
            is_stopping=lambda: self._is_stopping,
        )
        self._health_watch = health_watch.HealthWatch(
            self.loop,
            calls,
            config,
            dialect,
            self._registry,
            get_table=lambda: self._matcher,
            get_entries=self._load_sharing.get_entries,
            get_silent_halls=self._load_sharing.get_silent_halls,
            on_alarm=self._upstream_events.handle_alarm,
            on_cold=self._upstream_events.handle_cold,
            on_replaced=self._upstream_events.handle_replaced,
            on_answer=self._handle_health_answer,
            is_limited=lambda upstream: self._context.gate.is_limited(upstream),
            confirm=self._reach_watch.conclusions.confirm,
        )
        self.loop.scheduler.call_every(READY_CHECK_INTERVAL_S, self._check_ready)
        self.loop.scheduler.call_every(REACH_CHECK_INTERVAL_S, self._check_reach)

    def run(self) -> None:
        """Serve until a stop signal arrives and all requests in flight have ended."""
        fields = {"callers": self._front.address, "hall": self._config.hall}
        logger.info("entry %s starts", self._config.name, extra={"fields": fields})
        self.loop.run()

    def on_table(self, version: int, document: bytes) -> bool:
        """Put a newer route table in force.

        :returns: whether the table is valid and in force.
        """
        decoded = self._dialect.decode_table(document)
        faults = decoded.error if decoded.is_error() else table_checks.check(decoded.ok)
        if faults:
            fields = {"version": version, "faults": [str(item) for item in faults]}
            logger.error("committed table is not usable", extra={"fields": fields})
            return False
        self._matcher = matcher.Matcher(decoded.ok)
        self._context.cold_starts.clear_quotas()
        self._front.set_bounds(decoded.ok.bounds)
        self._forward_server.set_limits(self._front.limits)
        fields = {"version": version, "routes": len(decoded.ok.routes)}
        logger.info("table in force", extra={"fields": fields})
        self._metrics.table_version.set(version)
        return True

    def on_instances(self, listed: list[instances.Instance]) -> None:
        """Apply a new instance list."""
        self._upstream_events.apply_list(listed)
        self._reach_watch.handle_list_change()
        self._has_instances = True

    def on_evacuations(self, halls: frozenset[str]) -> None:
        """Apply the set of evacuated halls; instances there receive no new requests."""
        self._upstream_events.handle_evacuations(halls)

    def on_fleet(self, known: fleet.Fleet) -> None:
        """Apply the set of known keepers and entries."""
        self._load_sharing.set_fleet(known)
        entries = self._load_sharing.get_entries()
        self._context.cold_starts.set_entries(entries)
        self._permits.set_entries(entries)
        self._peers.set_entries(entries)
        if self._table_feed.reaches_majority:
            # Fewer keepers may know only the entries of a part of the fleet.
            self._context.allowances.set_entries([entry.name for entry in entries])

    def on_keeper_lost(self, address: str) -> None:
        """Record that the stream to a keeper ended."""
        self._load_sharing.record_keeper_lost(address)

    def apply_settings(self, config: settings.GatewaySettings) -> None:
        """Apply changed settings; only the keepers' addresses can change."""
        self._table_feed.set_keeper_addresses(config.keepers)

    def _handle_datagram(self, message: shared_load.Message, sender: endpoints.Endpoint) -> None:
        if isinstance(message, permits.PermitRequest | permits.PermitReply):
            self._permits.handle_datagram(message, sender)
        else:
            self._load_sharing.handle_datagram(message, sender)

    def _on_service_regained(self, service: str) -> None:
        for upstream in self._registry.get_service(service):
            upstream.clear_failures()
        self._context.queue.schedule_check()

    def _report_lost_request(self, incarnation_id: str) -> None:
        """Report an instance that lost a request, unless the entry's connections are lost."""
        self._reach_watch.conclusions.confirm(
            incarnation_id,
            shared_load.AlarmKind.LOST_REQUEST.name.lower(),
            lambda: self._load_sharing.broadcast_failure(incarnation_id),
        )

    def _on_load_update(self) -> None:
        self._allowances.update_all()
        self._context.queue.schedule_check()

    def _on_limit_change(self, key: int) -> None:
        self._permits.backoff.clear(key)
        self._context.queue.schedule_check()

    def _handle_answer(
        self, upstream: upstream_registry.Upstream, head: dialects.AnswerHead, now_s: float
    ) -> None:
        self._paces.handle_answer(upstream, head, now_s)
        self._upstream_events.handle_answer(upstream, head, now_s)
        if head.is_signed or head.has_not_run:
            self._record_instance_answer(upstream, head)

    def _handle_health_answer(
        self, upstream: upstream_registry.Upstream, head: dialects.AnswerHead
    ) -> None:
        now_s = clocks.get_s()
        self._limits.handle_health_answer(upstream, head, now_s)
        self._paces.handle_answer(upstream, head, now_s)
        if head.instance_id:
            self._record_instance_answer(upstream, head)
        self._upstream_events.handle_health_answer(upstream, head)

    def _record_instance_answer(
        self, upstream: upstream_registry.Upstream, head: dialects.AnswerHead
    ) -> None:
        """Record that an instance is alive, unless another one answers at its address."""
        if not head.is_misdirected:
            self._contents.record_instance_answer(upstream.instance.incarnation_id)

    def _on_own_change(self) -> None:
        self._load_sharing.schedule_report()
        self._context.queue.schedule_check()

    def _answer_probe(self, request: request_reader.WireRequest) -> small_server.SmallAnswer:
        del request
        status = HTTPStatus.OK if self._can_serve() else HTTPStatus.SERVICE_UNAVAILABLE
        return small_server.SmallAnswer(status)

    def _can_serve(self) -> bool:
        return self._is_ready and not self._is_stopping and not self._unreachable_service

    def _check_ready(self) -> None:
        if self._is_ready:
            return
        age_s = clocks.get_s() - self._started_s
        if age_s > EARLY_REQUEST_WAIT_S:
            self._handle_early_requests()
        startup_state = startup.StartupState(
            age_s=age_s,
            has_table=self._matcher is not None,
            has_contents=self._contents.is_in_sync,
            has_limits=self._load_sharing.has_snapshot,
            has_instances=self._has_instances,
            is_sure=self._table_feed.is_sure,
            reaches_majority=self._table_feed.reaches_majority,
        )
        step = startup.decide(startup_state)
        self._table_feed.accept_unconfirmed(step is startup.Step.TAKE_UNCONFIRMED)
        if step is startup.Step.SERVE:
            self._begin_serving(startup_state)

    def _begin_serving(self, startup_state: startup.StartupState) -> None:
        self._is_ready = True
        fields = {
            "version": self._table_feed.version,
            "keepers": self._table_feed.connected_count,
            "is_sure": startup_state.is_sure,
            "has_contents": startup_state.has_contents,
            "has_limits": startup_state.has_limits,
            "age_ms": int(startup_state.age_s * 1000),
        }
        logger.info("entry is ready", extra={"fields": fields})
        self._handle_early_requests()

    def _check_reach(self) -> None:
        """Report the entry as not ready while it cannot reach any instance of a service.

        The load balancer then sends callers to other halls.
        """
        unreachable = self._find_unreachable_service()
        if unreachable == self._unreachable_service or self._is_stopping:
            return
        self._unreachable_service = unreachable
        self._front.close_after_answers(bool(unreachable))
        if unreachable:
            halls = sorted(self._load_sharing.get_silent_halls())
            fields = {"service": unreachable, "silent_halls": halls}
            logger.warning("entry cannot reach a service", extra={"fields": fields})
        else:
            logger.info("entry can reach all services again")

    def _find_unreachable_service(self) -> str:
        """Return the name of a service with instances only in unreachable halls, or ``""``."""
        unreachable_halls = self._context.reach.get_unreachable_halls(
            self._load_sharing.get_silent_halls(),
            clocks.get_s(),
            is_isolated=self._load_sharing.is_isolated(),
        )
        if not unreachable_halls or self._matcher is None:
            return ""
        for service in self._matcher.services:
            if hall_reach.is_service_unreachable(
                self._registry.get_service(service.name), unreachable_halls
            ):
                return service.name
        return ""

    def _handle_early_requests(self) -> None:
        queued, self._early_callers = self._early_callers, []
        for caller in queued:
            if not caller.is_disconnected:
                self._handle_request(caller)

    def _handle_request(self, caller: caller_front.Caller) -> None:
        if self._dialect.is_ready_probe(caller.request):
            caller.send_answer(200 if self._can_serve() else 503, [], b"")
            return
        age_s = clocks.get_s() - self._started_s
        if not self._is_ready and age_s < EARLY_REQUEST_WAIT_S and not self._is_stopping:
            self._early_callers.append(caller)
            return
        self._intake.serve_caller(caller)

    def _query_termination(self, upstream: upstream_registry.Upstream) -> None:
        """Query whether an instance that lost a request has terminated."""
        service = self._matcher.get_service(upstream.instance.service) if self._matcher else None
        query = termination_watch.TerminationQuery(
            upstream.instance.incarnation_id,
            instance_id=upstream.instance.instance_id,
            address=upstream.instance.address,
            path=service.health_path if service is not None else "",
        )
        self._termination_watch.query(query)

    def _query_alive(self, incarnation_id: str) -> None:
        """Query whether an instance is still alive."""
        upstream = self._registry.get_by_key(shared_load.get_key(incarnation_id))
        if upstream is not None:
            self._query_termination(upstream)

    def _begin_stop(self) -> None:
        self._is_stopping = True
        self._stop_started_s = clocks.get_s()
        fields = {"in_flight": len(self._exchanges)}
        logger.info("entry stops", extra={"fields": fields})
        self._front.close_after_answers()
        self.loop.scheduler.call_later(STOP_LISTEN_DURATION_S, self._front.close_when_idle)
        self.loop.scheduler.call_every(STOP_CHECK_INTERVAL_S, self._finish_stop)

    def _finish_stop(self) -> None:
        age_s = clocks.get_s() - self._stop_started_s
        is_due = age_s > self._config.stop_ms / 1000 - STOP_MARGIN_S
        connection_count = self._front.connection_count + self._forward_server.connection_count
        is_empty = age_s > STOP_LISTEN_DURATION_S and not connection_count
        if is_empty or is_due:
            logger.info("entry ends", extra={"fields": {"cut": len(self._exchanges)}})
            self.loop.finish()
