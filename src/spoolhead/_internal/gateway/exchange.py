"""Base class for the handling of one routed request, from its arrival to the end of its answer."""

import logging
from collections.abc import Callable

from spoolhead._internal.gateway import (
    attempts,
    exchange_context,
    permit_exchange,
    refusals,
    routed_job,
)
from spoolhead._internal.models import codes, dialects, fault, sent_run
from spoolhead._internal.network import forward_server, links, upstream_calls
from spoolhead._internal.policy import (
    answer_end,
    quarantine,
    retry_allowance,
    run_admission,
    run_placement,
    upstream_choice,
    upstream_registry,
)
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

RETRY_AFTER_MS = 300
"""Value of Retry-After for refusals because of failures: about the time in which the load balancer
cycles through its connections, and about the length of the shortest ejection of an upstream."""

PERMIT_WAIT_FRACTION = 1 / 6
"""Fraction of a request's timeout for which it waits for a permit if all instances are
rate-limited. The route's objective bounds the wait, too: after it, a longer wait is no better for
the caller than a retry."""

MAX_LOGGED_PARTS = 8
"""Maximum number of parts of a prompt in a log line."""


class Exchange:
    """One request and its attempts. Subclasses define how answers are handled.

    :param job: the request and its route.
    :param caller: receives the answer.
    :param context: components that all exchanges of the entry share.
    :param on_end: called once when the exchange ends.
    :ivar is_over: whether the exchange has ended.
    """

    def __init__(
        self,
        job: routed_job.Job,
        caller: forward_server.AnyCaller,
        context: exchange_context.Context,
        on_end: Callable[["Exchange"], None],
    ) -> None:
        self.job = job
        self.caller = caller
        self.is_over = False
        self._context = context
        self._on_end = on_end
        self._arrived_s = job.arrived_s
        wait_ms = job.route.timeout_ms
        if job.head.wait_ms is not None:
            wait_ms = min(wait_ms, job.head.wait_ms)
        self._wait_ms = wait_ms
        self._deadline_s = self._arrived_s + wait_ms / 1000
        remaining_s = max(0.0, self._deadline_s - clocks.get_s())
        self._timer = context.timers.call_later(remaining_s, self._on_deadline)
        self._tried_ids: set[str] = set()
        self._misdirected_count = 0
        self._ran = codes.Ran.NO
        self._attempt: attempts.Attempt | None = None
        self._prefers_least_loaded = False
        self._is_trial = False
        self._is_awaiting_permit = False
        self._permitted_id = ""
        caller.request_id = job.head.request_id
        caller.on_disconnect = self._on_caller_disconnect
        caller.on_drop = self._on_caller_drop

    @property
    def remaining_ms(self) -> int:
        """Time until the request's deadline, in milliseconds."""
        return max(0, int((self._deadline_s - clocks.get_s()) * 1000))

    def is_late(self) -> bool:
        """Return whether the request is older than the route's objective."""
        return (clocks.get_s() - self._arrived_s) * 1000 > self.job.route.objective_ms

    def get_log_fields(self) -> dict[str, object]:
        """Return the log fields that are common to all log lines of the request."""
        fields = {"forwarded_by": self.job.forwarded_by} if self.job.forwarded_by else {}
        return {
            **fields,
            "request": self.job.head.request_id,
            "content": self.job.content_id.hex(),
            "route": self.job.route.name,
            "service": self.job.service.name,
            "table_version": self.job.version,
            "age_ms": int((clocks.get_s() - self._arrived_s) * 1000),
        }

    def get_part_fields(self) -> dict[str, object]:
        """Return the log field with the parts of the prompt that other requests may share."""
        generation = self.job.head.generation
        part_ids = generation.shared_part_ids if generation is not None else ()
        return {"parts": list(part_ids[:MAX_LOGGED_PARTS])} if part_ids else {}

    def begin(self) -> None:
        """Make the first attempt, unless the content is quarantined for crashing instances."""
        keys = self.job.keys
        match self._context.contents.evaluate(keys):
            case quarantine.Verdict.REFUSE:
                self.reject_held()
            case quarantine.Verdict.CLAIM:
                logger.info("trial of a held request", extra={"fields": self.get_log_fields()})
                self._is_trial = True
                self._context.contents.claim_trial(keys)
                self._context.timers.call_later(
                    quarantine.TRIAL_CLAIM_WAIT_S, self._run_claimed_trial
                )
            case verdict:
                self._prefers_least_loaded = verdict is quarantine.Verdict.RUN_ISOLATED
                self.start()

    def reject_held(self) -> None:
        """Refuse a request with quarantined content, unless its answer has begun.

        The refusal carries no Retry-After: another run might crash another instance.
        """
        if self._is_trial or self.caller.is_started:
            return
        held = fault.make_held_fault()
        self.fail(held.code, held.text, retry_after_ms=None)

    def reject_if_held(self) -> bool:
        """Refuse a request that is not sent yet, or not again, if it is held by now.

        :returns: whether the request was refused.
        """
        if not self._is_trial and self._context.contents.is_held(self.job.keys):
            self.reject_held()
        return self.is_over

    def choose(
        self, need_tokens: int, generation: run_placement.Generation | None = None
    ) -> upstream_choice.Choice:
        """Choose an instance that was not tried yet.

        :param need_tokens: memory that the request needs there, in tokens.
        :param generation: properties of the generation; None for a plain request.
        """
        context = self._context
        now_s = clocks.get_s()
        choice_context = upstream_choice.ChoiceContext(
            hall=context.config.hall,
            silent_halls=context.get_silent_halls(),
            cut_off_halls=context.get_cut_off_halls(now_s),
            now_s=now_s,
            gate=context.gate,
            request_priority=self.job.request_priority,
            permitted_id=self._permitted_id,
            rng=context.rng,
        )
        choice = upstream_choice.choose(
            self.job.service,
            context.registry.get_service(self.job.service.name),
            need_tokens=need_tokens,
            excluded=self._tried_ids,
            context=choice_context,
            generation=generation,
        )
        if self._prefers_least_loaded or self._context.contents.is_suspect(self.job.keys):
            # A suspect request may crash its instance; few other requests should run there.
            choice = choice.prefer_least_loaded()
        return choice.prefer(
            lambda upstream: upstream.instance.incarnation_id == self._permitted_id
        )

    def request_permit_if_limited(self, choice: upstream_choice.Choice) -> bool:
        """Request a permit if the chosen instance is rate-limited.

        :returns: whether the request has to wait; :meth:`on_permit` is called after the reply.
        """
        upstream = choice.upstream
        if upstream is None or upstream.instance.incarnation_id == self._permitted_id:
            return False
        if not self._context.gate.is_limited(upstream):
            return False
        self._is_awaiting_permit = True
        request = permit_exchange.PermitTerms(
            self.job.request_priority,
            is_retry=bool(self._tried_ids),
            wait_ms=self._get_permit_wait_ms(choice),
            is_final=len(choice.candidates) == 1,
        )
        fields = {**self.get_log_fields(), "upstream": upstream.instance.incarnation_id}
        fields["wait_ms"] = request.wait_ms
        logger.info("waits for a permit", extra={"fields": fields})
        self._context.permits.request_permit(
            upstream, request, lambda is_granted: self._handle_permit(upstream, is_granted)
        )
        return True

    def on_permit(self) -> None:
        """Continue after a permit was granted or rejected."""
        raise NotImplementedError

    def _get_permit_wait_ms(self, choice: upstream_choice.Choice) -> int:
        """Return how long the request may wait for a permit; 0 if unlimited instances remain."""
        if not all(self._context.gate.is_limited(item.upstream) for item in choice.candidates):
            return 0
        max_wait_ms = min(self._wait_ms * PERMIT_WAIT_FRACTION, self.job.route.objective_ms)
        wait_until_s = self._arrived_s + max_wait_ms / 1000
        return max(0, int((wait_until_s - clocks.get_s()) * 1000))

    def _handle_permit(self, upstream: upstream_registry.Upstream, is_granted: bool) -> None:
        self._is_awaiting_permit = False
        fields = {**self.get_log_fields(), "upstream": upstream.instance.incarnation_id}
        fields["is_granted"] = is_granted
        fields["is_over"] = self.is_over
        logger.info("permit decided", extra={"fields": fields})
        if self.is_over:
            return
        self._permitted_id = upstream.instance.incarnation_id if is_granted else ""
        self.on_permit()

    def log_choice(self, action: str, choice: upstream_choice.Choice) -> None:
        """Log the chosen instance and the best candidates."""
        chosen = choice.upstream.instance.incarnation_id if choice.upstream is not None else ""
        fields = {
            **self.get_log_fields(),
            **self.get_part_fields(),
            "upstream": chosen,
            "candidates": [
                [item.upstream.instance.incarnation_id, round(item.cost, 2)]
                for item in choice.candidates[:4]
            ],
            "news_age_ms": self._context.get_load_age_ms(),
            "remaining_ms": self.remaining_ms,
        }
        placement = choice.candidates[0].placement if choice.candidates else None
        if placement is not None:
            fields["placement"] = placement.get_log_fields()
        if choice.blocked:
            fields["barred"] = {reason.value: count for reason, count in choice.blocked.items()}
        logger.info(action, extra={"fields": fields})

    def try_acquire_repeat(self, reason: retry_allowance.RepeatReason) -> bool:
        """Acquire one more arrival of the request at its service; return whether one was left."""
        return self._context.allowances.try_acquire(self.job, reason, self.get_log_fields())

    def send_attempt(
        self,
        upstream: upstream_registry.Upstream,
        listener: upstream_calls.CallListener,
        parameters: dialects.AttemptParameters,
    ) -> upstream_calls.UpstreamCall:
        """Send the request to an instance."""
        if self.job.has_arrived:
            reason = retry_allowance.RepeatReason.RETRY
            if parameters.resume is not None:
                reason = retry_allowance.RepeatReason.MOVE
            self._context.allowances.record_sent(self.job, reason, self.get_log_fields())
        wire = self.caller.request
        headers = self._context.dialect.write_request(self.job.head, parameters)
        head = upstream_calls.make_head(
            wire.method, wire.target, self.job.head.host, headers, body_bytes=len(wire.body)
        )
        self._context.metrics.attempts.labels(self.job.route.kind.value).inc()
        upstream.record_sent(clocks.get_s())
        self._permitted_id = ""
        return self._context.calls.open(
            upstream.instance.address,
            head,
            listener,
            # An idle connection may have failed unnoticed, which would delay the request.
            fresh=True,
            is_head=wire.method == "HEAD",
            body=(wire.body,),
            max_body_bytes=None,
        )

    def fail(
        self,
        code: codes.ResultCode,
        text: str,
        *,
        retry_after_ms: int | None = RETRY_AFTER_MS,
    ) -> None:
        """Send the final error answer and end the exchange.

        :param retry_after_ms: Retry-After for a request that has not run; None for no header.
        """
        if self.is_over:
            return
        if self._ran is codes.Ran.NO and self.has_sent:
            self._ran = codes.Ran.UNKNOWN
        status = refusals.send(
            self.caller,
            self._context.dialect,
            fault.Fault(code, text),
            ran=self._ran,
            request_id=self.job.head.request_id,
            retry_after_ms=retry_after_ms,
        )
        if self.is_over:
            # The caller was dropped while this answer was sent.
            return
        fields = {
            **self.get_log_fields(),
            "code": int(code),
            "reason": text,
            "status": status,
            "ran": self._ran.value,
        }
        outcome = "refused" if self._ran is codes.Ran.NO else "failed"
        logger.info(outcome, extra={"fields": fields})
        self.end(outcome)

    def end(self, outcome: str = "answered") -> None:
        """End the exchange: release its resources and record its outcome.

        :param outcome: ``answered``, ``refused``, ``failed`` or ``left``.
        """
        if self.is_over:
            return
        if self.job.forwarded_by:
            self._context.metrics.received_requests.labels(outcome).inc()
        else:
            age_ms = (clocks.get_s() - self._arrived_s) * 1000
            self._context.metrics.record_end(self.job.route.kind, outcome, age_ms)
        self._close()

    def _close(self) -> None:
        self.is_over = True
        self._timer.cancel()
        self.release()
        self._on_end(self)
        self._context.on_change()

    def handle_service_lost(self) -> None:
        """Have another entry serve the request, unless an instance may have it."""
        if not self.is_over and not self._is_trial and not self.has_sent:
            self.leave_if_unreachable()

    def leave_if_unreachable(self) -> bool:
        """End the exchange if this entry cannot reach any instance of the service.

        Another entry serves the request from now on. A request that another entry has forwarded is
        refused instead, so that its sender asks the next one.

        :returns: whether the exchange has ended.
        """
        forwarding = self._context.forwarding
        if forwarding is None or not forwarding.is_needed(self.job.service.name):
            return False
        if self.job.forwarded_by:
            text = f"this entry does not reach {self.job.service.name}"
            self.fail(codes.ResultCode.UPSTREAM_UNREACHABLE, text)
            return True
        self.job.attempts = self.count_attempts()
        self.job.ran = self._ran
        self._close()
        forwarding.take_over(self.job, self.caller)
        return True

    def count_attempts(self) -> int:
        """Return the number of attempts that count against the route's limit."""
        raise NotImplementedError

    def start(self) -> None:
        """Make the first attempt."""
        raise NotImplementedError

    def release(self) -> None:
        """Cancel the current attempt and release all that is reserved for the request."""
        raise NotImplementedError

    @property
    def has_sent(self) -> bool:
        """Whether any byte of the current attempt may have reached an instance."""
        attempt = self._attempt
        if attempt is None or attempt.call is None:
            return False
        return attempt.is_resumed or attempt.call.may_have_arrived

    def handle_head(
        self, attempt: attempts.Attempt, status: int, headers: upstream_calls.Headers
    ) -> None:
        """Handle the head of an attempt's answer."""
        if attempt is not self._attempt:
            return
        now_s = clocks.get_s()
        attempt.head = self._context.dialect.read_answer(status, headers)
        attempt.upstream.update_load(attempt.head.load, now_s)
        self._context.limits.handle_answer(attempt.upstream, attempt.head, now_s)
        self._context.on_answer(attempt.upstream, attempt.head, now_s)
        self._context.reach.record_answer(attempt.upstream.instance.hall, now_s)
        if attempt.call is not None and _is_own_answer(attempt):
            self._context.calls.record_alive(attempt.call)
        if self.is_replaced(attempt) and attempt.upstream.record_replaced(now_s):
            fields = {
                "upstream": attempt.upstream.instance.incarnation_id,
                "answers": attempt.head.instance_id,
            }
            logger.info("upstream is replaced", extra={"fields": fields})
            self._context.on_replaced(attempt.upstream)

    def is_replaced(self, attempt: attempts.Attempt) -> bool:
        """Return whether an attempt's answer shows that another instance has the address."""
        head = attempt.head
        if head is None or not head.is_misdirected:
            return False
        is_other = head.instance_id not in ("", attempt.upstream.instance.instance_id)
        return is_other or not self.job.head.expects_version

    def record_ending(self, attempt: attempts.Attempt) -> None:
        """Count the framing of an attempt's answer and how it ended."""
        self._context.metrics.answer_ends.labels(attempt.framing_text, attempt.ending_text).inc()
        if attempt.outcome is not None:
            self._context.metrics.answer_outcomes.labels(attempt.outcome.value).inc()

    def handle_end(self, attempt: attempts.Attempt) -> None:
        """Handle the end of an attempt's answer, which may not be complete."""
        if attempt is not self._attempt or attempt.head is None or attempt.call is None:
            return
        outcome = answer_end.Outcome.COMPLETE
        if not attempt.head.has_not_run:
            outcome = attempt.call.decide_outcome(self.get_content(attempt))
        if outcome is not answer_end.Outcome.UNKNOWN:
            self._apply_outcome(attempt, outcome)
            return
        self._context.calls.confirm_end(
            attempt.upstream.instance.address,
            lambda evidence: self._handle_evidence(attempt, evidence),
        )

    def _handle_evidence(self, attempt: attempts.Attempt, evidence: answer_end.Evidence) -> None:
        """Handle evidence about an answer whose end alone shows nothing."""
        if self.is_over or attempt is not self._attempt:
            return
        if attempt.upstream.has_restarted or attempt.upstream.is_replaced(clocks.get_s()):
            # Whatever accepts connections is not the process of the answer.
            evidence = answer_end.Evidence.TERMINATED
        is_terminated = evidence is answer_end.Evidence.TERMINATED
        if is_terminated and attempt.upstream.is_expected_to_terminate(clocks.get_s()):
            # An instance that leaves may refuse connections before its last answer ends.
            evidence = answer_end.Evidence.NONE
        outcome = answer_end.decide_by_evidence(
            evidence, may_have_been_stopped=attempt.may_have_been_stopped
        )
        fields = {
            **self.get_log_fields(),
            **attempt.get_log_fields(),
            "upstream": attempt.upstream.instance.incarnation_id,
            "evidence": evidence.value,
            "outcome": outcome.value,
        }
        logger.info("end of answer decided", extra={"fields": fields})
        self._apply_outcome(attempt, outcome)

    def _apply_outcome(self, attempt: attempts.Attempt, outcome: answer_end.Outcome) -> None:
        assert attempt.head is not None
        attempt.outcome = outcome
        self._context.metrics.answer_outcomes.labels(outcome.value).inc()
        match outcome:
            case answer_end.Outcome.COMPLETE:
                self.handle_complete(attempt, attempt.head)
            case answer_end.Outcome.BROKEN_OFF:
                self.handle_loss(attempt, answer_end.BROKEN_OFF_TEXT)
            case answer_end.Outcome.UNKNOWN:
                self.handle_unknown_end(attempt)

    def buffer_body(self, attempt: attempts.Attempt, data: bytes) -> None:
        """Buffer a part of an attempt's answer; fail if it grows too large."""
        self._context.bodies.answers.add(attempt.body, data)
        if len(attempt.body.data) > self._context.config.upstreams.answer_bytes:
            self._ran = codes.Ran.YES
            self.fail(codes.ResultCode.ANSWER_TOO_LARGE, "the answer is too large")

    def get_content(self, attempt: attempts.Attempt) -> answer_end.Content:
        """Return what the body of an attempt's answer shows of its end."""
        raise NotImplementedError

    def handle_complete(self, attempt: attempts.Attempt, head: dialects.AnswerHead) -> None:
        """Handle a complete answer."""
        raise NotImplementedError

    def handle_loss(self, attempt: attempts.Attempt, reason: str) -> None:
        """Handle an attempt that was lost, or whose answer was broken off."""
        raise NotImplementedError

    def handle_unknown_end(self, attempt: attempts.Attempt) -> None:
        """Handle an answer that may not be complete; nothing is concluded from it."""
        raise NotImplementedError

    def record_loss(self, attempt: attempts.Attempt, reason: str) -> None:
        """Record an attempt whose connection was lost or could not be established."""
        assert attempt.call is not None
        is_unreachable = not attempt.call.may_have_arrived
        if reason == links.CONNECT_TIMEOUT:
            self._context.reach.record_timeout(attempt.upstream.instance.hall, clocks.get_s())
        if not is_unreachable and attempt.head is None:
            self._context.on_lost_request(attempt.upstream.instance.incarnation_id)
        if not is_unreachable:
            self._record_lost_run(attempt)
        elif reason == links.REFUSED:
            self._context.query_termination_if_abandoned(attempt.upstream)
        if attempt.upstream.record_failure(clocks.get_s(), is_unreachable=is_unreachable):
            fields = {"upstream": attempt.upstream.instance.incarnation_id, "reason": reason}
            logger.warning("upstream ejected", extra={"fields": fields})

    def _record_lost_run(self, attempt: attempts.Attempt) -> None:
        """Record that the request was lost at an instance, which it may have crashed."""
        upstream = attempt.upstream
        if upstream.is_expected_to_terminate(clocks.get_s()):
            return
        self._context.contents.record_lost(self._make_sent_run(attempt))
        self._context.query_termination(upstream)

    def _record_abandoned_run(self, attempt: attempts.Attempt) -> None:
        """Record that the request was abandoned at an instance, which it may still crash."""
        assert attempt.call is not None
        upstream = attempt.upstream
        if upstream.is_expected_to_terminate(clocks.get_s()) or not attempt.call.may_have_arrived:
            return
        self._context.contents.record_abandoned(self._make_sent_run(attempt))

    def record_whole_answer(self, attempt: attempts.Attempt, status: int) -> None:
        """Record a complete answer, which may show the request to be harmless."""
        if quarantine.is_harmless_status(status, is_trial=self._is_trial):
            self._context.contents.record_answered(self._make_sent_run(attempt))

    def _make_sent_run(self, attempt: attempts.Attempt) -> sent_run.SentRun:
        return sent_run.SentRun(
            attempt.upstream.instance.incarnation_id,
            self.job.keys,
            sent_s=attempt.sent_s,
            begun_s=attempt.begun_s,
        )

    def on_upstream_ended(self) -> None:
        """End the current attempt if its instance has restarted.

        The connection may not show the restart, for example behind a network partition.
        """
        attempt = self._attempt
        if attempt is None or attempt.call is None or attempt.has_ended:
            return
        if attempt.upstream.has_restarted:
            attempt.call.cancel()
            attempt.on_call_lost("the upstream has started again")

    def cancel_attempt(self) -> None:
        """Cancel the current attempt and release its load at the instance."""
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        if attempt.call is not None and attempt.call.may_have_arrived:
            self.job.has_arrived = True
        attempt.upstream.in_flight.pop(self.job.head.request_id, None)
        self.discard_body(attempt)
        self._context.on_change()
        if attempt.call is not None and not attempt.call.is_over:
            self._record_abandoned_run(attempt)
            attempt.call.cancel()

    def discard_body(self, attempt: attempts.Attempt) -> None:
        """Discard what is buffered of the answer of a former attempt."""
        self._context.bodies.answers.take(attempt.body)

    def fail_without_upstream(self, choice: upstream_choice.Choice) -> None:
        """Refuse the request because no instance is available for it."""
        text = f"no upstream of {self.job.service.name} is usable"
        retry_after_ms = choice.retry_after_ms
        if retry_after_ms is None:
            retry_after_ms = run_admission.compute_retry_after_ms(self.remaining_ms)
        self.fail(codes.ResultCode.NO_UPSTREAM, text, retry_after_ms=retry_after_ms)

    def _on_deadline(self) -> None:
        self.fail(codes.ResultCode.DEADLINE_DURING_RUN, "the time for the request is over")

    def _run_claimed_trial(self) -> None:
        """Run the trial of a held content, unless another entry has claimed it."""
        if self.is_over:
            return
        if not self._context.contents.may_run_trial(self.job.keys):
            self._is_trial = False
            self.reject_held()
            return
        self._prefers_least_loaded = True
        self.start()

    def _on_caller_drop(self, reason: str) -> None:
        self.fail(codes.ResultCode.CALLER_TOO_SLOW, reason)

    def _on_caller_disconnect(self) -> None:
        if self.is_over:
            return
        logger.info("caller left", extra={"fields": self.get_log_fields()})
        self.end("left")


def _is_own_answer(attempt: attempts.Attempt) -> bool:
    """Return whether an answer is the instance's, and not that of a proxy or another instance."""
    head = attempt.head
    if head is None or head.is_misdirected or not (head.is_signed or head.has_not_run):
        return False
    return head.instance_id in ("", attempt.upstream.instance.instance_id)
