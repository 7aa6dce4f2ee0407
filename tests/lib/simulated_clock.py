"""Simulated time with timers."""

import heapq
import itertools


class _Timer:
    def __init__(self, call):
        self.call = call

    def cancel(self):
        self.call = None


class Clock:
    """A scheduler on simulated time; calling it returns the time in seconds."""

    def __init__(self):
        self.now_s = 1_000.0
        self._due = []
        self._numbers = itertools.count()

    def __call__(self):
        return self.now_s

    def call_at(self, due_s, call):
        timer = _Timer(call)
        heapq.heappush(self._due, (due_s, next(self._numbers), timer))
        return timer

    def call_later(self, delay_s, call):
        return self.call_at(self.now_s + delay_s, call)

    def call_every(self, interval_s, call):
        def _run():
            call()
            self.call_later(interval_s, _run)

        self.call_later(interval_s * (0.5 + next(self._numbers) % 7 / 14), _run)

    def run(self, for_s):
        until_s = self.now_s + for_s
        while self._due and self._due[0][0] <= until_s:
            self.now_s, _, timer = heapq.heappop(self._due)
            if timer.call is not None:
                timer.call()
        self.now_s = until_s
