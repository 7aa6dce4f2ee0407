"""Shares out what limited instances accept among the entries that ask; no I/O, time passed in.

For each limited instance one entry, the first granter, keeps a token bucket at the limit and grants
permits one by one to whoever asks, so the limit holds whatever the number of entries and wherever
the demand is. An entry that stands in for a granter which does not reply grants a part of the limit
only, because the first granter may be alive and reached by others.
"""

import collections
import math

from spoolhead._internal.models import permits
from spoolhead._internal.policy import limit_registry, token_bucket

BURST_S = 0.25
"""Time whose tokens are kept for later, besides one."""
BACKUP_FRACTION = 0.4
"""Part of the limit that an entry grants while it is not the first granter."""
PRIMARY_TTL_S = 2.0
"""Time after an ask to the first granter for which it takes itself for that."""
PROBE_RATE_PER_S = 0.2
"""Rate at which requests go to an instance with a lower limit, to learn when it is lifted."""
MAX_RETRY_AFTER_S = 5.0
MIN_REQUESTS_PER_S = 12.0
REQUESTS_PER_TOKEN = 3.0
"""Asks a second that a granter wants for an instance: some for each token, and a few in any case.
The entries that ask are given a backoff by which they come to about that."""
PHASE_COUNT = 1_000
MIN_BACKOFF_S = 0.05
REQUESTER_TTL_S = 12.0
"""Time after its last ask for which an entry counts among those that ask."""
MAX_RECENT_GRANTS = 32
"""Latest grants of an instance by which workspaces and halls take turns."""
MAX_REPLIES = 256
"""Latest replies of an instance that are repeated for an ask that comes again."""
MAX_WAITING = 64
"""Asks that wait for one instance."""
IDLE_TTL_S = 60.0
"""Time without an ask after which an instance's bucket is forgotten."""


class AddressedReply:
    """A reply and the entry that it goes to.

    :ivar receiver: name of the entry.
    :ivar reply: the reply.
    """

    __slots__ = ("receiver", "reply")

    def __init__(self, receiver: str, reply: permits.PermitReply) -> None:
        self.receiver = receiver
        self.reply = reply


class _WaitingRequest:
    """An ask that waits for a token."""

    __slots__ = ("arrived_s", "request", "expires_s")

    def __init__(self, request: permits.PermitRequest, now_s: float) -> None:
        self.request = request
        self.arrived_s = now_s
        self.expires_s = now_s + max(0, request.wait_ms) / 1000


class _InstancePermits:
    """One instance's bucket and the asks for it."""

    __slots__ = (
        "requested_s",
        "requesters_s",
        "bucket",
        "primary_requested_s",
        "recent_grants",
        "replies",
        "retry_at_s",
        "waiting",
    )

    def __init__(self, key: int, now_s: float) -> None:
        # Instances that state limits at one moment should not have tokens at the same moments.
        self.bucket = token_bucket.TokenBucket(now_s, (key % PHASE_COUNT) / PHASE_COUNT)
        self.waiting: list[_WaitingRequest] = []
        self.recent_grants: collections.deque[tuple[int, str]] = collections.deque(
            maxlen=MAX_RECENT_GRANTS
        )
        self.replies: collections.OrderedDict[tuple[str, int], permits.Verdict] = (
            collections.OrderedDict()
        )
        self.requesters_s: dict[str, float] = {}
        self.retry_at_s = now_s
        self.requested_s = now_s
        self.primary_requested_s = -math.inf


class PermitGranter:
    """The permits that one entry grants.

    :param registry: rate limits that instances stated.
    """

    def __init__(self, registry: limit_registry.LimitRegistry) -> None:
        self._registry = registry
        self._instances: dict[int, _InstancePermits] = {}

    def handle_request(self, request: permits.PermitRequest, now_s: float) -> list[AddressedReply]:
        """Take an ask; returns the replies that are due, to this one or to others."""
        state = self._instances.get(request.key)
        if state is None:
            state = self._instances[request.key] = _InstancePermits(request.key, now_s)
        state.requested_s = now_s
        state.requesters_s[request.sender] = now_s
        if request.turn == 0:
            state.primary_requested_s = now_s
        limit_per_s = self._registry.get_limit_per_s(request.key)
        if limit_per_s is None:
            return [self._reply(request, permits.Verdict.UNLIMITED, now_s)]
        known = state.replies.get((request.sender, request.permit_id))
        if known is not None and known is not permits.Verdict.REJECTED:
            return [self._reply(request, known, now_s)]
        state.waiting.append(_WaitingRequest(request, now_s))
        replies = self._process_waiting(request.key, state, limit_per_s, now_s)
        if any(item.request is request for item in state.waiting):
            _store_verdict(state, request, permits.Verdict.QUEUED)
            replies.append(self._reply(request, permits.Verdict.QUEUED, now_s))
        return replies

    def poll(self, now_s: float) -> list[AddressedReply]:
        """Return the replies that have become due to asks that waited."""
        replies: list[AddressedReply] = []
        for key, state in self._instances.items():
            limit_per_s = self._registry.get_limit_per_s(key)
            if limit_per_s is None:
                replies += self._release_waiting(state, now_s)
            elif state.waiting:
                replies += self._process_waiting(key, state, limit_per_s, now_s)
        return replies

    def expire(self, now_s: float) -> None:
        """Forget instances that nobody asks for any more."""
        for key, state in list(self._instances.items()):
            if not state.waiting and now_s - state.requested_s > IDLE_TTL_S:
                del self._instances[key]

    def get_due_s(self, now_s: float) -> float | None:
        """Return when :meth:`poll` has something to do; None if nothing waits."""
        due_times_s = []
        for key, state in self._instances.items():
            if not state.waiting:
                continue
            rate_per_s = self._get_rate_per_s(key, state, now_s)
            token_s = now_s + max(0.0, 1.0 - state.bucket.tokens) / rate_per_s
            due_times_s.append(min(token_s, *(item.expires_s for item in state.waiting)))
        return min(due_times_s, default=None)

    def _get_rate_per_s(self, key: int, state: _InstancePermits, now_s: float) -> float:
        limit_per_s = self._registry.get_limit_per_s(key)
        if limit_per_s is None:
            return limit_registry.UNLIMITED_PER_S
        rate_per_s = max(limit_per_s, PROBE_RATE_PER_S)
        is_primary = now_s - state.primary_requested_s <= PRIMARY_TTL_S
        return rate_per_s if is_primary else rate_per_s * BACKUP_FRACTION

    def _process_waiting(
        self, key: int, state: _InstancePermits, limit_per_s: float, now_s: float
    ) -> list[AddressedReply]:
        """Grant what there are tokens for, and reject what can't be granted in time."""
        rate_per_s = self._get_rate_per_s(key, state, now_s)
        state.bucket.update(rate_per_s, 1.0 + limit_per_s * BURST_S, now_s)
        replies = []
        state.waiting.sort(key=lambda item: _get_sort_key(state, item))
        while state.waiting and state.bucket.try_acquire():
            item = state.waiting.pop(0)
            state.recent_grants.append((item.request.workspace, item.request.hall))
            _store_verdict(state, item.request, permits.Verdict.GRANTED)
            replies.append(self._reply(item.request, permits.Verdict.GRANTED, now_s))
            state.waiting.sort(key=lambda each: _get_sort_key(state, each))
        kept = []
        for item in state.waiting:
            expected_grant_s = now_s + (len(kept) + 1 - state.bucket.tokens) / rate_per_s
            if expected_grant_s <= item.expires_s and len(kept) < MAX_WAITING:
                kept.append(item)
                continue
            replies.append(self._reject(state, item.request, expected_grant_s, rate_per_s, now_s))
        state.waiting = kept
        return replies

    def _release_waiting(self, state: _InstancePermits, now_s: float) -> list[AddressedReply]:
        """Let all that waits go, since the instance has lifted its limit."""
        waiting, state.waiting = state.waiting, []
        return [self._reply(item.request, permits.Verdict.UNLIMITED, now_s) for item in waiting]

    def _reject(
        self,
        state: _InstancePermits,
        request: permits.PermitRequest,
        expected_grant_s: float,
        rate_per_s: float,
        now_s: float,
    ) -> AddressedReply:
        _store_verdict(state, request, permits.Verdict.REJECTED)
        if request.is_final:
            # Callers come back one after the other.
            latest_s = now_s + MAX_RETRY_AFTER_S
            state.retry_at_s = min(
                max(expected_grant_s, state.retry_at_s + 1 / rate_per_s), latest_s
            )
            expected_grant_s = state.retry_at_s
        reply = self._make_reply(request, permits.Verdict.REJECTED, now_s)
        reply.retry_after_ms = math.ceil((expected_grant_s - now_s) * 1000)
        reply.backoff_ms = math.ceil(_get_backoff_s(state, rate_per_s, now_s) * 1000)
        return AddressedReply(request.sender, reply)

    def _reply(
        self, request: permits.PermitRequest, verdict: permits.Verdict, now_s: float
    ) -> AddressedReply:
        return AddressedReply(request.sender, self._make_reply(request, verdict, now_s))

    def _make_reply(
        self, request: permits.PermitRequest, verdict: permits.Verdict, now_s: float
    ) -> permits.PermitReply:
        stated = self._registry.get_aged([request.key], now_s)
        return permits.PermitReply(
            permit_id=request.permit_id, verdict=verdict, stated=stated[0] if stated else None
        )


def _get_backoff_s(state: _InstancePermits, rate_per_s: float, now_s: float) -> float:
    """Return the pause by which all entries that ask together ask as often as is wanted."""
    state.requesters_s = {
        name: requested_s
        for name, requested_s in state.requesters_s.items()
        if now_s - requested_s < REQUESTER_TTL_S
    }
    wanted_per_s = max(MIN_REQUESTS_PER_S, REQUESTS_PER_TOKEN * rate_per_s)
    return max(MIN_BACKOFF_S, len(state.requesters_s) / wanted_per_s)


def _get_sort_key(
    state: _InstancePermits, item: _WaitingRequest
) -> tuple[int, bool, int, int, float]:
    """Return an ask's place: by rank, first attempts, workspaces in turn, halls in turn."""
    request = item.request
    workspace_grants = sum(workspace == request.workspace for workspace, _ in state.recent_grants)
    hall_grants = sum(hall == request.hall for _, hall in state.recent_grants)
    return request.rank, request.is_retry, workspace_grants, hall_grants, item.arrived_s


def _store_verdict(
    state: _InstancePermits, request: permits.PermitRequest, verdict: permits.Verdict
) -> None:
    state.replies[request.sender, request.permit_id] = verdict
    while len(state.replies) > MAX_REPLIES:
        state.replies.popitem(last=False)
