"""How many second attempts an entry may make; no I/O, time passed in.

The whole fleet may make a share of the requests and a little besides, in any window. An entry
that counts only its own requests cannot exceed the share, whether it hears of others or not;
of the little besides it takes the part that falls to it if the fleet is as large as it was
ever heard to be.
"""

import collections

USED_FRACTION = 0.7
"""Part of what is allowed that is used; the rest covers windows that slide and entries that
were not heard of."""


class RetryAllowance:
    """Allowance of one entry for one service.

    :param ratio: second attempts for each request.
    :param slack: second attempts besides, in one window, over all entries.
    :param window_ms: length of the window.
    """

    def __init__(self, *, ratio: float, slack: int, window_ms: int) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_ms / 1000
        self._requests: collections.deque[float] = collections.deque()
        self._used: collections.deque[float] = collections.deque()
        self.entry_count = 1

    def record_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_s)

    def try_acquire(self, now_s: float) -> bool:
        """Take one second attempt, if there is one left."""
        self._expire(now_s)
        own_slack = self._slack * USED_FRACTION / max(1, self.entry_count)
        allowed = len(self._requests) * self._ratio * USED_FRACTION + own_slack
        if len(self._used) + 1 > allowed:
            return False
        self._used.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._used):
            while times and times[0] < oldest_s:
                times.popleft()
