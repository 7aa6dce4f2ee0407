"""What an instance of the platform's stand-in does with orders to stop its runs.

An instance takes one step for each order about the same run, in turn; the last one is repeated.
The first order that is read stops the run. The steps:

``handle``
    The answer names the handle of the copy. Later orders get 409 until then, 404 afterwards.
``late``
    The same, :attr:`StopOrders.late_s` later.
``none``
    There is no answer, and the connection stays open.
``reset``
    The connection is reset.
``404``, ``409``, ``500``, ``503``
    The answer has that status and names no handle.
``dropped``
    The connection is reset before the order is read, so the run goes on.
``unread``
    The order is read once the run has ended by itself, and answered with 404.
"""

import collections
import time

HANDLE = "handle"
LATE = "late"
NONE = "none"
RESET = "reset"
DROPPED = "dropped"
UNREAD = "unread"
STATUSES = ("404", "409", "500", "503")
STEPS = (HANDLE, LATE, NONE, RESET, DROPPED, UNREAD, *STATUSES)
LATE_S = 1.6
"""Time after which a late answer comes: longer than an entry waits for it."""


class StopOrders:
    """Orders to stop the runs of one instance.

    :ivar steps: steps for the orders about one run, in turn; the last one is repeated.
    :ivar late_s: time after which a late answer comes.
    :ivar close_delay_s: time from the stop of a run to the close of its stream.
    """

    def __init__(self) -> None:
        self.steps = [HANDLE]
        self.late_s = LATE_S
        self.close_delay_s = 0.0
        self._counts: collections.Counter[str] = collections.Counter()
        self._busy_until_s: dict[str, float] = {}

    def configure(self, changes: dict) -> None:
        """Apply the changes that a test has sent."""
        self.steps = changes.get("stop_answers", self.steps)
        if unknown := set(self.steps).difference(STEPS):
            raise ValueError(f"unknown steps: {sorted(unknown)}")
        self.late_s = changes.get("late_s", self.late_s)
        self.close_delay_s = changes.get("close_delay_s", self.close_delay_s)

    def take_step(self, run_id: str) -> str:
        """Return the step for the next order about a run."""
        place = min(self._counts[run_id], len(self.steps) - 1)
        self._counts[run_id] += 1
        return self.steps[place]

    def record_stopped(self, run_id: str, busy_s: float) -> None:
        """Record that a run was stopped by an order, which is under way for a time."""
        self._busy_until_s[run_id] = time.monotonic() + busy_s

    def is_stopped(self, run_id: str) -> bool:
        """Return whether an order has stopped a run, which has not resumed here since."""
        return run_id in self._busy_until_s

    def get_status(self, run_id: str) -> int:
        """Return the status of a later order about a run that was stopped."""
        return 409 if time.monotonic() < self._busy_until_s[run_id] else 404

    def forget(self, run_id: str) -> None:
        """Forget the orders about a run that begins here."""
        self._counts.pop(run_id, None)
        self._busy_until_s.pop(run_id, None)

    def clear(self) -> None:
        """Forget all orders, as an instance does that starts again."""
        self._counts.clear()
        self._busy_until_s.clear()
