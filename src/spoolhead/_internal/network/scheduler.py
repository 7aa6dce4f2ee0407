"""Timers on the clock of :mod:`~spoolhead._internal.utils.clocks`.

The event library's own timers use the wall clock, which may be set back; deadlines and leases must
not move with it. Time in which the machine is suspended counts: timers that expired meanwhile run
before anything else.
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
"""Minimum delay of a timer that is logged: many times the delay in a busy loop, and long enough to
affect the processes that rely on this one."""

SUSPENSION_THRESHOLD_S = 0.05
"""Minimum suspended time between two checks that is logged. Without a suspension, both clocks run
at the same rate."""


class Timer:
    """A scheduled call.

    :ivar due_s: time of the call by :func:`clocks.get_s`, in seconds.
    """

    __slots__ = ("_callback", "due_s")

    def __init__(self, due_s: float, call: Callable[[], None]) -> None:
        self.due_s = due_s
        self._callback: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Cancel the call; no effect after it was made."""
        self._callback = None

    @property
    def is_cancelled(self) -> bool:
        """Whether the call was cancelled or made."""
        return self._callback is None

    def run(self) -> None:
        """Make the call, unless it was cancelled."""
        call, self._callback = self._callback, None
        if call is not None:
            call()


class RepeatingTimer:
    """A call that is made at intervals."""

    __slots__ = ("_callback", "_interval_s", "_scheduler", "_timer")

    def __init__(self, scheduler: "Scheduler", interval_s: float, call: Callable[[], None]) -> None:
        self._scheduler = scheduler
        self._interval_s = interval_s
        self._callback: Callable[[], None] | None = call
        self._timer = scheduler.call_later(interval_s, self._run)

    def cancel(self) -> None:
        """Cancel all further calls."""
        self._callback = None
        self._timer.cancel()

    def _run(self) -> None:
        try:
            if self._callback is not None:
                self._callback()
        finally:
            if self._callback is not None:
                self._timer = self._scheduler.call_later(self._interval_s, self._run)


class Scheduler(circuits.BaseComponent):
    """Makes scheduled calls from the event loop."""

    channel = "scheduler"

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Timer]] = []
        self._counter = itertools.count()
        self._suspended_s = clocks.get_s() - clocks.get_running_s()

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Timer:
        """Schedule a call after a delay.

        :param delay_s: seconds from now; 0 for the next loop iteration.
        :param call: function to call; the loop logs exceptions that it raises.
        """
        timer = Timer(clocks.get_s() + delay_s, call)
        heapq.heappush(self._heap, (timer.due_s, next(self._counter), timer))
        return timer

    def call_every(self, interval_s: float, call: Callable[[], None]) -> "RepeatingTimer":
        """Schedule a call at intervals until it is cancelled.

        :param interval_s: seconds between the end of a call and the next call.
        """
        return RepeatingTimer(self, interval_s, call)

    def run_overdue(self) -> None:
        """Run timers that expired during a stall of the process, before received data is handled.

        The state of the process may be outdated by then: streams that have timed out, instances
        that are gone, deadlines that have passed.
        """
        if self._heap and clocks.get_s() - self._heap[0][0] > STALL_THRESHOLD_S:
            self._run_due(None)

    @circuits.handler("generate_events", channel="*")
    def _on_generate_events(self, event: circuits.Event) -> None:
        self._record_suspension()
        if self._run_due(event):
            # Events that the calls fired are already queued, so the poller must not wait.
            event.reduce_time_left(0)
        elif self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - clocks.get_s()))

    def _record_suspension(self) -> None:
        suspended_s = clocks.get_s() - clocks.get_running_s()
        added_s = suspended_s - self._suspended_s
        if added_s > SUSPENSION_THRESHOLD_S:
            fields = {"for_ms": int(added_s * 1000)}
            logger.warning("machine was suspended", extra={"fields": fields})
        self._suspended_s = suspended_s

    def _run_due(self, event: circuits.Event | None) -> bool:
        """Run due timers; return whether any was run."""
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
        # If an exception propagated from the handler, the poller would not be given the time of the
        # next timer, and the program would sleep until data arrives.
        try:
            timer.run()
        except Exception as error:
            self.fire(events.exception(type(error), error, error.__traceback__, None, event), "*")
