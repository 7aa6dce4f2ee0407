"""Keeps a copy of a run's memory at a second instance, and moves the run when it must.

From the start the engine itself sends the memory on as it grows. When the instance that holds
the copy goes, another copy is made by order and brought up to date now and then. When the
run's own instance goes, the run goes on at the copy.
"""

import logging
import time
from typing import Protocol

from spoolhead._internal.gateway import exchange, run_move
from spoolhead._internal.network import scheduler
from spoolhead._internal.policy import run_safety, upstream_book

logger = logging.getLogger(__name__)

REFRESH_S = 1.5
"""Pause between updates of a copy made by order: a copy lives five seconds without one, and
what a run makes in this time is read anew within about 15 ms."""
TRY_AGAIN_S = 0.12
"""Pause before a failed order is tried again: a run that has not begun yet begins within some
prompts' reading time (200 ms each), and an instance leaves within about two seconds."""
NO_ROOM = 503
"""Status of an order that the other instance has no room for."""


class Copy:
    """A copy from which a run can go on.

    :ivar upstream: the instance that holds it.
    :ivar address: ``IP:PORT`` that names it together with the handle.
    :ivar handle: its handle.
    """

    __slots__ = ("address", "handle", "upstream")

    def __init__(self, upstream: upstream_book.Upstream, address: str, handle: str) -> None:
        self.upstream = upstream
        self.address = address
        self.handle = handle


class Guarded(Protocol):
    """The run that is guarded."""

    is_over: bool

    @property
    def upstream(self) -> upstream_book.Upstream | None:
        """Where the run is."""

    @property
    def events(self) -> int:
        """Events passed on."""

    @property
    def need_tokens(self) -> int:
        """Memory that the run will hold, in tokens."""

    @property
    def remaining_tokens(self) -> int:
        """Tokens that the run is still expected to make."""

    def on_copy_ready(self) -> None:
        """The run's instance leaves and the copy is up to date; it should go on there."""


class RunGuard:
    """Guard of one run.

    :param run: the run.
    :param job: its request.
    :param context: what all exchanges share.
    """

    def __init__(self, run: Guarded, job: exchange.Job, context: exchange.Context) -> None:
        self._run = run
        self._job = job
        self._context = context
        self._holder: upstream_book.Upstream | None = None
        self._move: run_move.RunMove | None = None
        self._timer: scheduler.Timer | None = None
        self._refusers: set[str] = set()

    def begin(self, running_at: upstream_book.Upstream) -> str:
        """Choose who gets the copy from the start.

        :returns: address of that instance; empty for none.
        """
        self.drop()
        holder = self._choose(running_at) if self._wants_standing_copy else None
        if holder is None:
            if self._context.config.copies_runs:
                self._look_later(REFRESH_S)
            return ""
        self._hold(holder)
        self._log("copy grows along", running_at, holder)
        return holder.instance.address

    def look(self) -> None:
        """Do what the present state asks for; called when instances leave, and now and then."""
        running_at = self._run.upstream
        if self._run.is_over or running_at is None:
            return
        now_s = time.monotonic()
        holder = self._holder
        if holder is not None and holder.is_departing(now_s):
            fields = {
                "request": self._job.head.request_id,
                "holder": holder.instance.instance_id,
                "is_gone": holder.is_gone,
            }
            logger.info("copy lost", extra={"fields": fields})
            self.drop()
        if self._move is not None and self._move.is_busy:
            return
        must_move = running_at.is_departing(now_s) and self._context.config.moves_runs
        if self._holder is None:
            if must_move or self._wants_standing_copy:
                self._make_copy(running_at)
        elif self._move is not None:
            self._move.copy()

    def take(self) -> Copy | None:
        """Take the copy, if there is one, for the run to go on from it."""
        holder, move = self._holder, self._move
        if holder is None or holder.is_gone:
            return None
        if move is not None and not move.handle:
            return None
        self._holder = self._move = None
        self._cancel_timer()
        self._release(holder)
        if move is None:
            return Copy(holder, holder.instance.address, self._job.head.request_id)
        move.abandon(must_free=False)
        return Copy(holder, move.source_address, move.handle)

    def drop(self) -> None:
        """Give up the copy."""
        holder, move = self._holder, self._move
        self._holder = self._move = None
        self._cancel_timer()
        if move is not None:
            move.abandon(must_free=True)
        if holder is not None:
            self._release(holder)

    def on_copied(self, move: run_move.RunMove) -> None:
        """Have the run go on at the copy if its instance leaves; else keep it up to date."""
        fields = {"request": move.request_id, "handle": move.handle}
        logger.info("copy made", extra={"fields": fields})
        self._context.figures.copies.labels("made").inc()
        running_at = self._run.upstream
        if running_at is not None and running_at.is_departing(time.monotonic()):
            self._run.on_copy_ready()
        else:
            self._look_later(REFRESH_S)

    def on_move_failed(self, move: run_move.RunMove) -> None:
        """Try elsewhere, unless an older copy is the best there is."""
        fields = {
            "request": self._job.head.request_id,
            "source": move.source_address,
            "target": move.target_address,
            "status": move.status,
        }
        logger.info("copy failed", extra={"fields": fields})
        self._context.figures.copies.labels("failed").inc()
        if move.status == run_move.UNREACHABLE and move.handle:
            # The source is gone; the copy made before is what the run goes on from.
            return
        holder = self._holder
        self.drop()
        if move.status == NO_ROOM and holder is not None:
            self._refusers.add(holder.instance.instance_id)
            self.look()
        else:
            self._look_later(TRY_AGAIN_S)

    @property
    def _wants_standing_copy(self) -> bool:
        if not self._context.config.copies_runs:
            return False
        return run_safety.wants_standing_copy(self._run.remaining_tokens)

    def _make_copy(self, running_at: upstream_book.Upstream) -> None:
        engine = self._job.service.engine
        if engine is None or not engine.can_move:
            return
        holder = self._choose(running_at) if self._run.events else None
        if holder is None:
            self._refusers.clear()
            # There is no run to copy yet, or no room for a copy just now.
            is_urgent = running_at.is_departing(time.monotonic())
            self._look_later(TRY_AGAIN_S if is_urgent else REFRESH_S)
            return
        self._log("copy ordered", running_at, holder)
        self._hold(holder)
        self._move = run_move.RunMove(
            request_id=self._job.head.request_id,
            source_address=running_at.instance.address,
            target_address=holder.instance.address,
            calls=self._context.calls,
            dialect=self._context.dialect,
            user=self,
        )
        self._move.copy()

    def _log(
        self, text: str, running_at: upstream_book.Upstream, holder: upstream_book.Upstream
    ) -> None:
        fields = {
            "request": self._job.head.request_id,
            "source": running_at.instance.instance_id,
            "target": holder.instance.instance_id,
            "target_tokens": holder.tokens,
            "is_leaving": running_at.is_leaving,
            "events": self._run.events,
        }
        logger.info(text, extra={"fields": fields})

    def _choose(self, running_at: upstream_book.Upstream) -> upstream_book.Upstream | None:
        now_s = time.monotonic()
        return run_safety.choose_holder(
            self._job.service,
            self._context.book.get_service(self._job.service.name),
            running_at=running_at,
            need_tokens=self._run.need_tokens,
            is_urgent=running_at.is_departing(now_s),
            excluded=self._refusers,
            now_s=now_s,
        )

    def _hold(self, holder: upstream_book.Upstream) -> None:
        request_id = self._job.head.request_id
        self._holder = holder
        holder.works[request_id] = upstream_book.Work(
            request_id, self._run.need_tokens, reading_tokens=0
        )
        self._context.on_change()

    def _release(self, holder: upstream_book.Upstream) -> None:
        holder.works.pop(self._job.head.request_id, None)
        self._context.on_change()

    def _look_later(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = self._context.timers.call_later(delay_s, self.look)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
