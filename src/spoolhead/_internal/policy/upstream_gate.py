"""Decides whether an instance may receive one more request.

Performs no I/O; the current time is passed in.

First attempts, further attempts and migrations all use this check. Most reasons are binding: the
instance itself stated them, or the attempt would only cost the request time. A mere suspicion of
this entry is ignored if no other instance is left.
"""

import enum
from collections.abc import Collection

from spoolhead._internal.models import route_table
from spoolhead._internal.policy import cold_start, limit_registry, permit_backoff, upstream_registry


class BlockReason(enum.Enum):
    """Why an instance is blocked; the first reason that applies is reported."""

    LEAVING = "leaving"
    REPLACED = "replaced"
    CUT_OFF = "cut_off"
    EVACUATED = "evacuated"
    RESTING = "resting"
    """The instance asked this entry for rest."""
    FULL = "full"
    """All slots are taken, and too many rejections would crash the instance."""
    COLD = "cold"
    LIMITED = "limited"
    """A permit for a request of the same or a higher priority was just rejected."""
    SUSPECTED = "suspected"
    """The instance is ejected, has a current alarm, or rejects requests of other entries."""

    @property
    def is_binding(self) -> bool:
        """Whether the reason applies even if no other instance is left."""
        return self is not BlockReason.SUSPECTED


class RequestPriority:
    """Priority of a request where capacity is scarce.

    :ivar rank: its rank, 0 for the most urgent.
    :ivar workspace: name of its workspace.
    """

    __slots__ = ("rank", "workspace")

    def __init__(self, rank: int, workspace: str) -> None:
        self.rank = rank
        self.workspace = workspace


class Gate:
    """Checks that limit one entry's requests to instances.

    :ivar cold_starts: quotas for cold instances.
    :ivar limits: rate limits that instances stated.
    :ivar backoff: backoffs after rejected permits.
    """

    __slots__ = ("backoff", "cold_starts", "limits")

    def __init__(
        self,
        cold_starts: cold_start.ColdStarts,
        limits: limit_registry.LimitRegistry,
        backoff: permit_backoff.PermitBackoff,
    ) -> None:
        self.cold_starts = cold_starts
        self.limits = limits
        self.backoff = backoff

    def get_block_reason(
        self,
        service: route_table.Service,
        upstream: upstream_registry.Upstream,
        now_s: float,
        *,
        request_priority: RequestPriority,
        has_permit: bool = False,
        cut_off_halls: Collection[str] = (),
    ) -> BlockReason | None:
        """Return why an instance is blocked, or None if it is not.

        A rate-limited instance that is not blocked still requires a permit.

        :param request_priority: rank and workspace of the request.
        :param has_permit: whether the request has a permit for the instance.
        :param cut_off_halls: halls that are currently unreachable.
        """
        if upstream.is_leaving:
            return BlockReason.LEAVING
        if upstream.is_replaced(now_s):
            return BlockReason.REPLACED
        if upstream.instance.hall in cut_off_halls:
            return BlockReason.CUT_OFF
        if upstream.is_evacuated:
            return BlockReason.EVACUATED
        if upstream.rest.is_resting(now_s):
            return BlockReason.RESTING
        if upstream.may_crash_by_rejecting(now_s):
            return BlockReason.FULL
        if not self.cold_starts.may_send(service, upstream, now_s):
            return BlockReason.COLD
        if not has_permit and self._must_back_off(upstream, request_priority, now_s):
            return BlockReason.LIMITED
        if not upstream.is_usable(now_s):
            return BlockReason.SUSPECTED
        return None

    def _must_back_off(
        self, upstream: upstream_registry.Upstream, request_priority: RequestPriority, now_s: float
    ) -> bool:
        if not self.is_limited(upstream):
            return False
        return self.backoff.blocks(
            upstream.key, request_priority.rank, request_priority.workspace, now_s
        )

    def is_limited(self, upstream: upstream_registry.Upstream) -> bool:
        """Return whether a request needs a permit for an instance."""
        return self.limits.get_limit_per_s(upstream.key) is not None

    def get_retry_after_ms(
        self, upstream: upstream_registry.Upstream, reason: BlockReason | None, now_s: float
    ) -> int | None:
        """Return the time after which a request may retry a blocked instance.

        :returns: None if that is unknown.
        """
        if reason is BlockReason.LIMITED:
            return self.backoff.get_retry_after_ms(upstream.key, now_s)
        if reason is BlockReason.RESTING:
            return upstream.rest.get_remaining_ms(now_s)
        return None
