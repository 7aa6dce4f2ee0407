"""Limits how often requests arrive at a service again. Performs no I/O; the time is passed in.

In any window the whole fleet may repeat a fixed ratio of its requests, plus a fixed slack. Every
arrival of a request beyond its first counts, whatever its reason. Each entry publishes what it has
acquired and decides by the sum over all entries, so the allowance can be used wherever it is
needed. An entry without current data of the others uses its own part of it.
"""

import collections
import enum
import math

from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import other_repeats

RETRY_FRACTION = 0.7
"""Fraction of the allowance up to which retries are granted. The rest is left to moves, to sliding
windows and to what other entries acquire before it is known here."""
MOVE_FRACTION = 0.9
"""Fraction of the allowance up to which moves are granted."""
TURN_S = 0.2
"""Time within which what one entry acquires is known to the others. Until then, each entry may
acquire only its part of what is left, since all may need it at the same moment."""
PUBLISH_INTERVAL_S = 2.5
"""Interval at which an entry publishes anew what has arrived and expired. Its repeats are published
at once; with each request, every report would change the sums that delay the loads of instances."""
FULL_WEIGHT = 10
"""Weight with which an entry counts for the slack after its first window."""
STARTING_WEIGHT = 1
"""Weight before that: what the previous process of the entry has acquired is not known."""


class RepeatReason(enum.Enum):
    """Reason why a request is sent to its service once more."""

    RETRY = "retry"
    MOVE = "move"
    """A run goes on at another instance; without it, the caller's stream would be broken off."""
    FORWARD = "forward"
    """Another entry is asked after one that may have sent the request."""


def get_key(service: str) -> int:
    """Return the key of the row by which entries publish their repeats at a service.

    In the row, ``tokens`` are the repeats acquired since the start of the process and
    ``answer_tokens`` those in the window, ``prefill_tokens`` the requests in the window, and
    ``count`` the entry's weight.
    """
    return shared_load.get_key(f"repeats/{service}")


class RetryAllowance:
    """The allowance of one service at one entry.

    :param ratio: repeats for each request.
    :param slack: additional repeats in one window, over all entries.
    :param window_ms: length of the window.
    :param started_s: monotonic time at which the process started.
    :ivar entry_count: number of entries that share the allowance; 0 if that is not known, and then
        a ratio of the entry's own requests is all that it uses.
    :ivar entry_index: number of this entry among them.
    :ivar others: what the other entries have published.
    """

    def __init__(self, *, ratio: float, slack: int, window_ms: int, started_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_ms / 1000
        self._started_s = started_s
        self._requests: collections.deque[float] = collections.deque()
        self._acquired: collections.deque[float] = collections.deque()
        self._acquired_count = 0
        self._published = shared_load.InstanceLoad()
        self._published_s = -math.inf
        self._last_total = 0
        self._last_change_s = started_s
        self.entry_count = 0
        self.entry_index = 0
        self.others = other_repeats.OtherRepeats(self._window_s)

    def record_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_s)

    def has_room(self, now_s: float, reason: RepeatReason) -> bool:
        """Return whether one more repeat would be granted."""
        self._expire(now_s)
        allowed = self._get_allowed(now_s)
        used = self._count_acquired(now_s)
        if reason is not RepeatReason.MOVE and used + 1 > RETRY_FRACTION * allowed:
            return False
        turn_count = sum(acquired_s > now_s - TURN_S for acquired_s in self._acquired)
        free_count = int(MOVE_FRACTION * allowed) - (used - turn_count)
        return turn_count + 1 <= self._get_turn_part(free_count, now_s)

    def try_acquire(self, now_s: float, reason: RepeatReason) -> bool:
        """Acquire one repeat; return whether one was left."""
        if not self.has_room(now_s, reason):
            return False
        self.record_acquired(now_s)
        return True

    def record_acquired(self, now_s: float) -> None:
        """Count a repeat, also one that cannot be avoided; later ones have to make up for it."""
        self._acquired.append(now_s)
        self._acquired_count += 1

    def get_row(self, now_s: float) -> shared_load.InstanceLoad:
        """Return the row of this entry for a report; see :func:`get_key`."""
        is_due = now_s - self._published_s >= PUBLISH_INTERVAL_S
        if is_due or self._published.tokens != self._acquired_count:
            self._expire(now_s)
            self._published_s = now_s
            self._published = shared_load.InstanceLoad(
                tokens=self._acquired_count,
                count=self._get_weight(now_s),
                prefill_tokens=len(self._requests),
                answer_tokens=len(self._acquired),
            )
        return self._published.copy()

    def get_log_fields(self, now_s: float) -> dict[str, object]:
        """Return the log fields about what is used and what is allowed."""
        self._expire(now_s)
        return {
            "used": self._count_acquired(now_s),
            "own_used": len(self._acquired),
            "allowed": round(self._get_allowed(now_s), 1),
            "window_requests": self._count_requests(),
            "entries": self.entry_count,
            "is_shared": self._is_shared,
        }

    @property
    def _is_shared(self) -> bool:
        return self.others.is_known and self.entry_count > 0

    def _get_turn_part(self, free_count: int, now_s: float) -> int:
        """Return how many of the repeats that are left this entry may acquire in one turn.

        They are divided equally. Those that are left over go to a few entries, which change with
        each repeat that any entry acquires, and with each turn in which none does.
        """
        if not self._is_shared:
            return free_count
        total = self._acquired_count + self.others.total
        if total != self._last_total:
            self._last_total = total
            self._last_change_s = now_s
        quiet_turns = int((now_s - self._last_change_s) / TURN_S)
        part, rest = divmod(max(0, free_count), self.entry_count)
        place = (self.entry_index - total - quiet_turns) % self.entry_count
        return part + (place < rest)

    def _count_acquired(self, now_s: float) -> int:
        others_count = self.others.count_acquired(now_s) if self._is_shared else 0
        return len(self._acquired) + others_count

    def _get_allowed(self, now_s: float) -> float:
        return self._ratio * self._count_requests() + self._slack * self._get_slack_part(now_s)

    def _count_requests(self) -> int:
        return len(self._requests) + (self.others.requests if self._is_shared else 0)

    def _get_slack_part(self, now_s: float) -> float:
        """Return the part of the slack that the entries share whose repeats are known here."""
        if not self.entry_count:
            return 0.0
        weight = self._get_weight(now_s) + (self.others.weight if self._is_shared else 0)
        return min(1.0, weight / (FULL_WEIGHT * self.entry_count))

    def _get_weight(self, now_s: float) -> int:
        return FULL_WEIGHT if now_s - self._started_s >= self._window_s else STARTING_WEIGHT

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._acquired):
            while times and times[0] < oldest_s:
                times.popleft()
