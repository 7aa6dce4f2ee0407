"""Grants permits for rate-limited instances to the entries.

Performs no I/O; the current time is passed in.

For each limited instance one entry, the primary granter, keeps a token bucket at the limit and
grants permits one by one to the entries that request them, so the limit holds whatever the number
of entries and wherever the load arises. A backup that replaces a granter which does not reply
grants only a fraction of the limit, because other entries may still reach the primary granter.
"""

import collections
import math

from spoolhead._internal.models import permits
from spoolhead._internal.policy import limit_registry, token_bucket

BURST_S = 0.25
"""Time for which unused tokens may accumulate at the limit, in addition to one token."""
BACKUP_FRACTION = 0.4
"""Fraction of the limit that an entry grants while it is not the primary granter."""
PRIMARY_TTL_S = 2.0
"""Time after a request to the primary granter for which it considers itself primary."""
PROBE_RATE_PER_S = 0.2
"""Rate at which requests are sent to an instance with a lower limit, to learn when the limit is
lifted."""
MAX_RETRY_AFTER_S = 5.0
MIN_REQUESTS_PER_S = 12.0
REQUESTS_PER_TOKEN = 3.0
"""Target rate of permit requests for one instance: REQUESTS_PER_TOKEN for each token, and at least
MIN_REQUESTS_PER_S. The backoff of the requesting entries is set so that they reach about that
rate."""
PHASE_COUNT = 1_000
"""Number of different initial fills of token buckets."""
MIN_BACKOFF_S = 0.05
REQUESTER_TTL_S = 12.0
"""Time after its last permit request for which an entry counts as a requester."""
MAX_RECENT_GRANTS = 32
"""Number of an instance's recent grants by which workspaces and halls take turns."""
MAX_REPLIES = 256
"""Number of an instance's recent verdicts that are stored to answer duplicate requests."""
MAX_WAITING = 64
"""Maximum number of requests that wait for one instance."""
IDLE_TTL_S = 60.0
"""Time without a permit request after which an instance's bucket is removed."""


class AddressedReply:
    """A reply and its receiver.

    :ivar receiver: name of the entry.
    :ivar reply: the reply.
    """

    __slots__ = ("receiver", "reply")

    def __init__(self, receiver: str, reply: permits.PermitReply) -> None:
        self.receiver = receiver
        self.reply = reply


class _WaitingRequest:
    """A permit request that waits for a token."""

    __slots__ = ("arrived_s", "request", "expires_s")

    def __init__(self, request: permits.PermitRequest, now_s: float) -> None:
        self.request = request
        self.arrived_s = now_s
        self.expires_s = now_s + max(0, request.wait_ms) / 1000


class _InstancePermits:
    """One instance's token bucket and the requests that wait for it."""

    __slots__ = (
        "last_requested_s",
        "requesters_s",
        "bucket",
        "primary_last_requested_s",
        "recent_grants",
        "verdicts",
        "retry_at_s",
        "waiting",
    )

    def __init__(self, key: int, now_s: float) -> None:
        # Spreads the tokens of instances that state limits at the same moment.
        self.bucket = token_bucket.TokenBucket(now_s, (key % PHASE_COUNT) / PHASE_COUNT)
        self.waiting: list[_WaitingRequest] = []
        self.recent_grants: collections.deque[tuple[int, str]] = collections.deque(
            maxlen=MAX_RECENT_GRANTS
        )
        self.verdicts: collections.OrderedDict[tuple[str, int], permits.Verdict] = (
            collections.OrderedDict()
        )
        self.requesters_s: dict[str, float] = {}
        self.retry_at_s = now_s
        self.last_requested_s = now_s
        self.primary_last_requested_s = -math.inf


class PermitGranter:
    """The permits that one entry grants.

    :param registry: rate limits that instances stated.
    """

    def __init__(self, registry: limit_registry.LimitRegistry) -> None:
        self._registry = registry
        self._instances: dict[int, _InstancePermits] = {}

    def handle_request(self, request: permits.PermitRequest, now_s: float) -> list[AddressedReply]:
        """Handle a permit request; return the replies now due, to this request or to others."""
        state = self._instances.get(request.key)
        if state is None:
            state = self._instances[request.key] = _InstancePermits(request.key, now_s)
        state.last_requested_s = now_s
        state.requesters_s[request.sender] = now_s
        if request.turn == 0:
            state.primary_last_requested_s = now_s
        limit_per_s = self._registry.get_limit_per_s(request.key)
        if limit_per_s is None:
            return [self._reply(request, permits.Verdict.UNLIMITED, now_s)]
        known = state.verdicts.get((request.sender, request.permit_id))
        if known is not None and known is not permits.Verdict.REJECTED:
            return [self._reply(request, known, now_s)]
        state.waiting.append(_WaitingRequest(request, now_s))
        replies = self._process_waiting(request.key, state, limit_per_s, now_s)
        if any(item.request is request for item in state.waiting):
            _store_verdict(state, request, permits.Verdict.QUEUED)
            replies.append(self._reply(request, permits.Verdict.QUEUED, now_s))
        return replies

    def poll(self, now_s: float) -> list[AddressedReply]:
        """Return the replies that have become due to waiting requests."""
        replies: list[AddressedReply] = []
        for key, state in self._instances.items():
            limit_per_s = self._registry.get_limit_per_s(key)
            if limit_per_s is None:
                replies += self._release_waiting(state, now_s)
            elif state.waiting:
                replies += self._process_waiting(key, state, limit_per_s, now_s)
        return replies

    def expire(self, now_s: float) -> None:
        """Remove instances for which no permit has been requested for a while."""
        for key, state in list(self._instances.items()):
            if not state.waiting and now_s - state.last_requested_s > IDLE_TTL_S:
                del self._instances[key]

    def get_due_s(self, now_s: float) -> float | None:
        """Return when :meth:`poll` should be called next; None if no request waits."""
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
        is_primary = now_s - state.primary_last_requested_s <= PRIMARY_TTL_S
        return rate_per_s if is_primary else rate_per_s * BACKUP_FRACTION

    def _process_waiting(
        self, key: int, state: _InstancePermits, limit_per_s: float, now_s: float
    ) -> list[AddressedReply]:
        """Grant requests while tokens last; reject requests that would get a token too late."""
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
        """Reply to all waiting requests, as the instance has lifted its limit."""
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
            # Retry times are staggered, so that callers retry one after the other.
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
    """Return the backoff with which all requesting entries together reach the target rate."""
    state.requesters_s = {
        name: requested_s
        for name, requested_s in state.requesters_s.items()
        if now_s - requested_s < REQUESTER_TTL_S
    }
    target_per_s = max(MIN_REQUESTS_PER_S, REQUESTS_PER_TOKEN * rate_per_s)
    return max(MIN_BACKOFF_S, len(state.requesters_s) / target_per_s)


def _get_sort_key(
    state: _InstancePermits, item: _WaitingRequest
) -> tuple[int, bool, int, int, float]:
    """Return the sort key: rank, first attempts first, then workspaces and halls in turn."""
    request = item.request
    workspace_grants = sum(workspace == request.workspace for workspace, _ in state.recent_grants)
    hall_grants = sum(hall == request.hall for _, hall in state.recent_grants)
    return request.rank, request.is_retry, workspace_grants, hall_grants, item.arrived_s


def _store_verdict(
    state: _InstancePermits, request: permits.PermitRequest, verdict: permits.Verdict
) -> None:
    state.verdicts[request.sender, request.permit_id] = verdict
    while len(state.verdicts) > MAX_REPLIES:
        state.verdicts.popitem(last=False)
