"""Handling of a request that another entry serves, because this one cannot reach its service."""

import logging
from collections.abc import Callable

from spoolhead._internal.gateway import (
    exchange,
    exchange_context,
    forwarding,
    routed_job,
    stream_exchange,
)
from spoolhead._internal.models import codes, dialects, fleet, route_table
from spoolhead._internal.network import (
    forward_messages,
    forward_server,
    scheduler,
    upstream_calls,
)
from spoolhead._internal.policy import answer_buffers, answer_end, quarantine, retry_allowance
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

MAX_RETRY_AFTER_MS = 1_000
"""Maximum of Retry-After for a request that no entry can serve: two probes of the service."""
_OK = 200
_UNABLE_CODES = frozenset(
    {
        codes.ResultCode.UPSTREAM_UNREACHABLE,
        codes.ResultCode.STOPPING,
        codes.ResultCode.NO_TABLE,
        codes.ResultCode.TABLE_UNCONFIRMED,
        codes.ResultCode.UNKNOWN_PATH,
        codes.ResultCode.KEY_UNKNOWN,
        codes.ResultCode.KEY_MISSING,
    }
)
"""Results for which another entry is asked. The codes about the table are among them since this
entry's table, by which the request was accepted, may be newer. An entry that reaches the instances
but may send them nothing, for example because they asked for rest, speaks for all entries."""


class ForwardExchange(exchange.Exchange):
    """One request and the entries that are asked to serve it, one after the other.

    It is the listener of its call; a call that was cancelled makes no further callbacks.
    """

    def __init__(
        self,
        job: routed_job.Job,
        caller: forward_server.AnyCaller,
        context: exchange_context.Context,
        on_end: Callable[[exchange.Exchange], None],
    ) -> None:
        super().__init__(job, caller, context, on_end)
        assert context.forwarding is not None
        self._forwarding: forwarding.Forwarding = context.forwarding
        self._ran = job.ran
        self._asked: set[str] = set()
        self._peer: fleet.Process | None = None
        self._call: upstream_calls.UpstreamCall | None = None
        self._accept_timer: scheduler.Timer | None = None
        self._head: dialects.AnswerHead | None = None
        self._result: forward_messages.PeerResult | None = None
        self._body = answer_buffers.AnswerBuffer(self._pause_reading, self._resume_reading)

    @property
    def has_sent(self) -> bool:
        """Whether another entry may have the whole request."""
        return self._call is not None and self._call.may_have_arrived

    def begin(self) -> None:
        """Ask the first entry, unless the content is quarantined for crashing instances.

        A trial of a quarantined content is left to the entry that runs the request.
        """
        if self._context.contents.evaluate(self.job.keys) is quarantine.Verdict.REFUSE:
            self.reject_held()
        else:
            self.start()

    def start(self) -> None:
        """Ask the next entry, or refuse the request if none is left to ask."""
        peer = self._forwarding.peers.choose(
            self.job.service.name,
            asked=self._asked,
            silent_halls=self._forwarding.get_silent_halls(),
            now_s=clocks.get_s(),
        )
        if peer is None:
            self._refuse_unreached()
        else:
            self._send(peer)

    def release(self) -> None:
        """Cancel the call."""
        if self._accept_timer is not None:
            self._accept_timer.cancel()
        if self._peer is not None:
            self._forwarding.peers.record_ended(self._peer.name)
            self._peer = None
        if self._call is not None and not self._call.is_over:
            self._call.cancel()
        self._discard_body()

    def end(self, outcome: str = "answered") -> None:
        """End the exchange; see :meth:`exchange.Exchange.end`."""
        if not self.is_over:
            self._context.metrics.forwarded_requests.labels(outcome).inc()
        super().end(outcome)

    def handle_service_lost(self) -> None:
        """Do nothing: the request does not depend on this entry's own connections."""

    def reject_held(self) -> None:
        """Refuse a request with quarantined content; one that was sent is left to its entry."""
        if not self.has_sent:
            super().reject_held()

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        """Handle the head of the answer."""
        try:
            self._result = forward_messages.read_result(headers)
        except ValueError as error:
            self._fail_lost(f"result is not readable: {error}")
            return
        self._head = self._context.dialect.read_answer(status, headers)
        self._head.headers = [
            item for item in self._head.headers if item[0] != forward_messages.RESULT_HEADER
        ]
        if self._head.request_id not in ("", self.job.head.request_id):
            self._fail_lost("the answer belongs to another request")

    def on_answer_body(self, data: bytes) -> None:
        """Pass on a part of a stream, or buffer a part of another answer."""
        if self.is_over or self._head is None:
            return
        if self._is_stream():
            self._pass_on(self._head, data)
            return
        self._context.bodies.answers.add(self._body, data)
        if len(self._body.data) > self._context.config.upstreams.answer_bytes:
            self._ran = codes.Ran.YES
            self.fail(codes.ResultCode.ANSWER_TOO_LARGE, "the answer is too large")

    def on_answer_end(self) -> None:
        """Handle the end of the answer."""
        if self.is_over or self._head is None:
            return
        if not self._is_complete():
            self.on_call_lost(answer_end.BROKEN_OFF_TEXT)
            return
        result = self._result
        if result is not None and self._is_unable(result):
            self._ask_next(result.code.name.lower(), is_unable=True)
        elif result is not None and result.ran is codes.Ran.NO and self._ran is not codes.Ran.NO:
            self._fail_lost(f"an earlier attempt was lost; then {result.code.name.lower()}")
        elif self._is_stream():
            self._finish_stream(self._head)
        else:
            self._deliver(self._head)

    def on_call_lost(self, reason: str) -> None:
        """Handle the loss of the connection; what may have run is repeated only if it may be."""
        if not self.has_sent:
            self._ask_next(reason, is_unable=True)
        elif self._may_repeat():
            self._ran = codes.Ran.UNKNOWN
            self.job.attempts += 1
            self._ask_next(reason, is_unable=False)
        else:
            self._fail_lost(reason)

    def _send(self, peer: fleet.Process) -> None:
        self._asked.add(peer.name)
        self._peer = peer
        self._forwarding.peers.record_sent(peer.name)
        self._discard_body()
        item = forward_messages.ForwardedRequest(
            sender=self._context.config.name,
            request=self.caller.request,
            remaining_ms=self.remaining_ms,
            attempts=self.job.attempts,
            is_counted=self.job.is_counted,
        )
        fields = {**self.get_log_fields(), "peer": peer.name, "peer_hall": peer.hall}
        fields["remaining_ms"] = item.remaining_ms
        logger.info("request forwarded", extra={"fields": fields})
        if self.job.granted_repeats:
            self._context.allowances.record_sent(
                self.job, retry_allowance.RepeatReason.FORWARD, self.get_log_fields()
            )
        self._call = self._forwarding.open_call(peer, item, self)
        self._accept_timer = self._context.timers.call_later(
            forwarding.ACCEPT_TIMEOUT_S, self._check_accepted
        )

    def _check_accepted(self) -> None:
        call = self._call
        if self.is_over or call is None or call.is_over or call.may_have_arrived:
            return
        call.cancel()
        self._ask_next("not accepted in time", is_unable=True)

    def _ask_next(self, reason: str, *, is_unable: bool) -> None:
        """Ask another entry after one that did not serve the request.

        :param is_unable: whether that entry is not asked again for a while.
        """
        peer = self._peer
        assert peer is not None
        fields = {**self.get_log_fields(), "peer": peer.name, "reason": reason}
        logger.info("peer did not serve the request", extra={"fields": fields})
        if is_unable:
            service = self.job.service.name
            self._forwarding.peers.record_unable(service, peer.name, clocks.get_s())
        self.release()
        self._call = None
        self.start()

    def _is_unable(self, result: forward_messages.PeerResult) -> bool:
        return result.ran is codes.Ran.NO and result.code in _UNABLE_CODES

    def _may_repeat(self) -> bool:
        if self.job.route.kind is not route_table.RequestKind.REPEATABLE:
            return False
        if self.caller.is_started or self.job.attempts + 1 >= self.job.route.attempts:
            return False
        if self._context.contents.is_suspect(self.job.keys):
            return False
        return self.try_acquire_repeat(retry_allowance.RepeatReason.FORWARD)

    def _refuse_unreached(self) -> None:
        peers = self._forwarding.peers
        retry_after_ms = peers.get_retry_after_ms(self.job.service.name, clocks.get_s())
        # This entry itself may reach the service again before another one is asked.
        retry_after_ms = min(retry_after_ms, MAX_RETRY_AFTER_MS)
        code = codes.ResultCode.NO_UPSTREAM
        if self._ran is not codes.Ran.NO:
            code = codes.ResultCode.UPSTREAM_LOST
        self.fail(
            code,
            f"no entry that was asked reaches {self.job.service.name}",
            retry_after_ms=max(exchange.RETRY_AFTER_MS, retry_after_ms),
        )

    def _is_complete(self) -> bool:
        """Return whether the answer has the framing and the end that entries give each answer."""
        assert self._call is not None
        outcome = self._call.decide_outcome(answer_end.Content.OPAQUE)
        return outcome is answer_end.Outcome.COMPLETE

    def _is_stream(self) -> bool:
        """Return whether the answer is an instance's event stream."""
        head = self._head
        return (
            head is not None
            and self._result is None
            and self.job.route.kind is route_table.RequestKind.STREAM
            and head.status == _OK
            and head.is_signed
        )

    def _pass_on(self, head: dialects.AnswerHead, data: bytes) -> None:
        self._ran = codes.Ran.YES
        if not self.caller.is_started:
            self.caller.start_stream(head.status, head.headers, data)
            return
        unsent_bytes = self.caller.send_body_part(data)
        if unsent_bytes > stream_exchange.MAX_UNREAD_BYTES:
            text = f"the caller left {unsent_bytes} bytes unread"
            self.fail(codes.ResultCode.CALLER_TOO_SLOW, text)

    def _finish_stream(self, head: dialects.AnswerHead) -> None:
        if not self.caller.is_started:
            self._pass_on(head, b"")
        self.caller.end_stream()
        self._end_answered(head)

    def _deliver(self, head: dialects.AnswerHead) -> None:
        self._ran = self._result.ran if self._result is not None else codes.Ran.YES
        body = self._context.bodies.answers.take(self._body)
        self.caller.send_answer(head.status, head.headers, body)
        self._end_answered(head)

    def _pause_reading(self) -> None:
        if self._call is not None:
            self._call.pause_reading()

    def _resume_reading(self) -> None:
        if self._call is not None:
            self._call.resume_reading()

    def _discard_body(self) -> None:
        self._context.bodies.answers.take(self._body)

    def _end_answered(self, head: dialects.AnswerHead) -> None:
        if self.is_over:
            # The caller was dropped.
            return
        assert self._peer is not None
        self._forwarding.peers.record_served(self.job.service.name, self._peer.name, clocks.get_s())
        fields = {**self.get_log_fields(), "peer": self._peer.name, "status": head.status}
        if self._result is None:
            logger.info("answered", extra={"fields": fields})
            self.end()
            return
        outcome = "refused" if self._ran is codes.Ran.NO else "failed"
        fields |= {"code": int(self._result.code), "ran": self._ran.value}
        logger.info(outcome, extra={"fields": fields})
        self.end(outcome)

    def _fail_lost(self, reason: str) -> None:
        if self._ran is codes.Ran.NO:
            self._ran = codes.Ran.UNKNOWN
        self.fail(codes.ResultCode.UPSTREAM_LOST, reason)
