"""A request whose answer is a stream of events from one run, which may move on the way."""

import logging
import time

from spoolhead._internal.gateway import exchange, run_move
from spoolhead._internal.models import codes, dialects
from spoolhead._internal.network import upstream_calls
from spoolhead._internal.policy import upstream_book
from spoolhead._internal.relay import splice

logger = logging.getLogger(__name__)

MOVE_AGAIN_S = 0.12
"""Pause before a failed move is tried again: a run that has not begun yet begins within some
prompts' reading time (200 ms each), and an instance leaves within about two seconds."""
MOVES_LIMIT = 12
"""Moves tried for one departure: what fits into two seconds with that pause."""
SWITCH_WAIT_S = 0.1
"""Longest wait for the rest of the old stream once its run was stopped; it was sent before the
answer that names the copy, so only its way here is missing."""
UNREAD_BYTES = 1_048_576
"""Bytes kept for a caller that reads slowly: several of the longest answers seen (120 KiB)."""

_OK = 200


class _Attempt:
    """The run's connection to one instance."""

    __slots__ = ("body", "call", "has_ended", "head", "is_resumed", "owner", "upstream")

    def __init__(
        self, owner: "StreamExchange", upstream: upstream_book.Upstream, *, is_resumed: bool
    ) -> None:
        self.owner = owner
        self.upstream = upstream
        self.is_resumed = is_resumed
        self.call: upstream_calls.UpstreamCall | None = None
        self.head: dialects.AnswerHead | None = None
        self.body: list[bytes] = []
        self.has_ended = False

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        self.owner.take_head(self, status, headers)

    def on_answer_body(self, data: bytes) -> None:
        self.owner.take_body(self, data)

    def on_answer_end(self) -> None:
        self.owner.take_end(self)

    def on_call_lost(self, reason: str) -> None:
        self.owner.take_loss(self, reason)


class StreamExchange(exchange.Exchange):
    """One streamed request."""

    _attempt: _Attempt | None = None
    _move: run_move.RunMove | None = None
    _target: upstream_book.Upstream | None = None
    _is_stopping = False
    _moves_made = 0
    _splice: splice.Splice

    @property
    def upstream(self) -> upstream_book.Upstream | None:
        """Where the run is."""
        return self._attempt.upstream if self._attempt is not None else None

    @property
    def events(self) -> int:
        """Events passed on."""
        return self._splice.events

    @property
    def need_tokens(self) -> int:
        """Memory that the run will hold, in tokens."""
        generation = self.job.head.generation
        if generation is None:
            return 0
        expected = generation.hinted_tokens or generation.limit_tokens
        return generation.prompt_tokens + min(expected, generation.limit_tokens)

    def start(self) -> None:
        """Begin the run at the best instance."""
        self._splice = splice.Splice(self.job.head.last_event_id)
        choice = self.choose(self.need_tokens)
        self.log_choice("attempt", choice)
        if choice.upstream is None:
            text = f"no upstream of {self.job.service.name} is usable"
            self.fail(codes.ResultCode.NO_UPSTREAM, text)
            return
        self._open(choice.upstream, None)

    def release(self) -> None:
        """Cancel the run and any move of it."""
        self._drop_move()
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        self._leave(attempt.upstream)
        if attempt.call is not None and not attempt.call.is_over:
            attempt.call.cancel()

    def move_away(self) -> None:
        """Move the run, since its instance leaves."""
        attempt = self._attempt
        if self.is_over or attempt is None or self._move is not None:
            return
        if not attempt.upstream.is_leaving or self._moves_made >= MOVES_LIMIT:
            return
        engine = self.job.service.engine
        if engine is None or not engine.can_move:
            return
        if not self._splice.events:
            # Nothing has come yet, so there is no run to move, or only just.
            self._move_later()
            return
        choice = self.choose(self.need_tokens)
        self.log_choice("move", choice)
        if choice.upstream is None:
            self._move_later()
            return
        self._moves_made += 1
        self._target = choice.upstream
        self._hold(choice.upstream)
        self._move = run_move.RunMove(
            request_id=self.job.head.request_id,
            source_address=attempt.upstream.instance.address,
            target_address=choice.upstream.instance.address,
            calls=self._context.calls,
            dialect=self._context.dialect,
            user=self,
        )

    def on_move_stopping(self, move: run_move.RunMove) -> None:
        """Expect the stream to end without its end."""
        self._is_stopping = True

    def on_move_done(self, move: run_move.RunMove) -> None:
        """Go on at the target once the rest of the old stream is here."""
        attempt = self._attempt
        if self.is_over or attempt is None:
            return
        if attempt.has_ended:
            self._switch()
        else:
            self._context.timers.call_later(SWITCH_WAIT_S, self._switch)

    def on_move_failed(self, move: run_move.RunMove) -> None:
        """Try again, or go on where the run was stopped."""
        fields = {
            **self.get_fields(),
            "source": move.source_address,
            "target": move.target_address,
            "step": move.failed_step.value,
            "status": move.status,
            "events": self.events,
        }
        logger.info("move failed", extra={"fields": fields})
        attempt = self._attempt
        handle = move.handle
        target, self._target, self._move = self._target, None, None
        if target is not None:
            self._leave(target)
        if self.is_over or attempt is None:
            return
        if move.failed_step is run_move.Step.STOP and attempt.has_ended:
            if handle:
                self._resume(attempt.upstream, move.source_address, handle)
            else:
                self._break("the run was stopped and could not be moved")
            return
        self._is_stopping = False
        self._move_later()

    def take_head(self, attempt: _Attempt, status: int, headers: upstream_calls.Headers) -> None:
        """Take the head of the answer."""
        if attempt is not self._attempt:
            return
        attempt.head = self._context.dialect.read_answer(status, headers)
        attempt.upstream.note_load(attempt.head.load, time.monotonic())

    def take_body(self, attempt: _Attempt, data: bytes) -> None:
        """Take a part of the answer."""
        if attempt is not self._attempt or attempt.head is None:
            return
        if not self._is_good(attempt.head):
            attempt.body.append(data)
            return
        spliced = self._splice.feed(data)
        if spliced.data and not self._pass_on(attempt.head, spliced.data):
            return
        if spliced.problem:
            self._break(spliced.problem)

    def take_end(self, attempt: _Attempt) -> None:
        """Take the end of the answer."""
        if attempt is not self._attempt or attempt.head is None:
            return
        attempt.has_ended = True
        if not self._is_good(attempt.head):
            self._take_refusal(attempt)
            return
        if self._is_stopping and not attempt.call.ended_whole:
            self._after_stopped_end()
            return
        attempt.upstream.note_answer()
        self._finish(attempt.head)

    def take_loss(self, attempt: _Attempt, reason: str) -> None:
        """Take the loss of the connection."""
        if attempt is not self._attempt:
            return
        attempt.has_ended = True
        if self._is_stopping:
            self._after_stopped_end()
            return
        assert attempt.call is not None
        attempt.upstream.note_failure(time.monotonic())
        if not attempt.call.may_have_arrived and not attempt.is_resumed:
            self._log_attempt_failure(attempt, reason)
            self._drop_attempt()
            self.start()
            return
        self._break(reason)

    def _after_stopped_end(self) -> None:
        if self._move is not None and self._move.step is run_move.Step.DONE:
            self._switch()

    def _is_good(self, head: dialects.AnswerHead) -> bool:
        own_id = self.job.head.request_id
        return (
            head.status == _OK
            and head.is_signed
            and not head.is_encoded
            and head.request_id in ("", own_id)
        )

    def _take_refusal(self, attempt: _Attempt) -> None:
        head = attempt.head
        assert head is not None
        if attempt.is_resumed or self._splice.events:
            self._break(f"the run could not go on: status {head.status}")
            return
        if head.has_not_run:
            self._log_attempt_failure(attempt, f"not run, status {head.status}")
            allowance = self._context.get_allowance(self.job.service.name)
            if len(self._tried) < self.job.route.attempts and allowance.take(time.monotonic()):
                self._drop_attempt()
                self.start()
                return
            self.fail(codes.ResultCode.UPSTREAM_REFUSED, "the upstream has no room")
            return
        self._ran = codes.Ran.UNKNOWN
        if head.status == _OK or head.request_id not in ("", self.job.head.request_id):
            self._break("the answer is not the upstream's own")
            return
        self._ran = codes.Ran.YES
        self.caller.send_whole(head.status, head.headers, b"".join(attempt.body))
        fields = {**self.get_fields(), "status": head.status}
        logger.info("answered", extra={"fields": fields})
        self.end()

    def _log_attempt_failure(self, attempt: _Attempt, reason: str) -> None:
        fields = {
            **self.get_fields(),
            "upstream": attempt.upstream.instance.instance_id,
            "reason": reason,
        }
        logger.info("attempt failed", extra={"fields": fields})

    def _open(self, upstream: upstream_book.Upstream, resume: dialects.ResumePoint | None) -> None:
        attempt = self._attempt = _Attempt(self, upstream, is_resumed=resume is not None)
        self._tried.add(upstream.instance.instance_id)
        self._hold(upstream)
        orders = dialects.AttemptOrders(
            instance_id=upstream.instance.instance_id,
            remaining_ms=self.remaining_ms,
            workspace=self.job.workspace_name,
            resume=resume,
        )
        attempt.call = self.send_attempt(upstream, attempt, orders)

    def _hold(self, upstream: upstream_book.Upstream) -> None:
        request_id = self.job.head.request_id
        upstream.works[request_id] = upstream_book.Work(request_id, self.need_tokens)
        self._context.on_change()

    def _leave(self, upstream: upstream_book.Upstream) -> None:
        upstream.works.pop(self.job.head.request_id, None)
        self._context.on_change()

    def _drop_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            self._leave(attempt.upstream)
            if attempt.call is not None and not attempt.call.is_over:
                attempt.call.cancel()

    def _drop_move(self) -> None:
        move, self._move = self._move, None
        target, self._target = self._target, None
        if move is not None:
            move.cancel()
        if target is not None:
            self._leave(target)

    def _move_later(self) -> None:
        self._context.timers.call_later(MOVE_AGAIN_S, self.move_away)

    def _switch(self) -> None:
        move, target = self._move, self._target
        if self.is_over or move is None or target is None:
            return
        self._move = None
        self._target = None
        self._resume(target, move.source_address, move.handle)

    def _resume(self, upstream: upstream_book.Upstream, source_address: str, handle: str) -> None:
        point = dialects.ResumePoint(
            address=source_address, handle=handle, last_event_id=self._splice.last_event_id
        )
        fields = {
            **self.get_fields(),
            "upstream": upstream.instance.instance_id,
            "source": source_address,
            "events": self.events,
            "last_event_id": point.last_event_id,
        }
        logger.info("run goes on elsewhere", extra={"fields": fields})
        self._drop_attempt()
        self._is_stopping = False
        self._moves_made = 0
        self._tried.clear()
        self._splice.begin_connection()
        self._open(upstream, point)
        if upstream.is_leaving:
            self._move_later()

    def _pass_on(self, head: dialects.AnswerHead, data: bytes) -> bool:
        """Send bytes to the caller; False where that ended the exchange."""
        self._ran = codes.Ran.YES
        if not self.caller.is_started:
            self.caller.start_stream(head.status, head.headers, data)
            return not self.is_over
        unsent = self.caller.send_part(data)
        if unsent > UNREAD_BYTES:
            self.fail(codes.ResultCode.CALLER_TOO_SLOW, f"the caller left {unsent} bytes unread")
        return not self.is_over

    def _finish(self, head: dialects.AnswerHead) -> None:
        rest = self._splice.finish()
        if rest or not self.caller.is_started:
            self._pass_on(head, rest)
        self.caller.end_stream()
        fields = {**self.get_fields(), "status": head.status, "events": self.events}
        logger.info("answered", extra={"fields": fields})
        self.end()

    def _break(self, reason: str) -> None:
        if self._ran is codes.Ran.NO:
            self._ran = codes.Ran.UNKNOWN
        self.fail(codes.ResultCode.UPSTREAM_LOST, reason)
