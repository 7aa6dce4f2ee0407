"""Handling of plain requests; answers are buffered so that failed attempts can be repeated."""

import logging
from collections.abc import Callable

from spoolhead._internal.gateway import attempts, exchange, exchange_context, routed_job
from spoolhead._internal.models import codes, dialects, route_table
from spoolhead._internal.network import forward_server, upstream_calls
from spoolhead._internal.policy import answer_end, retry_allowance, upstream_registry
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

_SUCCESS = range(200, 300)
_SERVER_ERRORS = range(500, 600)


class PlainExchange(exchange.Exchange):
    """One plain request, which is either repeatable or runs at most once."""

    _last_server_error: attempts.Attempt | None = None

    def __init__(
        self,
        job: routed_job.Job,
        caller: forward_server.AnyCaller,
        context: exchange_context.Context,
        on_end: Callable[[exchange.Exchange], None],
    ) -> None:
        super().__init__(job, caller, context, on_end)
        self._attempt_count = job.attempts

    def start(self) -> None:
        """Make an attempt at the best instance that was not tried yet."""
        if self.reject_if_held():
            return
        if self._last_server_error is None and self.leave_if_unreachable():
            return
        choice = self.choose(0)
        if self.request_permit_if_limited(choice):
            return
        self.log_choice("attempt", choice)
        if choice.upstream is None:
            if self._last_server_error is not None:
                self._deliver(self._last_server_error)
            else:
                self.fail_without_upstream(choice)
            return
        upstream = choice.upstream
        attempt = self._attempt = attempts.Attempt(self, upstream)
        self._attempt_count += 1
        self._tried_ids.add(upstream.instance.incarnation_id)
        request_id = self.job.head.request_id
        upstream.in_flight[request_id] = upstream_registry.InFlightRequest(
            request_id, 0, prefill_tokens=0
        )
        self._context.on_change()
        parameters = dialects.AttemptParameters(
            instance_id=upstream.instance.instance_id,
            remaining_ms=self.remaining_ms,
            workspace=self.job.workspace_name,
        )
        attempt.call = self.send_attempt(upstream, attempt, parameters)

    def count_attempts(self) -> int:
        """Return the number of attempts that reached an instance."""
        is_connecting = self._attempt is not None and not self.has_sent
        return self._attempt_count - is_connecting

    def on_permit(self) -> None:
        """Make the attempt, at this or another instance."""
        self.start()

    def release(self) -> None:
        """Cancel the current attempt and discard the answer of an earlier one."""
        self.cancel_attempt()
        if self._last_server_error is not None:
            super().discard_body(self._last_server_error)

    def discard_body(self, attempt: attempts.Attempt) -> None:
        """Discard what is buffered of an answer, unless it may still be delivered."""
        if attempt is not self._last_server_error or self.is_over:
            super().discard_body(attempt)

    def handle_head(
        self, attempt: attempts.Attempt, status: int, headers: upstream_calls.Headers
    ) -> None:
        """Handle the head of an attempt's answer, with which the answer begins."""
        attempt.begun_s = clocks.get_s()
        super().handle_head(attempt, status, headers)

    def handle_body(self, attempt: attempts.Attempt, data: bytes) -> None:
        """Buffer a part of an attempt's answer; fail if it grows too large."""
        if attempt is self._attempt:
            self.buffer_body(attempt, data)

    def get_content(self, attempt: attempts.Attempt) -> answer_end.Content:
        """Return what the body shows of its end, if its framing does not show it."""
        assert attempt.call is not None
        assert attempt.head is not None
        return answer_end.get_body_content(
            attempt.call.framing, (attempt.body.data,), attempt.head.headers
        )

    def handle_unknown_end(self, attempt: attempts.Attempt) -> None:
        """Make another attempt, if the request may be repeated."""
        self._retry(codes.ResultCode.UPSTREAM_LOST, answer_end.UNKNOWN_TEXT)

    def handle_complete(self, attempt: attempts.Attempt, head: dialects.AnswerHead) -> None:
        """Deliver a complete answer, or retry if the answer is not usable."""
        if head.request_id and head.request_id != self.job.head.request_id:
            self._retry(codes.ResultCode.UPSTREAM_LOST, "the answer belongs to another request")
        elif head.has_not_run:
            attempt.upstream.record_answer()
            if self.is_replaced(attempt):
                # The request did not reach its instance, so the attempt does not count.
                self._attempt_count -= 1
            self._retry(codes.ResultCode.UPSTREAM_REFUSED, "not run", has_run=False)
        elif head.status in _SUCCESS and (not head.is_signed or head.is_encoded):
            self._retry(codes.ResultCode.UPSTREAM_LOST, "the answer is not the upstream's own")
        elif head.status in _SERVER_ERRORS:
            attempt.upstream.record_answer()
            if self._last_server_error is not None:
                super().discard_body(self._last_server_error)
            self._last_server_error = attempt
            self._retry(codes.ResultCode.UPSTREAM_LOST, f"status {head.status}")
        else:
            attempt.upstream.record_answer()
            self._deliver(attempt)

    def handle_loss(self, attempt: attempts.Attempt, reason: str) -> None:
        """Handle the loss of an attempt's connection."""
        if attempt is not self._attempt:
            return
        assert attempt.call is not None
        arrived = attempt.call.may_have_arrived
        self.record_loss(attempt, reason)
        if self.is_over:
            # This loss caused the content to be held, which ended the exchange.
            return
        code = codes.ResultCode.UPSTREAM_LOST if arrived else codes.ResultCode.UPSTREAM_UNREACHABLE
        self._retry(code, reason, has_run=arrived)

    def _retry(self, code: codes.ResultCode, text: str, *, has_run: bool = True) -> None:
        attempt = self._attempt
        assert attempt is not None and attempt.call is not None
        if has_run:
            self._ran = codes.Ran.UNKNOWN
        arrived = attempt.call.may_have_arrived
        if not arrived:
            self._attempt_count -= 1
        fields = {
            **self.get_log_fields(),
            **attempt.get_log_fields(),
            "upstream": attempt.upstream.instance.incarnation_id,
            "code": int(code),
            "reason": text,
        }
        logger.info("attempt failed", extra={"fields": fields})
        self.cancel_attempt()
        if self._may_retry(arrived):
            self.start()
        elif self._last_server_error is not None:
            self._deliver(self._last_server_error)
        else:
            self.fail(code, text)

    def _may_retry(self, arrived: bool) -> bool:
        kind = self.job.route.kind
        if kind is not route_table.RequestKind.REPEATABLE and self._ran is not codes.Ran.NO:
            return False
        if not arrived:
            return True
        if self._context.contents.is_suspect(self.job.keys):
            # The request may crash the next instance as well.
            return False
        if self._attempt_count >= self.job.route.attempts:
            return False
        return self.try_acquire_repeat(retry_allowance.RepeatReason.RETRY)

    def _deliver(self, attempt: attempts.Attempt) -> None:
        head = attempt.head
        assert head is not None
        self._ran = codes.Ran.YES
        self.record_whole_answer(attempt, head.status)
        body = self._context.bodies.answers.take(attempt.body)
        self.caller.send_answer(head.status, head.headers, body)
        if self.is_over:
            # The caller was dropped.
            return
        fields = {
            **self.get_log_fields(),
            **attempt.get_log_fields(),
            "upstream": attempt.upstream.instance.incarnation_id,
            "status": head.status,
            "attempts": self._attempt_count,
            "is_late": self.is_late(),
        }
        logger.info("answered", extra={"fields": fields})
        self.end()
