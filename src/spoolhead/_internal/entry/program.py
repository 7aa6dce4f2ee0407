"""The entry program: creates its components, connects them and runs them."""

import logging
import pathlib
import secrets
from collections.abc import Sequence

from spoolhead._internal.entry import (
    answers,
    api,
    control,
    decision_history,
    dispatcher,
    held_contents,
    keeper_link,
    load_reports,
    neighbours,
    once_requests,
)
from spoolhead._internal.models import codes, fault, settings
from spoolhead._internal.network import (
    body_admission,
    caller_front,
    links,
    loop,
    peer_server,
    upstream_calls,
)
from spoolhead._internal.policy import body_budget, policy_set
from spoolhead._internal.table import view
from spoolhead._internal.utils import clocks, metrics

logger = logging.getLogger(__name__)

STOP_RETRY_AFTER_MS = 1_000
UNCONFIRMED_RETRY_AFTER_MS = 1_000
"""``Retry-After`` while no keeper confirms the table. The entry finds a running keeper within the
maximum reconnect delay of two seconds."""
STOP_CHECK_S = 0.05
STOP_CONFIRM_S = 2.0
"""Maximum wait, after all requests have ended, for a keeper to confirm finished claims."""


class Entry:
    """The components of one entry process.

    :param config: the entry's settings.
    :param policies: admission, placement, pace and retry policies.
    """

    def __init__(self, config: settings.EntrySettings, policies: policy_set.PolicySet) -> None:
        self._config = config
        self._is_stopping = False
        self._started_s = clocks.get_s()
        self._idle_since_s = self._started_s
        self._loop = loop.Loop(self._begin_stop)
        self._metrics = metrics.Metrics()
        self._table = view.TableView()
        outgoing = links.Links(self._loop, channel="links").register(self._loop)
        calls = upstream_calls.UpstreamCalls(self._loop, outgoing, config.upstreams)
        self._decisions = decision_history.DecisionHistory(config, self._metrics, clocks.get_s)
        self._contents = held_contents.HeldContents(
            config.name,
            calls,
            self._loop.scheduler,
            probe_path=load_reports.REPORT_PATH,
            send_records=lambda records: self._keeper.send_contents(records),
            on_held=lambda key: self._dispatcher.reject_held(key),
            folder=pathlib.Path(config.data_dir) if config.data_dir is not None else None,
        )
        self._dispatcher = dispatcher.Dispatcher(
            self._loop,
            config,
            self._table,
            calls,
            self._metrics,
            policies,
            self._decisions,
            self._contents,
        )
        self._neighbours = neighbours.Neighbours(
            self._loop,
            outgoing,
            config,
            lambda reports: self._reports.handle_neighbour_report(reports),
        )
        self._reports = load_reports.LoadReports(
            self._loop,
            config.upstreams,
            calls,
            self._dispatcher,
            self._neighbours,
            self._metrics,
            config.hall,
        )
        self._control = peer_server.PeerServer(
            self._loop,
            (config.control_host, config.control_port),
            name=config.name,
            shared_key=config.shared_key,
            service=control.ControlService(self._decisions, self._neighbours, self.get_status),
        ).register(self._loop)
        self._keeper = keeper_link.KeeperLink(
            self._loop, outgoing, config, self._table, self, self._control.address
        )
        self._once = once_requests.OnceRequests(self._dispatcher, self._decisions, self._keeper)
        self._dispatcher.update_upstreams()
        self._front = caller_front.CallerFront(
            self._loop,
            config,
            on_request=self._handle_request,
            on_bad_request=self._refuse_malformed,
            bodies=body_admission.BodyAdmission(
                body_budget.BodyBudget(config.callers.held_bytes), lambda _wire: None
            ),
        ).register(self._loop)
        if config.statsd is not None:
            self._send_metrics(config.statsd)

    def run(self) -> None:
        """Serve until a stop is requested and all requests in flight have ended."""
        fields = {
            "callers": self._front.address,
            "control": self._control.address,
            "hall": self._config.hall,
        }
        logger.info("entry %s serves", self._config.name, extra={"fields": fields})
        self._loop.run()

    def on_table(self) -> None:
        """Apply a new version of the table."""
        self._dispatcher.update_upstreams()

    def on_members(self, members: Sequence[neighbours.Member]) -> None:
        """Apply the set of entries that share the upstreams."""
        self._dispatcher.set_entry_count(len(members))
        self._neighbours.set_members(members)

    def on_keeper_ready(self) -> None:
        """Send all records of suspect contents to a newly connected keeper, which may lack them."""
        self._keeper.send_contents(self._contents.get_all())

    def on_contents(self, records: held_contents.Records) -> None:
        """Merge records of contents that may crash upstreams, relayed by a keeper."""
        self._contents.merge_records(self._keeper.keeper_address, records)

    def get_status(self) -> control.Status:
        """Return the entry's status, for operators."""
        now_s = clocks.get_s()
        upstreams = [
            {
                "name": replica.name,
                "hall": replica.row.hall,
                "service": replica.row.service,
                "state": "evacuated" if replica.is_evacuated else str(replica.row.state),
                "ejected": replica.health.is_ejected(now_s),
                "running_here": len(replica.running),
                "running": replica.report.running if replica.report else None,
                "waiting": replica.report.waiting if replica.report else None,
                "kv_used_tokens": replica.report.kv_used_tokens if replica.report else None,
                "kv_capacity_tokens": (
                    replica.report.kv_capacity_tokens if replica.report else None
                ),
                "preemptions": replica.report.preemptions if replica.report else None,
                "planning_limit": round(replica.operating_point.limit, 3),
                "reports_fetched_here": self._reports.fetched_counts.get(replica.name, 0),
                "has_fresh_report": replica.has_fresh_report(now_s),
            }
            for replica in self._dispatcher.upstreams
        ]
        return {
            "role": "entry",
            "name": self._config.name,
            "hall": self._config.hall,
            "ready": self._is_ready,
            "stopping": self._is_stopping,
            "version": self._table.version,
            "keeper": self._keeper.keeper_address,
            "keeper_connected": self._keeper.is_connected,
            "table_unconfirmed_ms": self._keeper.unconfirmed_ms,
            "running": self._dispatcher.running_count,
            "waiting": self._dispatcher.request_count - self._dispatcher.running_count,
            "connections": self._front.connection_count,
            "held_contents": self._contents.held_count,
            "exceptions": self._loop.exceptions,
            "uptime_ms": int((now_s - self._started_s) * 1000),
            "upstreams": upstreams,
        }

    @property
    def _is_ready(self) -> bool:
        return self._table.version > 0 and not self._is_stopping

    def _handle_request(self, caller: caller_front.Caller) -> None:
        now_s = clocks.get_s()
        request_id = f"{self._config.name}-{secrets.token_hex(8)}"
        path = api.get_path(caller.request)
        if path in (api.LIVE_PATH, api.READY_PATH):
            self._answer_probe(caller, path, request_id)
            return
        self._metrics.increment(metrics.Metric.REQUESTS)
        cause = self._get_availability_fault()
        if cause is not None:
            self._refuse(caller, request_id, "", cause, now_s, STOP_RETRY_AFTER_MS)
            return
        workspace = api.get_workspace(caller.request, self._table)
        if workspace.is_error():
            self._refuse_by_table(caller, request_id, "", workspace.error, now_s)
        elif path == api.MODELS_PATH or path.startswith(f"{api.MODELS_PATH}/"):
            self._answer_models(caller, workspace.ok, path, request_id, now_s)
        else:
            self._handle_service_request(caller, workspace.ok, request_id, now_s)

    def _handle_service_request(
        self, caller: caller_front.Caller, workspace: str, request_id: str, now_s: float
    ) -> None:
        context = api.ParseContext(
            request_id=request_id, now_s=now_s, shared_key=self._config.shared_key
        )
        parsed = api.parse(caller.request, workspace, self._table, context)
        if parsed.is_error():
            self._refuse_by_table(caller, request_id, workspace, parsed.error, now_s)
        elif parsed.ok.once_key:
            self._once.submit(parsed.ok, caller)
        else:
            self._dispatcher.submit(parsed.ok, caller)

    def _get_availability_fault(self) -> fault.Fault | None:
        if self._is_stopping:
            return fault.Fault(codes.ResultCode.STOPPING, "this entry is stopping")
        if not self._table.version:
            return fault.Fault(codes.ResultCode.NO_TABLE, "this entry has no table yet")
        return None

    def _answer_probe(self, caller: caller_front.Caller, path: str, request_id: str) -> None:
        if caller.request.method not in ("GET", "HEAD"):
            cause = fault.Fault(codes.ResultCode.METHOD_NOT_ALLOWED, f"{path} takes GET")
            answers.send_error(caller, cause, ran=codes.Ran.NO, request_id=request_id)
        elif path == api.LIVE_PATH:
            answers.send_json(caller, 200, {"live": True})
        else:
            detail = {
                "ready": self._is_ready,
                "stopping": self._is_stopping,
                "version": self._table.version,
                "keeper_connected": self._keeper.is_connected,
                "table_unconfirmed_ms": self._keeper.unconfirmed_ms,
            }
            answers.send_json(caller, 200 if self._is_ready else 503, detail)

    def _answer_models(
        self,
        caller: caller_front.Caller,
        workspace: str,
        path: str,
        request_id: str,
        now_s: float,
    ) -> None:
        if caller.request.method not in ("GET", "HEAD"):
            cause = fault.Fault(codes.ResultCode.METHOD_NOT_ALLOWED, f"{path} takes GET")
            answers.send_error(caller, cause, ran=codes.Ran.NO, request_id=request_id)
            return
        names = self._table.workspaces[workspace].models
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "spoolhead"} for name in names
        ]
        wanted = path.removeprefix(api.MODELS_PATH).removeprefix("/")
        if not wanted:
            answers.send_json(caller, 200, {"object": "list", "data": models})
        elif wanted in names:
            answers.send_json(caller, 200, models[names.index(wanted)])
        else:
            cause = fault.Fault(codes.ResultCode.UNKNOWN_MODEL, f"no model is named {wanted}")
            self._refuse_by_table(caller, request_id, workspace, cause, now_s)

    def _refuse_by_table(
        self,
        caller: caller_front.Caller,
        request_id: str,
        workspace: str,
        cause: fault.Fault,
        now_s: float,
    ) -> None:
        """Refuse a request for a cause that may depend on the table.

        Callers treat such a refusal as final. While no keeper confirms the table, for example after
        a start from the saved copy, the key or model may exist in a newer version, so the caller
        is asked to retry instead.
        """
        if cause.code in codes.TABLE_REFUSALS and self._keeper.unconfirmed_ms:
            unconfirmed = fault.make_unconfirmed_fault(cause)
            after_ms = UNCONFIRMED_RETRY_AFTER_MS
            self._refuse(caller, request_id, workspace, unconfirmed, now_s, after_ms)
        else:
            self._refuse(caller, request_id, workspace, cause, now_s)

    def _refuse(
        self,
        caller: caller_front.Caller,
        request_id: str,
        workspace: str,
        cause: fault.Fault,
        now_s: float,
        retry_after_ms: int | None = None,
    ) -> None:
        self._decisions.record_refusal(request_id, workspace, cause, now_s)
        answers.send_error(
            caller,
            cause,
            ran=codes.Ran.NO,
            request_id=request_id,
            retry_after_ms=retry_after_ms,
        )

    def _refuse_malformed(self, caller: caller_front.Caller, cause: fault.Fault) -> None:
        request_id = f"{self._config.name}-{secrets.token_hex(8)}"
        self._refuse(caller, request_id, "", cause, clocks.get_s())

    def _begin_stop(self) -> None:
        self._is_stopping = True
        self._idle_since_s = clocks.get_s()
        logger.info("stopping with %d requests in flight", self._dispatcher.request_count)
        self._loop.scheduler.call_every(STOP_CHECK_S, self._finish_stop)

    def _finish_stop(self) -> None:
        if self._dispatcher.request_count or self._once.claiming_count:
            self._idle_since_s = clocks.get_s()
            return
        waited_s = clocks.get_s() - self._idle_since_s
        if self._keeper.unconfirmed_count and waited_s < STOP_CONFIRM_S:
            return
        self._front.close_when_idle()
        if not self._front.connection_count:
            self._loop.finish()

    def _send_metrics(self, config: settings.StatsdSettings) -> None:
        sender = metrics.Sender(config, self._metrics)

        def _send() -> None:
            set_gauge = self._metrics.set_gauge
            set_gauge(metrics.Metric.RUNNING, self._dispatcher.running_count)
            waiting = self._dispatcher.request_count - self._dispatcher.running_count
            set_gauge(metrics.Metric.WAITING, waiting)
            set_gauge(metrics.Metric.CONNECTIONS, self._front.connection_count)
            set_gauge(metrics.Metric.TABLE_VERSION, self._table.version)
            set_gauge(metrics.Metric.KEEPER_CONNECTED, int(self._keeper.is_connected))
            set_gauge(metrics.Metric.EXCEPTIONS, self._loop.exceptions)
            sender.send()

        self._loop.scheduler.call_every(config.interval_ms / 1000, _send)


def run(config: settings.EntrySettings) -> None:
    """Run an entry until a stop is requested.

    :param config: the entry's settings.
    :raises exceptions.SpoolheadError: if the entry cannot start.
    """
    Entry(config, policy_set.PolicySet()).run()
