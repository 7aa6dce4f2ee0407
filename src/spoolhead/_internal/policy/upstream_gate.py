"""Whether one more request may go to an instance now; no I/O, time passed in.

The one place that decides this, for first and further attempts and for runs that move. What the
instance itself asked for, and what would only cost the request its time, binds always; what this
entry merely suspects is passed over where there is nothing better.
"""

import enum
from collections.abc import Collection

from spoolhead._internal.models import route_table
from spoolhead._internal.policy import cold_start, limit_registry, permit_backoff, upstream_registry


class BlockReason(enum.Enum):
    """Why nothing more may go to an instance now; the first that applies counts."""

    LEAVING = "leaving"
    REPLACED = "replaced"
    CUT_OFF = "cut_off"
    EVACUATED = "evacuated"
    RESTING = "resting"
    """It asked this entry for rest."""
    COLD = "cold"
    LIMITED = "limited"
    """A permit for a request at least as urgent was just rejected."""
    SUSPECTED = "suspected"
    """It is ejected, an alarm about it counts, or it turns other entries away."""

    @property
    def is_binding(self) -> bool:
        """Whether it holds even where no other instance is left."""
        return self is not BlockReason.SUSPECTED


class RequestPriority:
    """What a request may claim where not all get something.

    :ivar rank: its rank, 0 for the most urgent.
    :ivar workspace: name of its workspace.
    """

    __slots__ = ("rank", "workspace")

    def __init__(self, rank: int, workspace: str) -> None:
        self.rank = rank
        self.workspace = workspace


class Gate:
    """What bounds one entry's requests to the instances.

    :ivar cold_starts: what the entry may send to instances that are cold.
    :ivar limits: rate limits that instances stated.
    :ivar backoff: permits that were rejected.
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
        """Return why no request may go to an instance; None if one may.

        One that may go to a limited instance still needs a permit.

        :param request_priority: what the request may claim where not all get something.
        :param has_permit: the request was granted a permit for it.
        :param cut_off_halls: halls that cannot be reached just now.
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
        """Tell whether a request needs a permit to go to an instance."""
        return self.limits.get_limit_per_s(upstream.key) is not None

    def get_retry_after_ms(
        self, upstream: upstream_registry.Upstream, reason: BlockReason | None, now_s: float
    ) -> int | None:
        """Return when a request that an instance may not get should come back.

        :returns: None where that is not known.
        """
        if reason is BlockReason.LIMITED:
            return self.backoff.get_retry_after_ms(upstream.key, now_s)
        if reason is BlockReason.RESTING:
            return upstream.rest.get_remaining_ms(now_s)
        return None
