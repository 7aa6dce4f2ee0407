"""Timers on the programs' clock.

The event library's own timer counts on the wall clock, which can be set back; a deadline or a
lease must not move with it. A suspension of the machine counts: what came due in it runs first.
"""

import heapq
import itertools
import logging
from collections.abc import Callable

import circuits
from circuits.core import events

from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

STALL_THRESHOLD_S = 0.5
"""Lateness of a timer that is worth a line: many times what a busy loop shows, and enough to
upset whoever counts on this process."""


SUSPENSION_THRESHOLD_S = 0.05
"""Difference between two looks at the clocks that is worth a line; both run alike otherwise."""


class Timer:
    """A pending call.

    :ivar due_s: monotonic time of the call, in seconds.
    """

    __slots__ = ("_call", "due_s")

    def __init__(self, due_s: float, call: Callable[[], None]) -> None:
        self.due_s = due_s
        self._call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Make sure the call does not happen any more."""
        self._call = None

    @property
    def is_cancelled(self) -> bool:
        """Whether the call was cancelled or has happened."""
        return self._call is None

    def run(self) -> None:
        """Make the call, unless it was cancelled."""
        call, self._call = self._call, None
        if call is not None:
            call()


class RepeatingTimer:
    """A call made again and again."""

    __slots__ = ("_call", "_interval_s", "_scheduler", "_timer")

    def __init__(self, scheduler: "Scheduler", interval_s: float, call: Callable[[], None]) -> None:
        self._scheduler = scheduler
        self._interval_s = interval_s
        self._call: Callable[[], None] | None = call
        self._timer = scheduler.call_later(interval_s, self._run)

    def cancel(self) -> None:
        """Make sure that no further call happens."""
        self._call = None
        self._timer.cancel()

    def _run(self) -> None:
        try:
            if self._call is not None:
                self._call()
        finally:
            if self._call is not None:
                self._timer = self._scheduler.call_later(self._interval_s, self._run)


class Scheduler(circuits.BaseComponent):
    """Makes calls at monotonic times, from the event loop."""

    channel = "scheduler"

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Timer]] = []
        self._counter = itertools.count()
        self._suspended_s = clocks.get_s() - clocks.get_running_s()

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Timer:
        """Make a call after a delay.

        :param delay_s: seconds from now; 0 for the next turn of the loop.
        :param call: what to call; an exception in it is reported by the loop.
        """
        timer = Timer(clocks.get_s() + delay_s, call)
        heapq.heappush(self._heap, (timer.due_s, next(self._counter), timer))
        return timer

    def call_every(self, interval_s: float, call: Callable[[], None]) -> "RepeatingTimer":
        """Make a call again and again until the process ends or it is cancelled.

        :param interval_s: seconds between the end of a call and the next.
        """
        return RepeatingTimer(self, interval_s, call)

    def run_overdue(self) -> None:
        """Run what came due while the process stood still, before what has arrived is handled.

        What was known may be long over by then: streams that would have been given up, instances
        that are gone, deadlines.
        """
        if self._heap and clocks.get_s() - self._heap[0][0] > STALL_THRESHOLD_S:
            self._run_due(None)

    @circuits.handler("generate_events", channel="*")
    def _on_generate_events(self, event: circuits.Event) -> None:
        self._record_suspension()
        if self._run_due(event):
            # What the calls fired is already queued, so the poller must not wait this turn.
            event.reduce_time_left(0)
        elif self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - clocks.get_s()))

    def _record_suspension(self) -> None:
        suspended_s = clocks.get_s() - clocks.get_running_s()
        for_s = suspended_s - self._suspended_s
        if for_s > SUSPENSION_THRESHOLD_S:
            fields = {"for_ms": int(for_s * 1000)}
            logger.warning("machine was suspended", extra={"fields": fields})
        self._suspended_s = suspended_s

    def _run_due(self, event: circuits.Event | None) -> bool:
        """Run what is due; tells whether anything was."""
        now_s = clocks.get_s()
        late_s = now_s - self._heap[0][0] if self._heap else 0.0
        if late_s > STALL_THRESHOLD_S:
            fields = {"late_ms": int(late_s * 1000)}
            logger.warning("process stood still", extra={"fields": fields})
        ran = False
        while self._heap and (self._heap[0][2].is_cancelled or self._heap[0][0] <= now_s):
            timer = heapq.heappop(self._heap)[2]
            ran = ran or not timer.is_cancelled
            self._run(timer, event)
        return ran

    def _run(self, timer: Timer, event: circuits.Event | None) -> None:
        # An exception that left the handler would leave the poller without the time of the
        # next timer, and the program would sleep on until a byte came.
        try:
            timer.run()
        except Exception as error:
            self.fire(events.exception(type(error), error, error.__traceback__, None, event), "*")
