"""Turns requests of callers and of other entries into exchanges, or refuses them."""

import logging
from collections.abc import Callable

from spoolhead._internal.gateway import (
    exchange,
    exchange_context,
    forward_exchange,
    plain_exchange,
    refusals,
    routed_job,
    stream_exchange,
    table_feed,
)
from spoolhead._internal.models import codes, dialects, fault, request_keys, route_table
from spoolhead._internal.network import caller_front, forward_messages, forward_server
from spoolhead._internal.policy import request_content
from spoolhead._internal.routing import matcher

logger = logging.getLogger(__name__)


class RequestIntake:
    """Matches requests to routes and begins their exchanges.

    :param context: components that all exchanges of the entry share.
    :param feed: the source of the route table.
    :param exchanges: the current exchanges; kept up to date.
    :param get_table: returns the route table in force.
    :param is_serving: returns whether the entry has become ready to serve.
    :param is_stopping: returns whether the entry has been asked to stop.
    """

    def __init__(
        self,
        context: exchange_context.Context,
        feed: table_feed.TableFeed,
        exchanges: set[exchange.Exchange],
        *,
        get_table: Callable[[], matcher.Matcher | None],
        is_serving: Callable[[], bool],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._context = context
        self._feed = feed
        self._exchanges = exchanges
        self._get_table = get_table
        self._is_serving = is_serving
        self._is_stopping = is_stopping

    def serve_caller(self, caller: caller_front.Caller) -> None:
        """Serve a caller's request, by way of another entry if this one cannot."""
        job = self._make_job(caller)
        if job is None:
            return
        forwarding = self._context.forwarding
        if forwarding is not None and forwarding.is_needed(job.service.name):
            self.forward(job, caller)
        else:
            self._serve(job, caller)

    def serve_forwarded(
        self,
        caller: forward_server.ForwardedCaller,
        forwarded: forward_messages.ForwardedRequest,
    ) -> None:
        """Serve a request that another entry has forwarded."""
        if self._is_stopping():
            self.refuse(caller, "", fault.Fault(codes.ResultCode.STOPPING, "this entry stops"))
            return
        job = self._make_job(caller, wait_ms=forwarded.remaining_ms)
        if job is None:
            return
        job.forwarded_by = forwarded.sender
        job.attempts = forwarded.attempts
        job.is_counted = forwarded.is_counted
        fields = {
            "request": job.head.request_id,
            "peer": forwarded.sender,
            "attempts": job.attempts,
            "remaining_ms": forwarded.remaining_ms,
        }
        logger.info("forwarded request received", extra={"fields": fields})
        self._serve(job, caller)

    def forward(self, job: routed_job.Job, caller: forward_server.AnyCaller) -> None:
        """Have another entry serve a request, which is counted here only."""
        self._context.allowances.count_request(job)
        self._begin(forward_exchange.ForwardExchange, job, caller)

    def reject_held(self, key: bytes) -> None:
        """Refuse all current requests that are held from now on because of one of their keys."""
        for handler in list(self._exchanges):
            keys = handler.job.keys
            if key in keys.all and self._context.contents.is_held(keys):
                handler.reject_held()

    def handle_service_lost(self, service: str) -> None:
        """Have other entries serve the requests of a service that is out of reach from now on."""
        for handler in list(self._exchanges):
            if handler.job.service.name == service:
                handler.handle_service_lost()

    def refuse(self, caller: forward_server.AnyCaller, request_id: str, item: fault.Fault) -> None:
        """Refuse a request that no exchange was begun for."""
        status = refusals.send(
            caller,
            self._context.dialect,
            item,
            ran=codes.Ran.NO,
            request_id=request_id,
            retry_after_ms=exchange.RETRY_AFTER_MS,
        )
        table = self._get_table()
        fields = {
            "request": request_id,
            "code": int(item.code),
            "reason": item.text,
            "status": status,
            "table_version": table.version if table is not None else 0,
            "taken_version": self._feed.version,
        }
        logger.info("refused", extra={"fields": fields})

    def refuse_unread(self, caller: forward_server.AnyCaller, item: fault.Fault) -> None:
        """Refuse a request that could not be received whole."""
        decoded = self._context.dialect.read_request(caller.request)
        request_id = decoded.ok.request_id if decoded.is_ok() else ""
        self.refuse(caller, request_id, item)

    def _make_job(
        self, caller: forward_server.AnyCaller, *, wait_ms: int | None = None
    ) -> routed_job.Job | None:
        """Return a request with its route, or refuse it and return None.

        :param wait_ms: time until its deadline; None for the one that the request states.
        """
        decoded = self._context.dialect.read_request(caller.request)
        if decoded.is_error():
            self.refuse(caller, "", decoded.error)
            return None
        head = decoded.ok
        if wait_ms is not None:
            head.wait_ms = wait_ms
        matched = self._match(head, caller)
        if isinstance(matched, fault.Fault):
            self.refuse(caller, head.request_id, self._adjust_refusal(matched))
            return None
        return matched

    def _serve(self, job: routed_job.Job, caller: forward_server.AnyCaller) -> None:
        self._context.allowances.count_request(job)
        is_stream = job.route.kind is route_table.RequestKind.STREAM
        exchange_class = (
            stream_exchange.StreamExchange if is_stream else plain_exchange.PlainExchange
        )
        self._begin(exchange_class, job, caller)

    def _begin(
        self,
        exchange_class: type[exchange.Exchange],
        job: routed_job.Job,
        caller: forward_server.AnyCaller,
    ) -> None:
        handler = exchange_class(job, caller, self._context, self._exchanges.discard)
        self._exchanges.add(handler)
        handler.begin()

    def _match(
        self, head: dialects.RequestHead, caller: forward_server.AnyCaller
    ) -> routed_job.Job | fault.Fault:
        table = self._get_table()
        if table is None or not self._is_serving():
            return fault.Fault(codes.ResultCode.NO_TABLE, "this entry has no table yet")
        path = caller.request.target.partition("?")[0]
        route = table.find_route(head.host, path)
        if route is None:
            return fault.Fault(codes.ResultCode.UNKNOWN_PATH, "no route leads there")
        workspace = table.get_owner(head.api_key) if head.api_key else None
        if table.needs_key(route) and workspace is None:
            code = codes.ResultCode.KEY_UNKNOWN if head.api_key else codes.ResultCode.KEY_MISSING
            return fault.Fault(code, "the API key belongs to no workspace")
        service = table.get_service(matcher.choose_service(route, self._context.rng))
        assert service is not None
        workspace_name = workspace.name if workspace is not None else ""
        content_id = request_content.get_content_id(caller.request, head.host, workspace_name)
        keys = request_keys.RequestKeys(content_id, _get_part_keys(head, service))
        tightest_ms = table.get_tightest_objective_ms(service.name)
        return routed_job.Job(head, route, service, workspace, table.version, keys, tightest_ms)

    def _adjust_refusal(self, item: fault.Fault) -> fault.Fault:
        """Return the fault to send for a request that the table refuses.

        Callers treat such a refusal as final, but the route may be new. If the entry cannot confirm
        that its table is the newest, it therefore reports this instead, so that callers retry or
        use another hall.
        """
        if item.code is codes.ResultCode.NO_TABLE or self._feed.is_sure:
            return item
        return fault.make_unconfirmed_fault(item)


def _get_part_keys(head: dialects.RequestHead, service: route_table.Service) -> dict[bytes, str]:
    generation = head.generation
    if generation is None:
        return {}
    return request_content.get_part_keys(service.name, generation.model, generation.shared_part_ids)
