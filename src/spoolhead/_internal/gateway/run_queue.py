"""Queue of generations that wait at this entry for an engine with free capacity."""

import random
from typing import Protocol

from spoolhead._internal.gateway import room_sharing
from spoolhead._internal.network import scheduler
from spoolhead._internal.policy import run_admission, shared_queue
from spoolhead._internal.utils import clocks

CHECK_INTERVAL_S = 0.1
"""Maximum interval between checks of the queue; a small fraction of the shortest objective."""
MAX_JITTER_S = 0.015
"""Maximum random delay of a check after a change, so that not all entries choose the same engine at
once; several times as long as the report of a started run takes to reach the other entries."""


class QueuedRun(Protocol):
    """A generation in the queue."""

    admission: run_admission.Request
    waiting: shared_queue.WaitingRequest | None

    def try_start(self) -> bool:
        """Start or refuse the generation if due; return False if it must keep waiting."""


class RunQueue:
    """The queue of one entry, ordered by rank and time of arrival.

    :param timers: scheduler for timers.
    :param rng: random number generator.
    :param room: shares the order with other entries; None if each entry has its own order.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        timers: scheduler.Scheduler,
        rng: random.Random,
        room: room_sharing.RoomSharing | None = None,
        clock: clocks.Clock = clocks.get_s,
    ) -> None:
        self._room = room
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self._waiting: list[QueuedRun] = []
        self._timer: scheduler.Timer | None = None
        self._check_due_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, item: QueuedRun) -> None:
        """Add a generation."""
        self._waiting.append(item)
        self._waiting.sort(key=lambda each: (each.admission.rank, each.admission.arrived_s))
        if self._room is not None and item.waiting is not None:
            self._room.add(item.waiting)
        self._check_within(self._get_check_delay_s())

    def remove(self, item: QueuedRun) -> None:
        """Remove a generation if it is queued."""
        if item in self._waiting:
            self._waiting.remove(item)
            if self._room is not None and item.waiting is not None:
                self._room.remove(item.waiting)

    def schedule_check(self) -> None:
        """Schedule a check because an engine may have free capacity."""
        if self._waiting:
            self._check_within(self._rng.uniform(0.0, MAX_JITTER_S))

    def _get_check_delay_s(self) -> float:
        now_s = self._clock()
        due_times_s = [
            due_s
            for item in self._waiting
            for due_s in (item.admission.refuse_s, item.admission.offer_s)
            if due_s > now_s
        ]
        return min([CHECK_INTERVAL_S, *(due_s - now_s for due_s in due_times_s)])

    def _check_within(self, delay_s: float) -> None:
        due_s = self._clock() + delay_s
        if self._timer is not None:
            if self._check_due_s <= due_s:
                return
            self._timer.cancel()
        self._check_due_s = due_s
        self._timer = self._timers.call_later(delay_s, self._check)

    def _check(self) -> None:
        self._timer = None
        for item in self._get_ordered():
            if item in self._waiting and item.try_start():
                self.remove(item)
        if self._waiting:
            self._check_within(self._get_check_delay_s())

    def _get_ordered(self) -> list[QueuedRun]:
        """Return the queued generations, the first to start first."""
        if self._room is None:
            return list(self._waiting)
        places = self._room.get_places()
        return sorted(self._waiting, key=lambda item: places.get(item.waiting, (0, 0.0)))
