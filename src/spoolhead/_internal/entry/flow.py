"""Runs one request, from its first attempt at an upstream to the end of its answer.

A flow makes attempts and relays their answers to the caller. After a failed attempt,
:mod:`~spoolhead._internal.policy.retry` decides the next step. A flow uses sockets and the clock
only through :class:`~spoolhead._internal.entry.flow_context.FlowContext`, so that tests can replace
them with fakes.
"""

import logging

from spoolhead._internal.entry import answers, api, flow_attempt, flow_context, relayed_answers
from spoolhead._internal.models import codes, fault, requests, sent_run
from spoolhead._internal.network import caller_front, links, upstream_calls
from spoolhead._internal.policy import (
    answer_end,
    placement,
    quarantine,
    replicas,
    retry,
    sound_runs,
)
from spoolhead._internal.relay import sequencer, stream_relay
from spoolhead._internal.utils import decimals, metrics

logger = logging.getLogger(__name__)

RETRY_AFTER_MS = 1_000
"""``Retry-After`` of a request that failed before any upstream could run it."""

_OK = 200
_SERVER_ERROR_STATUSES = range(500, 600)
_REFUSAL_STATUSES = frozenset({429, 503})


class Flow:
    """A running request.

    :param request: the request.
    :param caller: connection that receives the answer.
    :param context: collaborators and limits shared by all flows.
    :ivar running_request: the request's load on its upstream.
    :ivar replica: the upstream of the current attempt, or None.
    :ivar is_over: whether the flow has ended.
    """

    def __init__(
        self,
        request: requests.CallerRequest,
        caller: caller_front.Caller,
        context: flow_context.FlowContext,
    ) -> None:
        self.request = request
        self.caller = caller
        self.running_request = replicas.RunningRequest(
            request.workspace, request.prompt_tokens, request.limit_tokens
        )
        self.is_over = False
        self._context = context
        self._relay = stream_relay.StreamRelay(_make_sequencer(request))
        self._attempt: flow_attempt.Attempt | None = None
        self._attempts_made = 0
        self._generations_made = 0
        self._failed_upstreams: set[str] = set()
        self._may_have_run = request.resume is not None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._first_token_s: float | None = None
        self._pace = context.policies.make_pace(context.clock())
        caller.on_disconnect = self._on_caller_disconnect

    @property
    def replica(self) -> replicas.Replica | None:
        """Upstream of the current attempt, or None."""
        return self._attempt.replica if self._attempt is not None else None

    @property
    def stalled_s(self) -> float:
        """Time for which the stream has stalled, in seconds."""
        return self._pace.stalled_s

    def start(self, choice: placement.Choice) -> None:
        """Start a new generation at the chosen upstream."""
        assert choice.replica is not None
        self.caller.on_disconnect = self._on_caller_disconnect
        self._attempts_made += 1
        request = self.request
        self._generations_made += 1
        generation = f"{request.request_id}.{self._generations_made}"
        attempt = self._begin(choice.replica, generation, choice.planned_tokens)
        headers = [*request.headers, (api.REQUEST_ID_HEADER, generation)]
        self._open(attempt, request.method, request.target, headers, request.body)

    def resume(self, replica: replicas.Replica, generation: str) -> None:
        """Reconnect to a generation that already runs at an upstream."""
        self._attempts_made += 1
        attempt = self._begin(replica, generation, 0.0)
        self._relay.begin_connection()
        headers = [("accept", relayed_answers.EVENT_STREAM)]
        if self._relay.sequencer.next_index:
            last = f"{generation}:{self._relay.sequencer.next_index - 1}"
            headers.append((api.LAST_EVENT_HEADER, last))
        self._open(attempt, "GET", f"{api.STREAMS_PATH}{generation}", headers, b"")

    def check_timeouts(self) -> None:
        """End the flow or its attempt on a missed deadline, a silent upstream or a stall."""
        if self.is_over:
            return
        now_s = self._context.clock()
        if now_s >= self.request.deadline_s:
            text = "the deadline passed while the request was running"
            self._give_up(codes.ResultCode.DEADLINE_DURING_RUN, text, self._get_ran_now())
        elif self._is_silent(now_s):
            self._fail_attempt(codes.ResultCode.UPSTREAM_SILENT, "the upstream is silent")
        elif self._has_stalled(now_s):
            self._fail_attempt(codes.ResultCode.UPSTREAM_SILENT, "the stream has stalled")

    def reject_held(self) -> None:
        """Abort the request because its content crashes upstreams, unless a part was delivered."""
        if self.is_over or self._relay.sequencer.has_delivered or self.request.resume is not None:
            return
        held, ran = fault.make_held_fault(), self._get_ran_now()
        # REQUEST_HELD states that the request did not run, so it must not be sent if the request
        # may have run.
        code = held.code if ran is codes.Ran.NO else codes.ResultCode.UPSTREAM_LOST
        self._give_up(code, held.text, ran, may_retry=False)

    def get_ran_while_waiting(self) -> codes.Ran:
        """Return whether the request ran, while no attempt is in progress."""
        return codes.Ran.UNKNOWN if self._may_have_run else codes.Ran.NO

    def handle_head(
        self, attempt: flow_attempt.Attempt, status: int, headers: upstream_calls.Headers
    ) -> None:
        """Handle the status and headers of an attempt's answer."""
        if attempt is not self._attempt:
            return
        self._pace.last_s = self._context.clock()
        attempt.status = status
        attempt.headers = headers
        if not self.request.wants_stream:
            attempt.begun_s = self._context.clock()
        if status not in _SERVER_ERROR_STATUSES:
            # A proxy in front of an upstream that crashed would answer with a server error.
            self._context.contents.record_instance_answer(attempt.incarnation_id)
        if status in _REFUSAL_STATUSES:
            self._record_rest(attempt)
        if not self.request.is_model or status == _OK:
            return
        if self.request.resume is not None or self._relay.sequencer.has_delivered:
            text = f"the upstream no longer has the generation (status {status})"
            self._fail_attempt(codes.ResultCode.GENERATION_LOST, text, is_final=True)
        elif status in _REFUSAL_STATUSES:
            text = f"the upstream refused with status {status}"
            self._fail_attempt(codes.ResultCode.UPSTREAM_REFUSED, text, refused=True)
        elif status in _SERVER_ERROR_STATUSES:
            text = f"the upstream failed with status {status}"
            self._fail_attempt(codes.ResultCode.UPSTREAM_LOST, text)

    def _record_rest(self, attempt: flow_attempt.Attempt) -> None:
        """Send no requests to an upstream for the time stated in its ``Retry-After``."""
        text = dict(attempt.headers).get("retry-after", "")
        rest_s = decimals.parse(text)
        if rest_s is None:
            return
        attempt.replica.health.record_rest(rest_s, self._context.clock())
        fields = {"upstream": attempt.replica.name, "for_ms": int(rest_s * 1000)}
        logger.info("upstream asked for rest", extra={"fields": fields})

    def handle_body(self, attempt: flow_attempt.Attempt, data: bytes) -> None:
        """Handle a part of the body of an attempt's answer."""
        if attempt is not self._attempt:
            return
        if self.request.wants_stream and attempt.status == _OK:
            self._relay_data(attempt, data)
            return
        self._pace.last_s = self._context.clock()
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > self._context.answer_bytes:
            text = f"the answer exceeds {self._context.answer_bytes} bytes"
            self._give_up(codes.ResultCode.ANSWER_TOO_LARGE, text, codes.Ran.YES)

    def handle_end(self, attempt: flow_attempt.Attempt) -> None:
        """Handle the end of an attempt's answer."""
        if attempt is not self._attempt:
            return
        if self.request.wants_stream and attempt.status == _OK:
            self.handle_loss(attempt, "the stream ended without its mark")
            return
        assert attempt.call is not None
        content = answer_end.get_body_content(attempt.call.framing, self._body, attempt.headers)
        outcome = attempt.call.decide_outcome(content)
        if outcome is answer_end.Outcome.UNKNOWN:
            address = attempt.replica.row.address
            self._context.calls.confirm_end(
                address, lambda evidence: self._handle_evidence(attempt, evidence)
            )
            return
        self._apply_outcome(attempt, outcome)

    def _handle_evidence(
        self, attempt: flow_attempt.Attempt, evidence: answer_end.Evidence
    ) -> None:
        """Handle evidence about an answer whose end alone shows nothing."""
        if attempt is not self._attempt:
            return
        present_id = self._context.contents.get_incarnation_id(attempt.replica.name)
        if present_id != attempt.incarnation_id:
            # The process that accepts connections now is not the one that ended the answer.
            evidence = answer_end.Evidence.TERMINATED
        # A generation is cancelled only once its attempt is no longer the current one.
        outcome = answer_end.decide_by_evidence(evidence, may_have_been_stopped=False)
        self._apply_outcome(attempt, outcome)

    def _apply_outcome(self, attempt: flow_attempt.Attempt, outcome: answer_end.Outcome) -> None:
        if outcome is answer_end.Outcome.COMPLETE:
            self._finish_whole(attempt)
        elif outcome is answer_end.Outcome.BROKEN_OFF:
            self.handle_loss(attempt, answer_end.BROKEN_OFF_TEXT)
        else:
            code = codes.ResultCode.UPSTREAM_LOST
            self._fail_attempt(code, answer_end.UNKNOWN_TEXT, is_conclusive=False)

    def handle_loss(self, attempt: flow_attempt.Attempt, reason: str) -> None:
        """Handle the loss of an attempt's connection.

        :param reason: why the connection was lost.
        """
        if attempt is not self._attempt:
            return
        code = codes.ResultCode.UPSTREAM_LOST
        if attempt.call is not None and not attempt.call.may_have_arrived:
            code = codes.ResultCode.UPSTREAM_UNREACHABLE
            if reason == links.REFUSED:
                self._context.contents.record_unreachable(attempt.replica)
        else:
            self._context.contents.record_lost(attempt.replica, self._make_sent_run(attempt))
        if attempt is not self._attempt:
            # The recorded loss caused the content to be held, which aborted this attempt.
            return
        self._fail_attempt(code, f"upstream {attempt.replica.name}: {reason}")

    def _begin(
        self, replica: replicas.Replica, generation: str, planned_tokens: float
    ) -> flow_attempt.Attempt:
        attempt = flow_attempt.Attempt(
            self,
            replica,
            generation,
            incarnation_id=self._context.contents.get_incarnation_id(replica.name),
            sent_s=self._context.clock(),
        )
        self._attempt = attempt
        self._body = []
        self._body_bytes = 0
        self._pace.last_s = self._context.clock()
        replica.start(self.running_request, planned_tokens)
        return attempt

    def _open(
        self,
        attempt: flow_attempt.Attempt,
        method: str,
        target: str,
        headers: upstream_calls.Headers,
        body: bytes | bytearray,
    ) -> None:
        address = attempt.replica.row.address
        attempt.call = self._context.calls.open(
            address,
            upstream_calls.make_head(method, target, address, headers, body_bytes=len(body)),
            attempt,
            fresh=self.request.is_once,
            is_head=method == "HEAD",
            body=(body,),
            max_body_bytes=None,
        )

    def _relay_data(self, attempt: flow_attempt.Attempt, data: bytes) -> None:
        relayed = self._relay.feed(data)
        if relayed.tokens:
            self._record_alive(attempt)
            self._record_tokens(relayed.tokens)
        if relayed.data and not self._send(attempt, relayed.data):
            return
        if relayed.fault is not None:
            code, text = relayed.fault.code, relayed.fault.text
            self._fail_attempt(code, text, is_final=not self._relay.sequencer.can_resume)
        elif relayed.is_done:
            self._finish_stream(attempt)

    def _send(self, attempt: flow_attempt.Attempt, data: bytes) -> bool:
        """Send bytes to the caller; return False if that ended the flow."""
        if not self.caller.is_started:
            headers = relayed_answers.make_stream_headers(
                self.request,
                self._context.shared_key,
                upstream=attempt.replica.name,
                generation=attempt.generation,
            )
            self.caller.start_stream(_OK, headers, data)
            return not self.is_over
        unsent = self.caller.send_body_part(data)
        if unsent <= self._context.unread_bytes:
            return not self.is_over
        self.caller.abort()
        text = f"the caller left {unsent} bytes unread"
        self._give_up(codes.ResultCode.CALLER_TOO_SLOW, text, codes.Ran.YES)
        return False

    def _record_tokens(self, count: int) -> None:
        now_s = self._context.clock()
        gap_s = self._pace.record_tokens(count, now_s)
        collector = self._context.collector
        if self._first_token_s is None:
            self._first_token_s = now_s
            waited_s = now_s - self.request.arrived_s
            collector.record_duration(metrics.Metric.FIRST_TOKEN_MS, waited_s * 1000)
            self._pace.stalled_s = 0.0
        else:
            collector.record_duration(metrics.Metric.BETWEEN_TOKENS_MS, gap_s * 1000)
        self.running_request.generated_tokens += count
        self._context.host.charge(self, count)

    def _is_silent(self, now_s: float) -> bool:
        # An engine sends an unstreamed answer only after its last token, so silence before that
        # is normal.
        if self.request.is_model and not self.request.wants_stream:
            return False
        return now_s - self._pace.last_s > self.request.service.silence_ms / 1000

    def _has_stalled(self, now_s: float) -> bool:
        return (
            self._relay.sequencer.has_delivered
            and self._relay.sequencer.can_resume
            and self._attempts_made < self._context.attempts
            and self._pace.is_stalled(now_s)
        )

    def _record_whole_answer(self, attempt: flow_attempt.Attempt) -> None:
        """Record a complete answer, which may show the request to be harmless."""
        if quarantine.is_harmless_status(attempt.status, is_trial=self.request.is_trial):
            self._context.contents.record_answered(attempt.replica, self._make_sent_run(attempt))

    def _record_alive(self, attempt: flow_attempt.Attempt) -> None:
        """Record tokens as evidence that the run and its upstream are sound."""
        now_s = self._context.clock()
        if attempt.begun_s is None:
            attempt.begun_s = now_s
        if attempt.is_established:
            self._context.contents.record_instance_answer(attempt.incarnation_id)
        elif now_s - attempt.begun_s >= sound_runs.SETTLE_S:
            attempt.is_established = True
            self._context.contents.record_established(self._make_sent_run(attempt))

    def _make_sent_run(self, attempt: flow_attempt.Attempt) -> sent_run.SentRun:
        return sent_run.SentRun(
            attempt.incarnation_id,
            self.request.keys,
            sent_s=attempt.sent_s,
            begun_s=attempt.begun_s,
        )

    def _finish_stream(self, attempt: flow_attempt.Attempt) -> None:
        self._record_whole_answer(attempt)
        self.caller.end_stream()
        # [DONE] comes shortly before the end of the HTTP message. Let the call finish in the
        # background: a connection closed in between could not be reused.
        self._attempt = None
        attempt.replica.finish(self.running_request)
        self._context.calls.finish_in_background(attempt.call)
        attempt.replica.health.record_success(self._context.clock())
        result = flow_context.FlowResult(
            codes.ResultCode.OK, codes.Ran.YES, self.running_request.generated_tokens
        )
        result.is_natural_end = self.request.resume is None
        self._end(result)

    def _finish_whole(self, attempt: flow_attempt.Attempt) -> None:
        self._record_whole_answer(attempt)
        body = b"".join(self._body)
        if self.request.is_model:
            self.running_request.generated_tokens = relayed_answers.get_usage_tokens(body)
            self._context.host.charge(self, self.running_request.generated_tokens)
        headers = relayed_answers.make_whole_headers(attempt.headers, self.request.request_id)
        self.caller.send_answer(attempt.status, headers, body)
        attempt.replica.health.record_success(self._context.clock())
        self._release_attempt(cancel=False)
        result = flow_context.FlowResult(
            codes.ResultCode.OK, codes.Ran.YES, self.running_request.generated_tokens
        )
        result.is_natural_end = self.request.is_model and attempt.status == _OK
        result.status = attempt.status
        result.content_type = dict(attempt.headers).get("content-type", "")
        result.body = body
        self._end(result)

    def _fail_attempt(
        self,
        code: codes.ResultCode,
        text: str,
        *,
        refused: bool = False,
        is_final: bool = False,
        is_conclusive: bool = True,
    ) -> None:
        """Make the next attempt, or give up.

        :param is_conclusive: whether the failure shows that the upstream is unhealthy.
        """
        attempt = self._attempt
        assert attempt is not None and attempt.call is not None
        now_s = self._context.clock()
        arrived = attempt.call.may_have_arrived
        event_sequencer = self._relay.sequencer
        has_begun = event_sequencer.has_delivered or self.request.resume is not None
        if not arrived:
            # An attempt that did not reach an upstream caused no load there, so it is not counted.
            # Attempts to resume are counted: a generation can be resumed only at the upstream that
            # runs it, which may be gone for good.
            self._attempts_made -= 0 if has_begun else 1
            attempt.replica.health.record_unreachable(now_s)
        elif not refused and is_conclusive:
            attempt.replica.health.record_failure(now_s)
        self._may_have_run = self._may_have_run or (arrived and not refused)
        failed = retry.FailedAttempt(
            may_have_arrived=self._may_have_run or arrived,
            refused=refused and not self._may_have_run,
            has_delivered=has_begun,
            can_resume=event_sequencer.can_resume or self.request.resume is not None,
            is_once=self.request.is_once,
            attempts_left=0 if is_final else self._get_attempts_left(),
        )
        step = self._context.policies.decide_retry(failed, self._context.budget)
        ran = retry.get_ran(failed)
        self._release_attempt(cancel=step is not retry.NextStep.RESUME)
        if step is retry.NextStep.RESUME:
            self._reconnect(attempt, code)
        elif step is not retry.NextStep.RETRY or not self._retry_elsewhere(attempt, code):
            self._give_up(_get_final_code(code, has_begun), text, ran)

    def _get_attempts_left(self) -> int:
        if self._context.contents.is_suspect(self.request.keys):
            # The next upstream may crash as well.
            return 0
        return self._context.attempts - self._attempts_made

    def _reconnect(self, attempt: flow_attempt.Attempt, code: codes.ResultCode) -> None:
        choice = placement.Choice(attempt.replica, 0.0, ())
        self._context.host.record_attempt(self, "resume", choice, code)
        self._context.collector.increment(metrics.Metric.RESUMES)
        self._pace.record_resume(self._context.clock())
        self.resume(attempt.replica, attempt.generation)

    def _retry_elsewhere(self, attempt: flow_attempt.Attempt, code: codes.ResultCode) -> bool:
        self._failed_upstreams.add(attempt.replica.name)
        self._relay = stream_relay.StreamRelay()
        self._context.collector.increment(metrics.Metric.RETRIES)
        excluded = frozenset(self._failed_upstreams)
        choice = self._context.host.choose_upstream(self, excluded)
        if choice.replica is None:
            # An upstream that lost one connection may be healthy, and an unhealthy upstream has
            # been ejected by now. So all upstreams may be tried again after a wait.
            self._failed_upstreams.clear()
            return self._context.host.requeue(self, code)
        self._context.host.record_attempt(self, "retry", choice, code)
        self.start(choice)
        return True

    def _get_ran_now(self) -> codes.Ran:
        if self._relay.sequencer.has_delivered or self.request.resume is not None:
            return codes.Ran.YES
        call = self._attempt.call if self._attempt is not None else None
        arrived = call is not None and call.may_have_arrived
        return codes.Ran.UNKNOWN if arrived or self._may_have_run else codes.Ran.NO

    def _give_up(
        self, code: codes.ResultCode, text: str, ran: codes.Ran, *, may_retry: bool = True
    ) -> None:
        self._release_attempt(cancel=True)
        cause = fault.Fault(code, text)
        answers.send_error(
            self.caller,
            cause,
            ran=ran,
            request_id=self.request.request_id,
            retry_after_ms=RETRY_AFTER_MS if ran is codes.Ran.NO and may_retry else None,
        )
        self._end(flow_context.FlowResult(code, ran, self.running_request.generated_tokens))

    def _on_caller_disconnect(self) -> None:
        if self.is_over:
            return
        ran = self._get_ran_now()
        # A request with an idempotency key goes on without its caller: a resend gets its outcome.
        if self.request.once_key and ran is not codes.Ran.NO:
            return
        self._release_attempt(cancel=True)
        self._end(
            flow_context.FlowResult(codes.ResultCode.OK, ran, self.running_request.generated_tokens)
        )

    def _release_attempt(self, *, cancel: bool) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        attempt.replica.finish(self.running_request)
        call = attempt.call
        if call is None:
            return
        arrived = call.may_have_arrived
        if cancel and arrived and not call.is_over:
            self._context.contents.record_abandoned(attempt.replica, self._make_sent_run(attempt))
        if not call.is_over:
            call.cancel()
        if cancel and arrived and self.request.is_model:
            self._cancel_generation(attempt)

    def _cancel_generation(self, attempt: flow_attempt.Attempt) -> None:
        # Closing the connection is not enough: an engine that supports resuming keeps the
        # generation for some time, and its memory would be missing to other requests.
        address = attempt.replica.row.address
        target = f"{api.STREAMS_PATH}{attempt.generation}/cancel"
        request = upstream_calls.make_request("POST", target, address, [], b"")
        self._context.calls.open(address, request, upstream_calls.DiscardedAnswer())

    def _end(self, result: flow_context.FlowResult) -> None:
        if self.is_over:
            return
        self.is_over = True
        self._context.host.handle_flow_end(self, result)
        # The reference cycles of a flow would keep its body until the next garbage collection.
        self.request.body = b""


def _make_sequencer(request: requests.CallerRequest) -> sequencer.Sequencer:
    if request.resume is None:
        return sequencer.Sequencer()
    return sequencer.Sequencer(request.resume.generation.encode(), request.resume.next_index)


def _get_final_code(code: codes.ResultCode, has_begun: bool) -> codes.ResultCode:
    if has_begun and code is not codes.ResultCode.STREAM_OUT_OF_ORDER:
        return codes.ResultCode.GENERATION_LOST
    return code
