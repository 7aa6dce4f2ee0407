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
STAND_IN_PART = 0.4
"""Part of the limit that an entry grants while it is not the first granter."""
FIRST_S = 2.0
"""Time after an ask to the first granter for which it takes itself for that."""
TRIAL_PER_S = 0.2
"""Rate at which requests go to an instance with a lower limit, to learn when it is lifted."""
LONGEST_RETRY_AFTER_S = 5.0
ASKS_PER_S = 12.0
ASKS_PER_TOKEN = 3.0
"""Asks a second that a granter wants for an instance: some for each token, and a few in any case.
The entries that ask are given a backoff by which they come to about that."""
PHASES = 1_000
LEAST_BACKOFF_S = 0.05
ASKER_KEPT_S = 12.0
"""Time after its last ask for which an entry counts among those that ask."""
GRANTS_KEPT = 32
"""Latest grants of an instance by which workspaces and halls take turns."""
REPLIES_KEPT = 256
"""Latest replies of an instance that are repeated for an ask that comes again."""
MOST_WAITING = 64
"""Asks that wait for one instance."""
IDLE_KEPT_S = 60.0
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


class _Waiting:
    """An ask that waits for a token."""

    __slots__ = ("arrived_s", "request", "expires_s")

    def __init__(self, ask: permits.PermitRequest, now_s: float) -> None:
        self.request = ask
        self.arrived_s = now_s
        self.expires_s = now_s + max(0, ask.wait_ms) / 1000


class _Share:
    """One instance's bucket and the asks for it."""

    __slots__ = (
        "asked_s",
        "askers_s",
        "bucket",
        "first_asked_s",
        "granted",
        "replies",
        "retry_at_s",
        "waiting",
    )

    def __init__(self, key: int, now_s: float) -> None:
        # Instances that state limits at one moment should not have tokens at the same moments.
        self.bucket = token_bucket.TokenBucket(now_s, (key % PHASES) / PHASES)
        self.waiting: list[_Waiting] = []
        self.granted: collections.deque[tuple[int, str]] = collections.deque(maxlen=GRANTS_KEPT)
        self.replies: collections.OrderedDict[tuple[str, int], permits.Verdict] = (
            collections.OrderedDict()
        )
        self.askers_s: dict[str, float] = {}
        self.retry_at_s = now_s
        self.asked_s = now_s
        self.first_asked_s = -math.inf


class PermitGranter:
    """The permits that one entry grants.

    :param registry: rate limits that instances stated.
    """

    def __init__(self, registry: limit_registry.LimitRegistry) -> None:
        self._registry = registry
        self._shares: dict[int, _Share] = {}

    def handle_request(self, ask: permits.PermitRequest, now_s: float) -> list[AddressedReply]:
        """Take an ask; returns the replies that are due, to this one or to others."""
        share = self._shares.get(ask.key)
        if share is None:
            share = self._shares[ask.key] = _Share(ask.key, now_s)
        share.asked_s = now_s
        share.askers_s[ask.sender] = now_s
        if ask.turn == 0:
            share.first_asked_s = now_s
        limit_per_s = self._registry.get_limit_per_s(ask.key)
        if limit_per_s is None:
            return [self._reply(ask, permits.Verdict.UNLIMITED, now_s)]
        known = share.replies.get((ask.sender, ask.permit_id))
        if known is not None and known is not permits.Verdict.REJECTED:
            return [self._reply(ask, known, now_s)]
        share.waiting.append(_Waiting(ask, now_s))
        replies = self._settle(ask.key, share, limit_per_s, now_s)
        if any(item.request is ask for item in share.waiting):
            _remember(share, ask, permits.Verdict.QUEUED)
            replies.append(self._reply(ask, permits.Verdict.QUEUED, now_s))
        return replies

    def poll(self, now_s: float) -> list[AddressedReply]:
        """Return the replies that have become due to asks that waited."""
        replies: list[AddressedReply] = []
        for key, share in self._shares.items():
            limit_per_s = self._registry.get_limit_per_s(key)
            if limit_per_s is None:
                replies += self._release(share, now_s)
            elif share.waiting:
                replies += self._settle(key, share, limit_per_s, now_s)
        return replies

    def expire(self, now_s: float) -> None:
        """Forget instances that nobody asks for any more."""
        for key, share in list(self._shares.items()):
            if not share.waiting and now_s - share.asked_s > IDLE_KEPT_S:
                del self._shares[key]

    def get_due_s(self, now_s: float) -> float | None:
        """Return when :meth:`poll` has something to do; None if nothing waits."""
        dues_s = []
        for key, share in self._shares.items():
            if not share.waiting:
                continue
            rate_per_s = self._get_rate_per_s(key, share, now_s)
            token_s = now_s + max(0.0, 1.0 - share.bucket.tokens) / rate_per_s
            dues_s.append(min(token_s, *(item.expires_s for item in share.waiting)))
        return min(dues_s, default=None)

    def _get_rate_per_s(self, key: int, share: _Share, now_s: float) -> float:
        limit_per_s = self._registry.get_limit_per_s(key)
        if limit_per_s is None:
            return limit_registry.UNLIMITED_PER_S
        rate_per_s = max(limit_per_s, TRIAL_PER_S)
        is_first = now_s - share.first_asked_s <= FIRST_S
        return rate_per_s if is_first else rate_per_s * STAND_IN_PART

    def _settle(
        self, key: int, share: _Share, limit_per_s: float, now_s: float
    ) -> list[AddressedReply]:
        """Grant what there are tokens for, and reject what can't be granted in time."""
        rate_per_s = self._get_rate_per_s(key, share, now_s)
        share.bucket.update(rate_per_s, 1.0 + limit_per_s * BURST_S, now_s)
        replies = []
        share.waiting.sort(key=lambda item: _get_order(share, item))
        while share.waiting and share.bucket.try_acquire():
            item = share.waiting.pop(0)
            share.granted.append((item.request.workspace, item.request.hall))
            _remember(share, item.request, permits.Verdict.GRANTED)
            replies.append(self._reply(item.request, permits.Verdict.GRANTED, now_s))
            share.waiting.sort(key=lambda each: _get_order(share, each))
        kept = []
        for item in share.waiting:
            granted_s = now_s + (len(kept) + 1 - share.bucket.tokens) / rate_per_s
            if granted_s <= item.expires_s and len(kept) < MOST_WAITING:
                kept.append(item)
                continue
            replies.append(self._reject(share, item.request, granted_s, rate_per_s, now_s))
        share.waiting = kept
        return replies

    def _release(self, share: _Share, now_s: float) -> list[AddressedReply]:
        """Let all that waits go, since the instance has lifted its limit."""
        waiting, share.waiting = share.waiting, []
        return [self._reply(item.request, permits.Verdict.UNLIMITED, now_s) for item in waiting]

    def _reject(
        self,
        share: _Share,
        ask: permits.PermitRequest,
        granted_s: float,
        rate_per_s: float,
        now_s: float,
    ) -> AddressedReply:
        _remember(share, ask, permits.Verdict.REJECTED)
        if ask.is_final:
            # Callers come back one after the other.
            latest_s = now_s + LONGEST_RETRY_AFTER_S
            share.retry_at_s = min(max(granted_s, share.retry_at_s + 1 / rate_per_s), latest_s)
            granted_s = share.retry_at_s
        reply = self._make_reply(ask, permits.Verdict.REJECTED, now_s)
        reply.retry_after_ms = math.ceil((granted_s - now_s) * 1000)
        reply.backoff_ms = math.ceil(_get_backoff_s(share, rate_per_s, now_s) * 1000)
        return AddressedReply(ask.sender, reply)

    def _reply(
        self, ask: permits.PermitRequest, verdict: permits.Verdict, now_s: float
    ) -> AddressedReply:
        return AddressedReply(ask.sender, self._make_reply(ask, verdict, now_s))

    def _make_reply(
        self, ask: permits.PermitRequest, verdict: permits.Verdict, now_s: float
    ) -> permits.PermitReply:
        stated = self._registry.get_aged([ask.key], now_s)
        return permits.PermitReply(
            permit_id=ask.permit_id, verdict=verdict, stated=stated[0] if stated else None
        )


def _get_backoff_s(share: _Share, rate_per_s: float, now_s: float) -> float:
    """Return the pause by which all entries that ask together ask as often as is wanted."""
    share.askers_s = {
        name: asked_s for name, asked_s in share.askers_s.items() if now_s - asked_s < ASKER_KEPT_S
    }
    wanted_per_s = max(ASKS_PER_S, ASKS_PER_TOKEN * rate_per_s)
    return max(LEAST_BACKOFF_S, len(share.askers_s) / wanted_per_s)


def _get_order(share: _Share, item: _Waiting) -> tuple[int, bool, int, int, float]:
    """Return an ask's place: by rank, first attempts, workspaces in turn, halls in turn."""
    ask = item.request
    of_workspace = sum(workspace == ask.workspace for workspace, _ in share.granted)
    of_hall = sum(hall == ask.hall for _, hall in share.granted)
    return ask.rank, ask.is_retry, of_workspace, of_hall, item.arrived_s


def _remember(share: _Share, ask: permits.PermitRequest, verdict: permits.Verdict) -> None:
    share.replies[ask.sender, ask.permit_id] = verdict
    while len(share.replies) > REPLIES_KEPT:
        share.replies.popitem(last=False)
