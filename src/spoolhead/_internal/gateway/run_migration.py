"""Migrates a run to another instance when its own instance leaves.

The run continues while its memory is copied. It is then stopped, and resumes from the copy once it
is known to have ended.
"""

import logging
from typing import Protocol

from spoolhead._internal.gateway import (
    exchange_context,
    memory_copy,
    permit_exchange,
    routed_job,
    shared_allowances,
)
from spoolhead._internal.network import links, scheduler, upstream_calls
from spoolhead._internal.policy import (
    retry_allowance,
    run_handover,
    run_migration_policy,
    run_placement,
    upstream_registry,
)
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.12
"""Interval between attempts to copy: a run that has not begun yet begins after the prefill of a few
prompts (200 ms each), and an instance leaves within about two seconds."""
NO_ROOM_STATUS = 503
"""HTTP status of a copy order if the target has no free memory."""
TIMED_OUT = "no answer in time"
"""Reason for the loss of an order to stop the run that is repeated without its answer."""


class ReadyCopy:
    """A copy of a run's memory from which the run can resume.

    :ivar upstream: the instance that stores the copy.
    :ivar address: ``IP:PORT`` of the source; identifies the copy together with the handle.
    :ivar handle: handle of the copy.
    """

    __slots__ = ("address", "handle", "upstream")

    def __init__(self, upstream: upstream_registry.Upstream, address: str, handle: str) -> None:
        self.upstream = upstream
        self.address = address
        self.handle = handle


class _ResumedCopy:
    """The copy from which a run has resumed.

    :ivar copy: the copy; its order to stop the run may still be pending.
    :ivar used_handle: the handle from which the run has resumed.
    :ivar is_awaited: the run waits for the update that this order makes.
    :ivar is_confirmed: the run goes on from the copy, or is over.
    """

    __slots__ = ("copy", "is_awaited", "is_confirmed", "target", "used_handle")

    def __init__(
        self, target: upstream_registry.Upstream, copy: memory_copy.MemoryCopy, used_handle: str
    ) -> None:
        self.target = target
        self.copy = copy
        self.used_handle = used_handle
        self.is_awaited = False
        self.is_confirmed = False


class MigratingRun(Protocol):
    """The run that may be migrated."""

    is_over: bool

    @property
    def upstream(self) -> upstream_registry.Upstream | None:
        """Instance of the run; None without one."""

    @property
    def events(self) -> int:
        """Number of events that were forwarded to the caller."""

    @property
    def need_tokens(self) -> int:
        """Memory that the run will need, in tokens."""

    @property
    def answer_tokens(self) -> int:
        """Tokens that the run is expected to generate in total."""

    @property
    def may_be_stopped(self) -> bool:
        """Whether the run may be stopped in order to resume elsewhere."""

    def record_stop_order(self, call: upstream_calls.UpstreamCall) -> int:
        """Record an order to stop the run; return how many there are for this instance."""

    def on_run_stopped(self) -> None:
        """Called when the run has ended at its instance and should resume from the copy."""

    def on_handover_failed(self, reason: str) -> None:
        """Called when the run cannot go on anywhere."""


class RunMigration:
    """Controls the migration of one run.

    :param run: the run.
    :param job: the run's request.
    :param context: components that all exchanges of the entry share.
    """

    def __init__(
        self, run: MigratingRun, job: routed_job.Job, context: exchange_context.Context
    ) -> None:
        self._run = run
        self._job = job
        self._context = context
        self._target: upstream_registry.Upstream | None = None
        self._copy: memory_copy.MemoryCopy | None = None
        self._timer: scheduler.Timer | None = None
        self._is_awaiting_permit = False
        self._excluded_targets: set[str] = set()
        self._handover: run_handover.RunHandover | None = None
        self._resumed: _ResumedCopy | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether the run has been ordered to stop, and has not resumed yet."""
        return self._handover is not None

    def check(self) -> None:
        """Start, keep or release a copy, depending on the state of the source and the target."""
        source = self._run.upstream
        if self._run.is_over or source is None or self.is_stopping:
            return
        now_s = clocks.get_s()
        target = self._target
        if target is not None and (target.may_be_leaving(now_s) or target.is_evacuated):
            fields = {
                "request": self._job.head.request_id,
                "holder": target.instance.incarnation_id,
                "is_gone": target.is_gone,
                "is_evacuated": target.is_evacuated,
            }
            logger.info("copy lost", extra={"fields": fields})
            self.release_copy()
        must_move = source.may_be_leaving(now_s) and self._context.config.moves_runs
        if must_move and self._target is None:
            self._make_copy(source)

    def pop_copy(self) -> ReadyCopy | None:
        """Remove and return the copy for resuming the run; None if there is no usable copy."""
        target, copy = self._target, self._copy
        if target is None or target.is_gone or target.is_evacuated:
            return None
        if copy is None or not copy.handle:
            return None
        self._target = self._copy = None
        self._excluded_targets.clear()
        self._cancel_timer()
        self._release_reservation(target)
        self._resumed = _ResumedCopy(target, copy, copy.handle)
        return ReadyCopy(target, copy.source_address, copy.handle)

    def release_copy(self) -> None:
        """Release the copy and its reservation at the target."""
        target, copy = self._target, self._copy
        self._target = self._copy = None
        self._handover = None
        self._cancel_timer()
        if copy is not None:
            copy.close()
        if target is not None:
            self._release_reservation(target)

    def on_copied(self, copy: memory_copy.MemoryCopy) -> None:
        """Stop the run, in order to resume it from the copy, unless its instance stays."""
        fields = {"request": copy.request_id, "handle": copy.handle}
        logger.info("copy made", extra={"fields": fields})
        self._context.metrics.copies.labels("made").inc()
        source = self._run.upstream
        if source is None or not source.may_be_leaving(clocks.get_s()):
            self.release_copy()
        elif self._run.may_be_stopped:
            self._begin_handover(copy)

    def _begin_handover(self, copy: memory_copy.MemoryCopy) -> None:
        """Order the run to stop, as soon as the allowance covers that its request arrives again."""
        fields: shared_allowances.LogFields = {"request": self._job.head.request_id}
        reason = retry_allowance.RepeatReason.MOVE
        if self._context.allowances.try_acquire(self._job, reason, fields):
            self._handover = run_handover.RunHandover()
            self._order_stop()
            return
        self._cancel_timer()
        self._timer = self._context.timers.call_later(
            RETRY_INTERVAL_S, lambda: self._retry_handover(copy)
        )

    def _retry_handover(self, copy: memory_copy.MemoryCopy) -> None:
        if not self._run.is_over and self._copy is copy and not self.is_stopping:
            self.on_copied(copy)

    def handle_stream_end(self, end: run_handover.StreamEnd) -> None:
        """Handle the end of the run's stream after an order to stop it.

        The order may have arrived although the handover was given up meanwhile.
        """
        if self._handover is not None:
            self._apply(self._handover.handle_stream_end(end))
        else:
            self._run.on_run_stopped()

    def on_stop_answered(self, copy: memory_copy.MemoryCopy, *, has_handle: bool) -> None:
        """Handle the answer to an order to stop the run."""
        fields = {"status": copy.status, "has_handle": has_handle}
        self._log_stop("order to stop answered", fields)
        if self._handover is not None and copy is self._copy:
            step = self._handover.handle_answer(
                copy.status, has_handle=has_handle, is_other_pending=copy.is_pending
            )
            self._apply(step)
        elif self._resumed is not None and self._resumed.copy is copy:
            self._handle_update(self._resumed)

    def on_stop_lost(
        self, copy: memory_copy.MemoryCopy, reason: str, *, may_have_arrived: bool
    ) -> None:
        """Handle an order to stop the run that got no answer."""
        self._log_stop_lost(reason, may_have_arrived=may_have_arrived)
        if self._handover is not None and copy is self._copy:
            has_terminated = reason == links.REFUSED
            self._apply(self._handover.handle_order_lost(has_terminated=has_terminated))
        elif self._resumed is not None and self._resumed.copy is copy:
            self._handle_update(self._resumed)

    def resume_from_update(self) -> bool:
        """Resume from the copy's last update instead, after the copy itself was refused.

        :returns: False if there is none to be expected.
        """
        resumed = self._resumed
        if resumed is None or resumed.is_awaited:
            return False
        resumed.is_awaited = True
        self._handle_update(resumed)
        return True

    def confirm_resumed(self) -> None:
        """Record that the run goes on from its copy, so that an update of it is not needed."""
        resumed = self._resumed
        if resumed is None:
            return
        resumed.is_confirmed = True
        resumed.is_awaited = False
        resumed.copy.finish_in_background()
        self._handle_update(resumed)

    def _handle_update(self, resumed: "_ResumedCopy") -> None:
        """Use or release the update that an order to stop has made, once it is there."""
        copy = resumed.copy
        has_update = copy.handle != resumed.used_handle
        if resumed.is_awaited and has_update:
            self._resumed = None
            self._target, self._copy = resumed.target, copy
            self._run.on_run_stopped()
        elif copy.is_pending:
            return
        elif resumed.is_awaited:
            self._resumed = None
            self._run.on_handover_failed("the copy of the run was refused")
        elif resumed.is_confirmed:
            self._resumed = None
            copy.release_unless_used(resumed.used_handle)

    def _order_stop(self) -> None:
        copy = self._copy
        if copy is None or self._handover is None:
            return
        call = copy.start(stops_run=True)
        count = self._run.record_stop_order(call)
        fields = {"order": count, "target": copy.target_address, "events": self._run.events}
        self._log_stop("run ordered to stop", fields)
        self._cancel_timer()
        self._timer = self._context.timers.call_later(
            run_handover.ORDER_TIMEOUT_S, lambda: self._on_stop_timeout(call)
        )

    def _on_stop_timeout(self, call: upstream_calls.UpstreamCall) -> None:
        if self._handover is not None:
            if not call.is_over:
                self._log_stop_lost(TIMED_OUT, may_have_arrived=call.may_have_arrived)
            self._apply(self._handover.handle_order_lost(has_terminated=False))

    def _apply(self, step: run_handover.Step) -> None:
        """Take the next step of a handover."""
        match step:
            case run_handover.Step.WAIT:
                return
            case run_handover.Step.ORDER_AGAIN:
                self._cancel_timer()
                self._timer = self._context.timers.call_later(
                    run_handover.ORDER_INTERVAL_S, self._order_stop
                )
            case run_handover.Step.RESUME:
                self._resume()
            case run_handover.Step.KEEP:
                copy = self._copy
                assert copy is not None
                self._log_stop("run could not be stopped", {"status": copy.status})
                self._handover = None
                self._retry_elsewhere(copy)
            case run_handover.Step.FAIL:
                self._run.on_handover_failed("it is not known whether the run has ended")

    def _resume(self) -> None:
        assert self._handover is not None and self._handover.evidence is not None
        fields = {
            "request": self._job.head.request_id,
            "evidence": self._handover.evidence.value,
        }
        logger.info("run has ended at its instance", extra={"fields": fields})
        self._handover = None
        self._run.on_run_stopped()

    def _log_stop_lost(self, reason: str, *, may_have_arrived: bool) -> None:
        fields = {"reason": reason, "may_have_arrived": may_have_arrived}
        self._log_stop("order to stop lost", fields)

    def _log_stop(self, text: str, fields: dict[str, object]) -> None:
        logger.info(text, extra={"fields": {"request": self._job.head.request_id, **fields}})

    def on_copy_failed(self, copy: memory_copy.MemoryCopy) -> None:
        """Retry at another target if this one has no free memory, otherwise after an interval."""
        fields = {
            "request": self._job.head.request_id,
            "source": copy.source_address,
            "target": copy.target_address,
            "status": copy.status,
        }
        logger.info("copy failed", extra={"fields": fields})
        self._context.metrics.copies.labels("failed").inc()
        self._retry_elsewhere(copy)

    def _retry_elsewhere(self, copy: memory_copy.MemoryCopy) -> None:
        """Make another copy: at once if this target has no room, otherwise after an interval."""
        target = self._target
        self.release_copy()
        if copy.status == NO_ROOM_STATUS and target is not None:
            self._excluded_targets.add(target.instance.incarnation_id)
            self.check()
        else:
            self._schedule_check(RETRY_INTERVAL_S)

    def _make_copy(self, source: upstream_registry.Upstream) -> None:
        engine = self._job.service.engine
        if engine is None or not engine.can_move or self._is_awaiting_permit:
            return
        reason = retry_allowance.RepeatReason.MOVE
        if not self._context.allowances.has_room(self._job, reason):
            self._schedule_check(RETRY_INTERVAL_S)
            return
        target = self._choose_target(source) if self._run.events else None
        if target is None:
            self._excluded_targets.clear()
            # The run has not begun, or no target has free memory at present.
            self._schedule_check(RETRY_INTERVAL_S)
            return
        if self._context.gate.is_limited(target):
            self._request_permit(source, target)
            return
        self._start_copy(source, target)

    def _request_permit(
        self, source: upstream_registry.Upstream, target: upstream_registry.Upstream
    ) -> None:
        """Request a permit for resuming the run at a rate-limited instance."""
        self._is_awaiting_permit = True
        request = permit_exchange.PermitTerms(
            self._job.request_priority, is_retry=False, wait_ms=0, is_final=False
        )

        def _handle_permit(is_granted: bool) -> None:
            self._is_awaiting_permit = False
            if self._run.is_over or self._run.upstream is not source:
                return
            if is_granted and not self._is_blocked(target):
                self._start_copy(source, target)
            else:
                self._schedule_check(RETRY_INTERVAL_S)

        self._context.permits.request_permit(target, request, _handle_permit)

    def _is_blocked(self, target: upstream_registry.Upstream) -> bool:
        block_reason = self._context.gate.get_block_reason(
            self._job.service,
            target,
            clocks.get_s(),
            request_priority=self._job.request_priority,
            has_permit=True,
        )
        return block_reason is not None

    def _start_copy(
        self, source: upstream_registry.Upstream, target: upstream_registry.Upstream
    ) -> None:
        self._log("copy ordered", source, target)
        self._reserve(target)
        self._copy = memory_copy.MemoryCopy(
            request_id=self._job.head.request_id,
            source=source,
            target_address=target.instance.address,
            calls=self._context.calls,
            dialect=self._context.dialect,
            owner=self,
        )
        self._copy.start()

    def _log(
        self, text: str, source: upstream_registry.Upstream, target: upstream_registry.Upstream
    ) -> None:
        fields = {
            "request": self._job.head.request_id,
            "source": source.instance.incarnation_id,
            "target": target.instance.incarnation_id,
            "target_tokens": target.tokens,
            "is_leaving": source.is_leaving,
            "events": self._run.events,
        }
        logger.info(text, extra={"fields": fields})

    def _choose_target(
        self, source: upstream_registry.Upstream
    ) -> upstream_registry.Upstream | None:
        return run_migration_policy.choose_copy_target(
            self._job.service,
            self._context.registry.get_service(self._job.service.name),
            source=source,
            excluded=self._excluded_targets,
            now_s=clocks.get_s(),
            gate=self._context.gate,
            request_priority=self._job.request_priority,
            generation=self._get_rest(),
        )

    def _get_rest(self) -> run_placement.Generation | None:
        """Return the part of the run that is still to be generated."""
        engine = self._job.service.engine
        if engine is None:
            return None
        generated = self._run.events * engine.tokens_per_event
        return run_placement.Generation(
            prompt_tokens=0,
            answer_tokens=max(0, self._run.answer_tokens - generated),
            objective_ms=self._job.route.objective_ms,
            pause_ms=self._job.route.pause_ms,
        )

    def _reserve(self, target: upstream_registry.Upstream) -> None:
        request_id = self._job.head.request_id
        self._target = target
        target.in_flight[request_id] = upstream_registry.InFlightRequest(
            request_id,
            self._run.need_tokens,
            prefill_tokens=0,
            answer_tokens=self._run.answer_tokens,
            is_copy=True,
        )
        self._context.on_change()

    def _release_reservation(self, target: upstream_registry.Upstream) -> None:
        target.in_flight.pop(self._job.head.request_id, None)
        self._context.on_change()

    def _schedule_check(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = self._context.timers.call_later(delay_s, self.check)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
