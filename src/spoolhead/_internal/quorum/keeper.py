"""The keeper program that replicates the route table with other keepers by consensus."""

import logging
import pathlib
import time

from spoolhead._internal.contents import saved_contents
from spoolhead._internal.discovery import list_reader
from spoolhead._internal.entry import answers
from spoolhead._internal.load_broadcast import hub_port, load_socket
from spoolhead._internal.models import (
    codes,
    dialects,
    evacuations,
    fault,
    instances,
    settings,
    shared_load,
)
from spoolhead._internal.network import (
    caller_front,
    links,
    loop,
    messages,
    peer_server,
    route_messages,
    upstream_calls,
)
from spoolhead._internal.policy import content_registry, load_hub
from spoolhead._internal.quorum import feed, keeper_metrics, member, mesh, pending_operations
from spoolhead._internal.routing import table_checks
from spoolhead._internal.utils import clocks, endpoints, prometheus_metrics
from spoolhead.coordination import consensus_messages

logger = logging.getLogger(__name__)

RETRY_AFTER_MS = 500
"""Time after which an operator should retry at a keeper that could not confirm an operation: about
the length of an election."""
STOP_CHECK_INTERVAL_S = 0.05
"""Interval between checks, when stopping, whether all operators have been answered."""
STOP_SYNC_TIMEOUT_S = 0.5
"""Longest wait, when stopping, until records of contents are synced: many times the length of a
sync. Without this wait, records of the last quarter of a second would exist only at other
keepers."""


class Keeper:
    """The keeper program.

    :param config: the keeper's settings.
    :param dialect: reads operators' requests and the instance list.
    :raises exceptions.DiskError: if the data folder cannot be used.
    :ivar loop: event loop of the program.
    """

    def __init__(
        self, config: settings.QuorumKeeperSettings, dialect: dialects.OperatorDialect
    ) -> None:
        self._config = config
        self._dialect = dialect
        self.loop = loop.Loop(self._begin_stop)
        outgoing = links.Links(self.loop, channel="links").register(self.loop)
        calls = upstream_calls.UpstreamCalls(self.loop, outgoing, config.upstreams)
        address = f"{config.host}:{config.peer_port}"
        self._mesh = mesh.Mesh(
            self.loop,
            outgoing,
            name=config.name,
            shared_key=config.shared_key,
            on_message=self._handle_answer,
            on_stream_change=_log_stream_change,
        )
        self._contents = content_registry.ContentRegistry()
        self._feed = feed.Feed(
            self.loop.scheduler,
            config.hall,
            self._get_keepers,
            self._get_table,
            self._get_evacuations,
        )
        self._hub_port = self._make_hub_port((config.host, config.peer_port))
        self._member = member.Member(
            self.loop, config, address, self._mesh, self._on_change, self._read_instances
        )
        self._saved_contents = saved_contents.SavedContents(
            pathlib.Path(config.data_dir), self._contents, self.loop.scheduler
        )
        self._pending_operations = pending_operations.PendingOperations(
            self.loop.scheduler, self._mesh, self._member, config
        )
        self._reader = list_reader.ListReader(
            self.loop, calls, config.instance_list, dialect, self._handle_instances
        )
        self._peers = peer_server.PeerServer(
            self.loop,
            (config.host, config.peer_port),
            name=config.name,
            shared_key=config.shared_key,
            service=self,
        ).register(self.loop)
        self._front = caller_front.CallerFront(
            self.loop, config, on_request=self._handle_request, on_bad_request=self._refuse
        ).register(self.loop)
        registry = prometheus_metrics.PrometheusMetrics()
        self._metrics = keeper_metrics.KeeperMetrics(registry)
        self._reader.on_fault = self._metrics.list_faults.inc
        self._metrics.table_version.set_function(lambda: self._member.register.version)
        self._metrics.is_leader.set_function(lambda: int(self._member.is_leader))
        self._metrics.term.set_function(lambda: self._member.term)
        self._metrics.followers.set_function(lambda: self._feed.follower_count)
        self._metrics.members.set_function(lambda: len(self._member.member_addresses))
        self._metrics.members_heard.set_function(lambda: self._member.heard_count)
        self._metrics.member_change.set_function(lambda: int(self._member.is_changing_members))
        self._metrics.log_conflict.set_function(lambda: int(self._member.has_conflict))
        registry.serve(self.loop, config)
        interval_s = config.instance_list.interval_ms / 1000
        self.loop.scheduler.call_every(interval_s, self._read_instances)

    def run(self) -> None:
        """Serve until the process is asked to stop."""
        fields = {"operators": self._front.address, "hall": self._config.hall}
        logger.info("keeper %s serves", self._config.name, extra={"fields": fields})
        self.loop.run()

    def _make_hub_port(self, address: endpoints.Endpoint) -> hub_port.HubPort:
        """Return the hub that exchanges load reports between the entries of this hall."""
        sock = load_socket.LoadSocket(self.loop, address, self._handle_datagram)
        return hub_port.HubPort(
            self.loop.scheduler,
            load_hub.LoadHub(self._config.name, int(time.time() * 1000), self._contents),
            send=sock.send,
            get_hubs=self._get_other_hubs,
            bytes_per_s=self._config.hub_bytes_per_s,
        )

    def _handle_datagram(self, message: shared_load.Message, sender: endpoints.Endpoint) -> None:
        if not isinstance(message, shared_load.Report | shared_load.Totals):
            fields = {"kind": type(message).__name__}
            logger.warning("datagram that is not for a keeper", extra={"fields": fields})
            return
        self._hub_port.handle_datagram(message, sender)
        self._saved_contents.schedule_save()

    def _get_other_hubs(self) -> list[endpoints.Endpoint]:
        own_address = f"{self._config.host}:{self._config.peer_port}"
        others = [address for address in self._member.member_addresses if address != own_address]
        return [endpoints.split(address) for address in others]

    def on_opened(self, session: peer_server.PeerSession) -> None:
        """Do nothing; the peer sends the first message."""

    def on_closed(self, session: peer_server.PeerSession) -> None:
        """Remove the follower whose stream has closed."""
        self._feed.remove_follower(session)

    def on_message(self, session: peer_server.PeerSession, message: messages.Message) -> None:
        """Handle a message from an entry or from another keeper."""
        match message:
            case route_messages.Subscribe():
                self._feed.add_follower(session, message)
            case route_messages.GetRouteTable():
                self._feed.send_table(session, message.digest)
            case route_messages.ForwardTable():
                self._pending_operations.handle_forwarded_table(session, message)
            case route_messages.ForwardHallOrder():
                self._pending_operations.handle_forwarded_hall_order(message)
            case route_messages.ConfirmRead():
                self._pending_operations.handle_confirm_read(session, message)
            case _ if isinstance(message, tuple(consensus_messages.CLASSES.values())):
                self._member.receive(message)
            case _:
                logger.warning("unexpected %s of %s", type(message).__name__, session.name)

    def _handle_request(self, caller: caller_front.Caller) -> None:
        order = self._dialect.read_order(caller.request)
        if order.is_error():
            self._refuse(caller, order.error)
            return
        match order.ok:
            case dialects.PutTable():
                self._put_table(caller, order.ok.document)
            case dialects.SetEvacuation():
                self._set_evacuation(caller, order.ok)
            case dialects.ReadTable():
                self._read_table(caller)

    def _set_evacuation(self, caller: caller_front.Caller, order: dialects.SetEvacuation) -> None:
        start_s = clocks.get_s()

        def _answer(is_sure: bool) -> None:
            took_ms = int((clocks.get_s() - start_s) * 1000)
            fields = {
                "hall": order.hall,
                "is_evacuated": order.is_evacuated,
                "revision": self._member.state.evacuations.revision,
                "acknowledged": is_sure,
                "took_ms": took_ms,
            }
            logger.info("order on a hall answered", extra={"fields": fields})
            self._metrics.orders.labels("acknowledged" if is_sure else "unsure").inc()
            self._metrics.order_ms.observe(took_ms)
            if is_sure:
                state = {"hall": order.hall, "is_evacuated": order.is_evacuated}
                answers.send_json(caller, 200, state)
            else:
                self._send_unsure(caller)

        self._pending_operations.put_hall_order(order.hall, order.is_evacuated, _answer)

    def _put_table(self, caller: caller_front.Caller, document: bytes) -> None:
        decoded = self._dialect.decode_table(document)
        faults = decoded.error if decoded.is_error() else table_checks.check(decoded.ok)
        if faults:
            fields = {"faults": [str(item) for item in faults], "bytes": len(document)}
            logger.info("table refused", extra={"fields": fields})
            self._metrics.orders.labels("refused").inc()
            self._refuse(caller, faults[0])
            return
        version = decoded.ok.version
        start_s = clocks.get_s()

        def _answer(is_sure: bool) -> None:
            fields = {
                "version": version,
                "held_version": self._member.register.version,
                "acknowledged": is_sure,
                "took_ms": int((clocks.get_s() - start_s) * 1000),
            }
            logger.info("table order answered", extra={"fields": fields})
            self._metrics.orders.labels("acknowledged" if is_sure else "unsure").inc()
            self._metrics.order_ms.observe((clocks.get_s() - start_s) * 1000)
            if is_sure:
                answers.send_json(caller, 200, {"version": version})
            else:
                self._send_unsure(caller)

        self._pending_operations.put_table(version, document, _answer)

    def _read_table(self, caller: caller_front.Caller) -> None:
        def _answer(is_sure: bool) -> None:
            register = self._member.register
            fields = {"version": register.version, "sure": is_sure}
            logger.info("table read", extra={"fields": fields})
            self._metrics.reads.labels("answered" if is_sure else "unsure").inc()
            if not is_sure:
                self._send_unsure(caller)
            elif not register.version:
                refusal = fault.Fault(codes.ResultCode.NO_TABLE, "there is no table yet")
                self._refuse(caller, refusal)
            else:
                headers = [("Content-Type", "application/json")]
                caller.send_answer(200, headers, register.document)

        self._pending_operations.confirm_read(_answer)

    def _send_unsure(self, caller: caller_front.Caller) -> None:
        text = "no majority of keepers confirmed this in time"
        refusal = fault.Fault(codes.ResultCode.EDIT_OUTCOME_UNKNOWN, text)
        answers.send_error(
            caller,
            refusal,
            ran=codes.Ran.UNKNOWN,
            request_id="",
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _refuse(self, caller: caller_front.Caller, refusal: fault.Fault) -> None:
        answers.send_error(caller, refusal, ran=codes.Ran.NO, request_id="")

    def _on_change(self) -> None:
        self._feed.broadcast_version()
        self._pending_operations.on_change()

    def _get_keepers(self) -> list[str]:
        return self._member.member_addresses

    def _get_table(self) -> feed.CommittedTable:
        register = self._member.register
        return feed.CommittedTable(
            register.version, register.document, is_confirmed=self._member.has_caught_up
        )

    def _get_evacuations(self) -> evacuations.Evacuations:
        return self._member.state.evacuations

    def _handle_answer(self, message: messages.Message) -> None:
        if isinstance(message, route_messages.KeeperAnswer):
            self._pending_operations.handle_answer(message)
        else:
            logger.warning("unexpected %s of a keeper", type(message).__name__)

    def _read_instances(self) -> None:
        if self._member.is_leader:
            self._reader.read()

    def _handle_instances(self, listed: list[instances.Instance]) -> None:
        self._feed.broadcast_instances(self._member.term, listed)

    def apply_settings(self, config: settings.QuorumKeeperSettings) -> None:
        """Apply the keeper addresses of changed settings."""
        self._config.keepers = config.keepers

    def _begin_stop(self) -> None:
        logger.info("keeper %s stops", self._config.name)
        self._front.close_when_idle()
        self.loop.scheduler.call_every(STOP_CHECK_INTERVAL_S, self._finish_stop)

    def _finish_stop(self) -> None:
        if not self._pending_operations.open_count:
            self._saved_contents.wait_until_synced(STOP_SYNC_TIMEOUT_S)
            self.loop.finish()


def _log_stream_change(address: str, is_up: bool) -> None:
    text = "keeper is reachable" if is_up else "keeper is lost"
    logger.info(text, extra={"fields": {"address": address}})
