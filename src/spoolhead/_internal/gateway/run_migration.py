"""Moves a run to another instance when its own leaves.

The run's memory is copied while it goes on; once the copy is there, the run goes on from it.
"""

import logging
from typing import Protocol

from spoolhead._internal.gateway import exchange_context, memory_copy, permit_exchange, routed_job
from spoolhead._internal.network import scheduler
from spoolhead._internal.policy import run_migration_policy, upstream_registry
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.12
"""Pause before a failed order is tried again: a run that has not begun yet begins within some
prompts' reading time (200 ms each), and an instance leaves within about two seconds."""
NO_ROOM_STATUS = 503
"""Status of an order that the other instance has no room for."""


class Copy:
    """A copy from which a run can go on.

    :ivar upstream: the instance that holds it.
    :ivar address: ``IP:PORT`` that names it together with the handle.
    :ivar handle: its handle.
    """

    __slots__ = ("address", "handle", "upstream")

    def __init__(self, upstream: upstream_registry.Upstream, address: str, handle: str) -> None:
        self.upstream = upstream
        self.address = address
        self.handle = handle


class MigratingRun(Protocol):
    """The run that is guarded."""

    is_over: bool

    @property
    def upstream(self) -> upstream_registry.Upstream | None:
        """Where the run is."""

    @property
    def events(self) -> int:
        """Events passed on."""

    @property
    def need_tokens(self) -> int:
        """Memory that the run will hold, in tokens."""

    def on_copy_ready(self) -> None:
        """The run's instance leaves and the copy is up to date; it should go on there."""


class RunMigration:
    """Guard of one run.

    :param run: the run.
    :param job: its request.
    :param context: what all exchanges share.
    """

    def __init__(
        self, run: MigratingRun, job: routed_job.Job, context: exchange_context.Context
    ) -> None:
        self._run = run
        self._job = job
        self._context = context
        self._target: upstream_registry.Upstream | None = None
        self._move: memory_copy.MemoryCopy | None = None
        self._timer: scheduler.Timer | None = None
        self._is_awaiting_permit = False
        self._excluded_targets: set[str] = set()

    def check(self) -> None:
        """Do what the present state asks for; called when instances leave."""
        running_at = self._run.upstream
        if self._run.is_over or running_at is None:
            return
        now_s = clocks.get_s()
        holder = self._target
        if holder is not None and (holder.may_be_leaving(now_s) or holder.is_evacuated):
            fields = {
                "request": self._job.head.request_id,
                "holder": holder.instance.incarnation_id,
                "is_gone": holder.is_gone,
                "is_evacuated": holder.is_evacuated,
            }
            logger.info("copy lost", extra={"fields": fields})
            self.release_copy()
        must_move = running_at.may_be_leaving(now_s) and self._context.config.moves_runs
        if must_move and self._target is None:
            self._make_copy(running_at)

    def pop_copy(self) -> Copy | None:
        """Take the copy, if there is one, for the run to go on from it."""
        holder, move = self._target, self._move
        if holder is None or holder.is_gone or holder.is_evacuated:
            return None
        if move is None or not move.handle:
            return None
        self._target = self._move = None
        self._excluded_targets.clear()
        self._cancel_timer()
        self._release_reservation(holder)
        move.abandon(must_free=False)
        return Copy(holder, move.source_address, move.handle)

    def release_copy(self) -> None:
        """Give up the copy."""
        holder, move = self._target, self._move
        self._target = self._move = None
        self._cancel_timer()
        if move is not None:
            move.abandon(must_free=True)
        if holder is not None:
            self._release_reservation(holder)

    def on_copied(self, move: memory_copy.MemoryCopy) -> None:
        """Have the run go on at the copy, unless its instance stays after all."""
        fields = {"request": move.request_id, "handle": move.handle}
        logger.info("copy made", extra={"fields": fields})
        self._context.metrics.copies.labels("made").inc()
        running_at = self._run.upstream
        if running_at is not None and running_at.may_be_leaving(clocks.get_s()):
            self._run.on_copy_ready()
        else:
            self.release_copy()

    def on_copy_failed(self, move: memory_copy.MemoryCopy) -> None:
        """Try elsewhere, or again a little later."""
        fields = {
            "request": self._job.head.request_id,
            "source": move.source_address,
            "target": move.target_address,
            "status": move.status,
        }
        logger.info("copy failed", extra={"fields": fields})
        self._context.metrics.copies.labels("failed").inc()
        holder = self._target
        self.release_copy()
        if move.status == NO_ROOM_STATUS and holder is not None:
            self._excluded_targets.add(holder.instance.incarnation_id)
            self.check()
        else:
            self._check_later(RETRY_INTERVAL_S)

    def _make_copy(self, running_at: upstream_registry.Upstream) -> None:
        engine = self._job.service.engine
        if engine is None or not engine.can_move or self._is_awaiting_permit:
            return
        holder = self._choose_target(running_at) if self._run.events else None
        if holder is None:
            self._excluded_targets.clear()
            # There is no run to copy yet, or no room for a copy just now.
            self._check_later(RETRY_INTERVAL_S)
            return
        if self._context.gate.is_limited(holder):
            self._request_permit(running_at, holder)
            return
        self._start_copy(running_at, holder)

    def _request_permit(
        self, running_at: upstream_registry.Upstream, holder: upstream_registry.Upstream
    ) -> None:
        """Ask for a permit for the run to go on at a limited instance."""
        self._is_awaiting_permit = True
        request = permit_exchange.PermitTerms(
            self._job.request_priority, is_retry=False, wait_ms=0, is_final=False
        )

        def _handle_permit(is_granted: bool) -> None:
            self._is_awaiting_permit = False
            if self._run.is_over or self._run.upstream is not running_at:
                return
            if is_granted and not self._is_blocked(holder):
                self._start_copy(running_at, holder)
            else:
                self._check_later(RETRY_INTERVAL_S)

        self._context.permits.request_permit(holder, request, _handle_permit)

    def _is_blocked(self, holder: upstream_registry.Upstream) -> bool:
        bar = self._context.gate.get_block_reason(
            self._job.service,
            holder,
            clocks.get_s(),
            request_priority=self._job.request_priority,
            has_permit=True,
        )
        return bar is not None

    def _start_copy(
        self, running_at: upstream_registry.Upstream, holder: upstream_registry.Upstream
    ) -> None:
        self._log("copy ordered", running_at, holder)
        self._reserve(holder)
        self._move = memory_copy.MemoryCopy(
            request_id=self._job.head.request_id,
            source=running_at,
            target_address=holder.instance.address,
            calls=self._context.calls,
            dialect=self._context.dialect,
            user=self,
        )
        self._move.copy()

    def _log(
        self, text: str, running_at: upstream_registry.Upstream, holder: upstream_registry.Upstream
    ) -> None:
        fields = {
            "request": self._job.head.request_id,
            "source": running_at.instance.incarnation_id,
            "target": holder.instance.incarnation_id,
            "target_tokens": holder.tokens,
            "is_leaving": running_at.is_leaving,
            "events": self._run.events,
        }
        logger.info(text, extra={"fields": fields})

    def _choose_target(
        self, running_at: upstream_registry.Upstream
    ) -> upstream_registry.Upstream | None:
        return run_migration_policy.choose_copy_target(
            self._job.service,
            self._context.registry.get_service(self._job.service.name),
            running_at=running_at,
            excluded=self._excluded_targets,
            now_s=clocks.get_s(),
            gate=self._context.gate,
            request_priority=self._job.request_priority,
        )

    def _reserve(self, holder: upstream_registry.Upstream) -> None:
        request_id = self._job.head.request_id
        self._target = holder
        holder.in_flight[request_id] = upstream_registry.InFlightRequest(
            request_id, self._run.need_tokens, prefill_tokens=0, is_copy=True
        )
        self._context.on_change()

    def _release_reservation(self, holder: upstream_registry.Upstream) -> None:
        holder.in_flight.pop(self._job.head.request_id, None)
        self._context.on_change()

    def _check_later(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = self._context.timers.call_later(delay_s, self.check)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
