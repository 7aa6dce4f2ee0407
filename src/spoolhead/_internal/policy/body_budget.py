"""Bound on the request and answer bodies that a process holds. Performs no I/O.

A request needs a lease on its whole body before the body is read. Requests whose bodies do not fit
wait, and their connections are not read meanwhile. Large bodies leave a part of the budget to small
ones, and one owner leaves a part to the others. A request that cannot get its lease in time is
rejected.
"""

import collections
import enum
from collections.abc import Callable

from spoolhead._internal.policy import answer_buffers

SMALL_BYTES = 65_536
"""Size up to which a body is small: one read of a connection returns it whole."""
LARGE_FRACTION = 0.75
"""Part of the budget that large bodies may take."""
OWNER_FRACTION = 0.8
"""Part that one owner may take of the large bodies' share, and of the places of waiting ones."""
WAITING_BYTES = 196_608
"""Memory that a waiting request holds: a read of its connection and the kernel's receive buffer."""
OVERDRAFT_FRACTION = 0.2
"""Part beyond the budget for the oldest buffered answer, which is always read and delivered."""
WAITING_FRACTION = 0.125
"""Part of the budget that waiting requests may take."""
MAX_WAIT_FRACTION = 2 / 3
"""Part of a request's time for which it may wait; the rest is for its transfer and its run."""
DEFAULT_WAIT_MS = 5_000
"""Time of a request that states none."""
RATE_WINDOW_S = 3.0
"""Window over which the rate is measured at which large bodies are released."""
MIN_RATE_S = 3.0
"""Minimum time with waiting requests after which that rate is used."""
MIN_RECEIVE_BYTES_PER_S = 131_072
"""Rate below which a body that is being received gives way to waiting ones."""
RECEIVE_GRACE_S = 1.0
"""Time after the grant during which the rate of a body is not checked."""
RECEIVE_CHECKS = 4
"""Number of checks over which the rate of a body is checked again. They are counted, not timed:
a process that was held up has not read what arrived meanwhile."""
MIN_CHECKED_BYTES = 131_072
"""Bytes that must be received over these checks, which take 1 s at least."""


class State(enum.Enum):
    """State of a lease."""

    GRANTED = "granted"
    WAITING = "waiting"
    REJECTED = "rejected"
    RELEASED = "released"


class Lease:
    """The room for one body.

    :ivar owner: whose body it is; owners share the budget.
    :ivar size_bytes: size of the body, or its maximum if it is not known yet.
    :ivar requested_s: time of the request.
    :ivar granted_s: time of the grant.
    :ivar expires_s: time until which it may wait.
    :ivar state: its state.
    :ivar on_decided: called when a waiting lease is granted or rejected.
    """

    __slots__ = (
        "_checked_bytes",
        "expires_s",
        "granted_s",
        "on_decided",
        "owner",
        "requested_s",
        "size_bytes",
        "state",
    )

    def __init__(self, owner: str, size_bytes: int, *, wait_ms: int | None, now_s: float) -> None:
        self.owner = owner
        self.size_bytes = size_bytes
        self.requested_s = now_s
        self.granted_s = now_s
        max_wait_ms = (DEFAULT_WAIT_MS if wait_ms is None else wait_ms) * MAX_WAIT_FRACTION
        self.expires_s = now_s + max_wait_ms / 1000
        self.state = State.WAITING
        self.on_decided: Callable[[], None] | None = None
        self._checked_bytes: tuple[int, ...] = ()

    @property
    def is_small(self) -> bool:
        """Whether the body is small."""
        return self.size_bytes <= SMALL_BYTES

    def is_too_slow(self, received_bytes: int, now_s: float) -> bool:
        """Return whether a granted body arrives too slowly to keep others waiting."""
        age_s = now_s - self.granted_s
        return age_s > RECEIVE_GRACE_S and received_bytes < age_s * MIN_RECEIVE_BYTES_PER_S

    def has_stalled(self, received_bytes: int) -> bool:
        """Record a check while others wait; return whether too little arrived over the last ones.

        The average since the grant, see :meth:`is_too_slow`, stays high for long after a stall.
        """
        checked = self._checked_bytes = (*self._checked_bytes, received_bytes)[
            -RECEIVE_CHECKS - 1 :
        ]
        return len(checked) > RECEIVE_CHECKS and received_bytes - checked[0] < MIN_CHECKED_BYTES


class BodyBudget:
    """The budget of one process.

    :param budget_bytes: maximum of held bytes; 0 for no bound.
    :param get_other_bytes: returns the bytes that count against the budget without a lease.
    :ivar budget_bytes: maximum of held bytes; 0 for no bound.
    :ivar answers: the buffered answers, which count without a lease.
    :ivar rejected_count: number of requests that were rejected.
    """

    __slots__ = (
        "_busy_since_s",
        "_get_other_bytes",
        "_granted_by_owner",
        "_large_bytes",
        "_released",
        "_small_bytes",
        "_waiting",
        "answers",
        "budget_bytes",
        "rejected_count",
    )

    def __init__(self, budget_bytes: int, get_other_bytes: Callable[[], int] = lambda: 0) -> None:
        self.budget_bytes = budget_bytes
        self.answers = answer_buffers.AnswerBuffers(lambda: self.is_exceeded)
        self.rejected_count = 0
        self._get_other_bytes = get_other_bytes
        self._large_bytes = 0
        self._small_bytes = 0
        self._granted_by_owner: collections.Counter[str] = collections.Counter()
        self._waiting: list[Lease] = []
        self._released: collections.deque[tuple[float, int]] = collections.deque()
        self._busy_since_s: float | None = None

    @property
    def granted_bytes(self) -> int:
        """Total size of the bodies with a lease."""
        return self._large_bytes + self._small_bytes

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a lease."""
        return len(self._waiting)

    @property
    def held_bytes(self) -> int:
        """All bytes that count against the budget."""
        waiting_bytes = len(self._waiting) * WAITING_BYTES
        other_bytes = self.answers.total_bytes + self._get_other_bytes()
        return self.granted_bytes + waiting_bytes + other_bytes

    @property
    def unread_limit_bytes(self) -> int:
        """Unread bytes beyond which callers are dropped although they read."""
        max_bytes = int(self.budget_bytes * (1 + OVERDRAFT_FRACTION))
        return max_bytes - self.held_bytes + self._get_other_bytes()

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the budget allows."""
        return 0 < self.budget_bytes < self.held_bytes

    def request(self, owner: str, size_bytes: int, *, wait_ms: int | None, now_s: float) -> Lease:
        """Request the room for a body.

        :param owner: whose body it is.
        :param size_bytes: its size, or its maximum if it is not known.
        :param wait_ms: time that the request has left; None if it states none.
        :returns: a lease that is granted, waiting or rejected.
        """
        lease = Lease(owner, size_bytes, wait_ms=wait_ms, now_s=now_s)
        if self._is_next(lease):
            self._grant(lease, now_s)
        elif not self._may_wait(lease, now_s):
            lease.state = State.REJECTED
            self.rejected_count += 1
        else:
            if not self._waiting:
                self._busy_since_s = now_s
                self._released.clear()
            self._waiting.append(lease)
        return lease

    def resize(self, lease: Lease, size_bytes: int, now_s: float) -> None:
        """Reduce a granted lease to the actual size of its body."""
        if lease.state is not State.GRANTED or size_bytes >= lease.size_bytes:
            return
        self._count(lease, -1)
        lease.size_bytes = size_bytes
        self._count(lease, 1)
        self._grant_waiting(now_s)

    def release(self, lease: Lease, now_s: float) -> None:
        """Return the room of a body, which goes to waiting requests."""
        if lease.state is State.WAITING:
            self._waiting.remove(lease)
        elif lease.state is State.GRANTED:
            self._count(lease, -1)
            if self._waiting and not lease.is_small:
                self._released.append((now_s, lease.size_bytes))
        lease.state = State.RELEASED
        self._grant_waiting(now_s)

    def expire(self, now_s: float) -> None:
        """Reject the requests that have waited too long, and grant what fits by now."""
        expired = [lease for lease in self._waiting if now_s >= lease.expires_s]
        # All are removed first: the room that one leaves may be granted while it is handled.
        self._waiting = [lease for lease in self._waiting if now_s < lease.expires_s]
        self.rejected_count += len(expired)
        for lease in expired:
            self._decide(lease, State.REJECTED)
        self._grant_waiting(now_s)

    def estimate_wait_s(self, now_s: float, *, ahead_bytes: int | None = None) -> float | None:
        """Return the expected wait of a new request; None if it is not known.

        :param ahead_bytes: bytes that must be released first; None for those of all that wait.
        """
        if self._busy_since_s is None or now_s - self._busy_since_s < MIN_RATE_S:
            return None
        while self._released and self._released[0][0] < now_s - RATE_WINDOW_S:
            self._released.popleft()
        released_bytes = sum(size for _, size in self._released)
        if not released_bytes:
            return None
        window_s = min(RATE_WINDOW_S, now_s - self._busy_since_s)
        if ahead_bytes is None:
            ahead_bytes = sum(lease.size_bytes for lease in self._waiting)
        return ahead_bytes * window_s / released_bytes

    def _is_next(self, lease: Lease) -> bool:
        """Return whether a new request is granted at once, before any that wait."""
        if not self._waiting:
            return self._fits(lease)
        self._waiting.append(lease)
        is_next = self._choose_next() is lease
        self._waiting.pop()
        return is_next

    def _may_wait(self, lease: Lease, now_s: float) -> bool:
        max_waiting = int(self.budget_bytes * WAITING_FRACTION / WAITING_BYTES)
        if len(self._waiting) >= max_waiting:
            return False
        owned = sum(other.owner == lease.owner for other in self._waiting)
        if owned >= max_waiting * OWNER_FRACTION:
            return False
        ahead = [other for other in self._waiting if other.is_small == lease.is_small]
        ahead_bytes = sum(other.size_bytes for other in ahead) + lease.size_bytes
        wait_s = self.estimate_wait_s(now_s, ahead_bytes=ahead_bytes)
        return wait_s is None or now_s + wait_s <= lease.expires_s

    def _fits(self, lease: Lease) -> bool:
        if not self.budget_bytes:
            return True
        # One body is always let in, so that a budget below its size cannot block all.
        if not self.granted_bytes:
            return True
        if self.held_bytes + lease.size_bytes > self.budget_bytes:
            return False
        if lease.is_small:
            return self._fits_small(lease)
        return self._large_bytes + lease.size_bytes <= self._max_large_bytes and (
            self._fits_owner(lease)
        )

    def _fits_small(self, lease: Lease) -> bool:
        """Return whether a small body leaves room for large ones, if any wait."""
        if all(other.is_small for other in self._waiting):
            return True
        max_bytes = self.budget_bytes * (1 - LARGE_FRACTION)
        return self._small_bytes + lease.size_bytes <= max_bytes

    def _fits_owner(self, lease: Lease) -> bool:
        owned_bytes = self._granted_by_owner[lease.owner]
        max_bytes = self._max_large_bytes * OWNER_FRACTION
        return not owned_bytes or owned_bytes + lease.size_bytes <= max_bytes

    @property
    def _max_large_bytes(self) -> float:
        return self.budget_bytes * LARGE_FRACTION

    def _grant_waiting(self, now_s: float) -> None:
        self.answers.check()
        while (lease := self._choose_next()) is not None:
            self._waiting.remove(lease)
            self._grant(lease, now_s)
            self._decide(lease, State.GRANTED)
        if not self._waiting:
            self._busy_since_s = None

    def _choose_next(self) -> Lease | None:
        """Return the next waiting request that fits.

        Small bodies come first, since they have a share of their own. Among large ones the owner
        that holds least is next. If its body does not fit yet, no other one takes the room, unless
        only the owner's own share is exhausted.
        """
        small = next((lease for lease in self._waiting if lease.is_small), None)
        if small is not None and self._fits(small):
            return small
        large = [lease for lease in self._waiting if not lease.is_small and self._fits_owner(lease)]
        if not large:
            return None
        first = min(large, key=lambda lease: self._granted_by_owner[lease.owner])
        return first if self._fits(first) else None

    def _grant(self, lease: Lease, now_s: float) -> None:
        lease.state = State.GRANTED
        lease.granted_s = now_s
        self._count(lease, 1)

    def _count(self, lease: Lease, sign: int) -> None:
        size_bytes = sign * lease.size_bytes
        if lease.is_small:
            self._small_bytes += size_bytes
            return
        self._large_bytes += size_bytes
        self._granted_by_owner[lease.owner] += size_bytes
        if not self._granted_by_owner[lease.owner]:
            del self._granted_by_owner[lease.owner]

    @staticmethod
    def _decide(lease: Lease, state: State) -> None:
        lease.state = state
        if lease.on_decided is not None:
            lease.on_decided()
