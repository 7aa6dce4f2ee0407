"""Handling of streamed requests, whose run may be migrated to another instance."""

import logging
from collections.abc import Callable

from spoolhead._internal.gateway import (
    attempts,
    copy_order,
    exchange,
    exchange_context,
    room_sharing,
    routed_job,
    run_copies,
    run_migration,
    run_room,
)
from spoolhead._internal.models import codes, dialects, route_table
from spoolhead._internal.network import forward_server, links, upstream_calls
from spoolhead._internal.policy import (
    answer_end,
    length_estimate,
    retry_allowance,
    run_admission,
    run_handover,
    run_migration_policy,
    run_placement,
    shared_queue,
    sound_runs,
    upstream_choice,
    upstream_registry,
)
from spoolhead._internal.relay import block_meter, event_splicer, pace_meter
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

MAX_UNREAD_BYTES = 1_048_576
"""Maximum number of bytes buffered for a slow caller: several of the longest answers (120 KiB)."""
RUNNING_AFTER_S = 1.0
"""Time after the answer to an order to stop a run from which an event shows that the run goes on.
Earlier events may have been on their way."""
_OK = 200
_CONTENT_TYPE = "content-type"
_EVENT_STREAM = "text/event-stream"


class StreamExchange(exchange.Exchange):
    """One streamed request.

    :ivar admission: properties of the request for admission to engines.
    """

    admission: run_admission.Request

    def __init__(
        self,
        job: routed_job.Job,
        caller: forward_server.AnyCaller,
        context: exchange_context.Context,
        on_end: Callable[[exchange.Exchange], None],
    ) -> None:
        super().__init__(job, caller, context, on_end)
        self._splicer = event_splicer.EventSplicer(job.head.last_event_id)
        self._migration = run_migration.RunMigration(self, job, context)
        self._pace_meter = pace_meter.PaceMeter(self._arrived_s)
        self._block_meter = block_meter.BlockMeter()
        self._room: run_room.RunRoom | None = None
        self._length = _make_expected_length(job.head.generation)
        self._stop_orders: dict[str, list[copy_order.CopyOrder]] = {}
        self._is_complete = False
        self._rejected_count = job.attempts

    @property
    def waiting(self) -> shared_queue.WaitingRequest | None:
        """The request in the queue shared by all entries; None if that is off."""
        return self._room.waiting if self._room is not None else None

    @property
    def upstream(self) -> upstream_registry.Upstream | None:
        """Instance of the run; None without one."""
        return self._attempt.upstream if self._attempt is not None else None

    @property
    def events(self) -> int:
        """Number of events that were forwarded to the caller."""
        return self._splicer.events

    @property
    def need_tokens(self) -> int:
        """Memory that the run will need, in tokens."""
        generation = self.job.head.generation
        if generation is None:
            return 0
        return generation.prompt_tokens + self._expected_tokens

    @property
    def answer_tokens(self) -> int:
        """Tokens that the run is expected to generate in total."""
        return self._expected_tokens

    @property
    def rank(self) -> float:
        """Benefit of migrating the run relative to the time that its copy takes."""
        generation = self.job.head.generation
        engine = self.job.service.engine
        if generation is None or engine is None:
            return 0.0
        return run_migration_policy.get_migration_priority(
            generation.prompt_tokens,
            self._expected_tokens,
            self.events * engine.tokens_per_event,
        )

    @property
    def _expected_tokens(self) -> int:
        return self._length.tokens

    @property
    def generated_tokens(self) -> int:
        """Tokens that the run has generated, as far as they were forwarded to the caller."""
        engine = self.job.service.engine
        return self.events * engine.tokens_per_event if engine is not None else 0

    def start(self) -> None:
        """Start the run at the best instance, or queue it."""
        self._start_run()

    def try_start(self) -> bool:
        """Start the run at an engine with free capacity, or refuse the request, if due.

        :returns: False if the request must keep waiting.
        """
        if self._is_awaiting_permit:
            return False
        if self.reject_if_held():
            return True
        engine = self.job.service.engine
        choice = self.choose(self.need_tokens, self._make_generation())
        if engine is not None:
            choice, verdict = self._admit(engine, choice)
            if verdict is run_admission.Verdict.WAIT:
                return False
            if verdict is run_admission.Verdict.REFUSE and choice.upstream is not None:
                self._refuse(choice)
                return True
        if self.request_permit_if_limited(choice):
            return False
        self.log_choice("attempt", choice)
        if choice.upstream is None:
            self.fail_without_upstream(choice)
        else:
            if self._room is not None:
                self._room.record_start(self.get_log_fields())
            self._send_run(choice.upstream, None)
        return True

    def _admit(
        self, engine: route_table.Engine, choice: upstream_choice.Choice
    ) -> tuple[upstream_choice.Choice, run_admission.Verdict]:
        """Decide on the request; the choice is returned with the preferred engine first."""
        request = self.admission
        choice = choice.prefer(lambda item: run_admission.has_room(engine, item, request))
        if self._room is not None and not self._permitted_id:
            return self._room.admit(engine, choice, request)
        return choice, run_admission.decide(engine, choice, request, clocks.get_s())

    def on_permit(self) -> None:
        """Start the run, at this or another engine, unless it must wait for capacity."""
        if self.try_start():
            self._context.queue.remove(self)

    def release(self) -> None:
        """Remove the request from the queue, cancel its run and release its copy."""
        self._context.queue.remove(self)
        self._migration.close()
        if self._room is not None:
            self._room.record_released(self, self.upstream, is_complete=self._is_complete)
        self.cancel_attempt()

    def on_instances_changed(self) -> None:
        """Check whether the run or its copy must be migrated."""
        self._migration.check()

    @property
    def may_be_stopped(self) -> bool:
        """Whether the run may be stopped in order to resume elsewhere."""
        if self.is_over or self._attempt is None or self._attempt.has_ended:
            return False
        # A held run may crash the target of the copy as well.
        return not self._context.contents.is_held(self.job.keys)

    def record_stop_order(self, order: copy_order.CopyOrder) -> int:
        """Record an order to stop the run; return how many there are for this instance."""
        assert self._attempt is not None
        self._attempt.stop_orders.append(order)
        orders = self._stop_orders.setdefault(self._attempt.upstream.instance.incarnation_id, [])
        orders.append(order)
        return len(orders)

    def record_running(self, since_s: float) -> None:
        """Record that the run went on at its instance at a monotonic time."""
        if self._attempt is not None:
            self._attempt.record_running(since_s)

    def on_run_stopped(self) -> None:
        """Resume the run, which has ended at its instance, from its copy."""
        if self.is_over:
            return
        copy = self._migration.pop_copy()
        if copy is None:
            self.on_handover_failed("no copy of the run can be used")
        elif self._context.contents.is_held(self.job.keys):
            self.on_handover_failed("the content of the request is held")
        else:
            self._resume_run(copy)

    def on_handover_failed(self, reason: str) -> None:
        """Break off the caller's stream: the run has ended, or may have."""
        if not self.is_over:
            fields = {**self.get_log_fields(), "reason": reason}
            logger.info("handover failed", extra={"fields": fields})
            self._fail_lost(reason)

    def on_upstream_ended(self) -> None:
        """End the current attempt if its instance has restarted, also if its stream has ended."""
        super().on_upstream_ended()
        attempt = self._attempt
        if attempt is None or not attempt.has_ended or not self._migration.is_stopping:
            return
        if attempt.upstream.has_restarted:
            self._migration.handle_stream_end(run_handover.StreamEnd.TERMINATED)

    def handle_head(
        self, attempt: attempts.Attempt, status: int, headers: upstream_calls.Headers
    ) -> None:
        """Handle the head of an attempt's answer, which may show that a run goes on."""
        super().handle_head(attempt, status, headers)
        if attempt is self._attempt and attempt.is_resumed and status == _OK:
            self._migration.confirm_resumed()

    def handle_end(self, attempt: attempts.Attempt) -> None:
        """Handle the end of a stream, which an order to stop the run may have caused."""
        if attempt is not self._attempt or not attempt.may_have_been_stopped:
            super().handle_end(attempt)
            return
        assert attempt.call is not None
        if attempt.call.decide_outcome(self.get_content(attempt)) is answer_end.Outcome.UNKNOWN:
            self._handle_stopped(attempt, run_handover.StreamEnd.IN_ORDER)
        else:
            super().handle_end(attempt)

    def _handle_stopped(self, attempt: attempts.Attempt, end: run_handover.StreamEnd) -> None:
        """Handle the end of a stream whose run was ordered to stop."""
        if not self._migration.is_stopping:
            # The handover was given up, so a crash may have ended the stream as well.
            self._record_lost_run(attempt)
        if not self.is_over:
            self._migration.handle_stream_end(end)

    def handle_body(self, attempt: attempts.Attempt, data: bytes) -> None:
        """Forward the complete events in a part of the answer."""
        if attempt is not self._attempt or attempt.head is None:
            return
        if not self._is_event_stream(attempt.head):
            self.buffer_body(attempt, data)
            return
        self._record_prefill_end(attempt)
        self._context.reach.record_answer(attempt.upstream.instance.hall, clocks.get_s())
        events_before = self._splicer.events
        result = self._splicer.feed(data)
        if result.events:
            now_s = clocks.get_s()
            if attempt.stop_orders:
                attempt.record_running(now_s - RUNNING_AFTER_S)
            self._record_alive(attempt, now_s)
            self._pace_meter.record_events(events_before, now_s)
            self._update_expected_length(attempt)
            self._context.paces.handle_events(
                attempt.upstream, self._block_meter, result.events, now_s
            )
        if result.data and not self._forward(attempt.head, result.data):
            return
        if result.problem:
            self._fail_lost(result.problem)

    def _record_alive(self, attempt: attempts.Attempt, now_s: float) -> None:
        """Record events as evidence that the run and its instance are sound."""
        if attempt.begun_s is None:
            attempt.begun_s = now_s
        if attempt.is_established:
            self._context.contents.record_instance_answer(attempt.upstream.instance.incarnation_id)
        elif now_s - attempt.begun_s >= sound_runs.SETTLE_S:
            attempt.is_established = True
            self._context.contents.record_established(self._make_sent_run(attempt))

    def get_content(self, attempt: attempts.Attempt) -> answer_end.Content:
        """Return what the events of a stream show of its end."""
        head = attempt.head
        if head is None or not self._is_event_stream(head) or not _may_have_events(head):
            return answer_end.Content.OPAQUE
        content = self._splicer.content
        if content is answer_end.Content.WHOLE_EVENTS and self._lacks_events(attempt):
            return answer_end.Content.NO_EVENT
        return content

    def _lacks_events(self, attempt: attempts.Attempt) -> bool:
        """Return whether a resumed run has not sent all events that were generated before."""
        if not attempt.is_resumed or self.job.head.last_event_id:
            return False
        return self.events < self._migration.event_count

    def handle_complete(self, attempt: attempts.Attempt, head: dialects.AnswerHead) -> None:
        """Finish the stream, or handle an answer that is no stream."""
        if not self._is_event_stream(head):
            self._handle_unusable_answer(attempt, head)
        else:
            attempt.upstream.record_answer()
            self._finish(attempt, head)

    def handle_unknown_end(self, attempt: attempts.Attempt) -> None:
        """Break off the caller's stream; the run may not be repeated."""
        self._log_attempt_failure(attempt, answer_end.UNKNOWN_TEXT)
        self._fail_lost(answer_end.UNKNOWN_TEXT)

    def handle_loss(self, attempt: attempts.Attempt, reason: str) -> None:
        """Handle the loss of the connection; a run that may have begun is not repeated."""
        if attempt is not self._attempt or attempt.call is None:
            return
        end = _get_stream_end(attempt, reason)
        if self._migration.is_stopping or end is run_handover.StreamEnd.IN_ORDER:
            self._handle_stopped(attempt, end)
            return
        self.record_loss(attempt, reason)
        if self.is_over:
            # This loss caused the content to be held, which ended the exchange.
            return
        self._log_attempt_failure(attempt, reason)
        if not attempt.call.may_have_arrived and not attempt.is_resumed:
            self._migration.close()
            self.cancel_attempt()
            self._start_run()
            return
        self._fail_lost(reason)

    def count_attempts(self) -> int:
        """Return the number of instances that rejected the run."""
        return self._rejected_count

    def _start_run(self) -> None:
        if self.leave_if_unreachable():
            return
        generation = self.job.head.generation
        if self._context.room is not None and self._room is None:
            self._room = self._join_room(self._context.room)
        self.admission = run_admission.Request(
            # The shared queue orders ranks itself, and all may use the whole memory.
            rank=self.job.route.priority if self._room is None else 0,
            need_tokens=self.need_tokens,
            prompt_tokens=generation.prompt_tokens if generation is not None else 0,
            objective_ms=self.job.route.objective_ms,
            arrived_s=self._arrived_s,
            max_prefill_ms=self._room.get_max_prefill_ms() if self._room is not None else None,
        )
        if not self.try_start():
            if not self._is_awaiting_permit:
                fields = self.get_log_fields()
                if self._room is not None:
                    fields.update(self._room.get_log_fields())
                logger.info("waits for room", extra={"fields": fields})
            self._context.queue.add(self)

    def _make_generation(self) -> run_placement.Generation | None:
        generation = self.job.head.generation
        if generation is None:
            return None
        return run_placement.Generation(
            prompt_tokens=generation.prompt_tokens,
            answer_tokens=self._expected_tokens,
            objective_ms=self.job.route.objective_ms,
            pause_ms=self.job.route.pause_ms,
        )

    def _join_room(self, room: room_sharing.RoomSharing) -> run_room.RunRoom:
        """Return the request's part in the shared queue."""
        self._length.set_mean(room.lengths.get_mean_tokens(self.job.route.name))
        return run_room.RunRoom(
            room,
            self.job,
            need_tokens=self.need_tokens,
            arrived_s=self._arrived_s,
            timeout_ms=self._wait_ms,
        )

    def _refuse(self, choice: upstream_choice.Choice) -> None:
        """Refuse the request because no engine is expected to have free capacity in time."""
        self.log_choice("no room", choice)
        if self._room is not None:
            retry_after_ms = self._room.record_refused(
                self.get_log_fields(), remaining_ms=self.remaining_ms
            )
        else:
            retry_after_ms = run_admission.compute_retry_after_ms(self.remaining_ms)
        code = codes.ResultCode.DEADLINE_UNREACHABLE
        self.fail(code, "no engine is expected to have room in time", retry_after_ms=retry_after_ms)

    def _is_event_stream(self, head: dialects.AnswerHead) -> bool:
        """Return whether an answer is the instance's own event stream for this request."""
        request_id = self.job.head.request_id
        return (
            head.status == _OK
            and head.is_signed
            and not head.is_encoded
            and head.request_id in ("", request_id)
        )

    def _handle_unusable_answer(self, attempt: attempts.Attempt, head: dialects.AnswerHead) -> None:
        self._log_attempt_failure(attempt, f"status {head.status}")
        if attempt.is_resumed and head.has_not_run and self._migration.resume_from_update():
            return
        if attempt.is_resumed or self._splicer.events:
            self._fail_lost(f"the run could not go on: status {head.status}")
            return
        if head.has_not_run:
            self._migration.close()
            self.cancel_attempt()
            # Requests that did not reach their instance do not count as attempts.
            is_replaced = self.is_replaced(attempt)
            self._misdirected_count += is_replaced
            self._rejected_count += not is_replaced
            attempt_count = len(self._tried_ids) - self._misdirected_count + self.job.attempts
            may_retry = attempt_count < self.job.route.attempts
            if may_retry and self.try_acquire_repeat(retry_allowance.RepeatReason.RETRY):
                self._start_run()
            else:
                self.fail(codes.ResultCode.UPSTREAM_REFUSED, "the upstream has no room")
            return
        self._ran = codes.Ran.UNKNOWN
        if head.status == _OK or head.request_id not in ("", self.job.head.request_id):
            self._fail_lost("the answer is not the upstream's own")
            return
        self._ran = codes.Ran.YES
        self.record_whole_answer(attempt, head.status)
        body = self._context.bodies.answers.take(attempt.body)
        self.caller.send_answer(head.status, head.headers, body)
        if self.is_over:
            # The caller was dropped.
            return
        fields = {**self.get_log_fields(), **attempt.get_log_fields(), "status": head.status}
        logger.info("answered", extra={"fields": fields})
        self.end()

    def _log_attempt_failure(self, attempt: attempts.Attempt, reason: str) -> None:
        fields = {
            **self.get_log_fields(),
            **self.get_part_fields(),
            **attempt.get_log_fields(),
            "upstream": attempt.upstream.instance.incarnation_id,
            "events": self.events,
            "reason": reason,
        }
        logger.info("attempt failed", extra={"fields": fields})

    def _send_run(
        self, upstream: upstream_registry.Upstream, resume: dialects.ResumePoint | None
    ) -> None:
        attempt = self._attempt = attempts.Attempt(self, upstream, is_resumed=resume is not None)
        # An order of an earlier stay at the instance names the same run.
        orders = self._stop_orders.get(upstream.instance.incarnation_id, ())
        attempt.stop_orders = [order for order in orders if order.answered_s is None]
        self._block_meter = block_meter.BlockMeter()
        request_id = self.job.head.request_id
        generation = self.job.head.generation
        prefill_tokens = (
            generation.prompt_tokens if generation is not None and resume is None else 0
        )
        self._tried_ids.add(upstream.instance.incarnation_id)
        if resume is None:
            if self._room is not None:
                self._room.record_acquired(self, self.need_tokens)
            waited_ms = (clocks.get_s() - self._arrived_s) * 1000
            self._context.metrics.room_wait_ms.observe(waited_ms)
        upstream.in_flight[request_id] = upstream_registry.InFlightRequest(
            request_id,
            self.need_tokens,
            prefill_tokens=prefill_tokens,
            answer_tokens=self._expected_tokens,
            rank=self.job.route.priority,
            workspace=self.job.workspace_name,
        )
        self._context.on_change()
        parameters = dialects.AttemptParameters(
            instance_id=upstream.instance.instance_id,
            remaining_ms=self.remaining_ms,
            workspace=self.job.workspace_name,
            urgency=self._get_urgency(),
            resume=resume,
        )
        attempt.call = self.send_attempt(upstream, attempt, parameters)

    def _get_urgency(self) -> int | None:
        if not self._context.config.ranks_runs:
            return None
        return self.job.urgency

    def _record_prefill_end(self, attempt: attempts.Attempt) -> None:
        """Record that the run's prefill is complete."""
        request = attempt.upstream.in_flight.get(self.job.head.request_id)
        if request is not None and request.prefill_tokens:
            request.prefill_tokens = 0
            self._context.on_change()

    def _update_expected_length(self, attempt: attempts.Attempt) -> None:
        """Update the memory that the run is expected to need, where memory is planned."""
        if self._room is None and not attempt.upstream.pace.is_known:
            return
        if not self._length.record_generated(self.generated_tokens):
            return
        request = attempt.upstream.in_flight.get(self.job.head.request_id)
        if request is not None:
            request.tokens = self.need_tokens
            request.answer_tokens = self._expected_tokens
            self._context.on_change()

    def _resume_run(self, copy: run_copies.ReadyCopy) -> None:
        resume_point = dialects.ResumePoint(
            address=copy.address, handle=copy.handle, last_event_id=self._splicer.last_event_id
        )
        fields = {
            **self.get_log_fields(),
            "upstream": copy.upstream.instance.incarnation_id,
            "copy_of": copy.address,
            "events": self.events,
            "last_event_id": resume_point.last_event_id,
        }
        logger.info("run goes on elsewhere", extra={"fields": fields})
        self._context.metrics.moves.inc()
        self.cancel_attempt()
        self._tried_ids.clear()
        self._splicer.begin_connection()
        self._send_run(copy.upstream, resume_point)

    def _forward(self, head: dialects.AnswerHead, data: bytes) -> bool:
        """Send bytes to the caller; return False if that ended the exchange."""
        self._ran = codes.Ran.YES
        if not self.caller.is_started:
            self.caller.start_stream(head.status, head.headers, data)
            return not self.is_over
        unsent = self.caller.send_body_part(data)
        if unsent > MAX_UNREAD_BYTES:
            self.fail(codes.ResultCode.CALLER_TOO_SLOW, f"the caller left {unsent} bytes unread")
        return not self.is_over

    def _finish(self, attempt: attempts.Attempt, head: dialects.AnswerHead) -> None:
        self._is_complete = True
        self.record_whole_answer(attempt, head.status)
        remainder = self._splicer.finish()
        if remainder or not self.caller.is_started:
            self._forward(head, remainder)
        self.caller.end_stream()
        if self.is_over:
            # The caller was dropped.
            return
        route = self.job.route
        fields = {
            **self.get_log_fields(),
            **attempt.get_log_fields(),
            "status": head.status,
            "events": self.events,
            "unfinished_bytes": len(remainder),
            "first_ms": self._pace_meter.first_ms,
            "longest_pause_ms": self._pace_meter.longest_pause_ms,
            "pause_after_events": self._pace_meter.events_before_longest_pause,
            "is_late": (self._pace_meter.first_ms or 0) > route.objective_ms,
            "has_long_pause": self._pace_meter.longest_pause_ms
            > run_migration_policy.get_max_pause_ms(route),
        }
        logger.info("answered", extra={"fields": fields})
        self._context.metrics.first_event_ms.observe(self._pace_meter.first_ms or 0)
        self._context.metrics.longest_pause_ms.observe(self._pace_meter.longest_pause_ms)
        self.end()

    def _fail_lost(self, reason: str) -> None:
        if self._ran is codes.Ran.NO:
            self._ran = codes.Ran.UNKNOWN
        self.fail(codes.ResultCode.UPSTREAM_LOST, reason)


def _get_stream_end(attempt: attempts.Attempt, reason: str) -> run_handover.StreamEnd:
    """Return how the stream of a run has ended.

    Only an order that may have arrived can have ended it in order without its end.
    """
    if attempt.upstream.has_restarted:
        return run_handover.StreamEnd.TERMINATED
    is_in_order = reason in (links.CLOSED_CLEANLY, answer_end.BROKEN_OFF_TEXT)
    if is_in_order and attempt.may_have_been_stopped:
        return run_handover.StreamEnd.IN_ORDER
    return run_handover.StreamEnd.BROKEN


def _may_have_events(head: dialects.AnswerHead) -> bool:
    """Return whether an answer is an event stream by its type, or states no type."""
    types = [value for name, value in head.headers if name.lower() == _CONTENT_TYPE]
    return not types or types[0].strip().lower().startswith(_EVENT_STREAM)


def _make_expected_length(
    generation: dialects.Generation | None,
) -> length_estimate.ExpectedLength:
    if generation is None:
        return length_estimate.ExpectedLength(0, 0)
    return length_estimate.ExpectedLength(generation.hinted_tokens, generation.limit_tokens)
