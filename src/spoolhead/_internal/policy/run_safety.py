"""What keeps a run alive when its instance goes: where its memory is copied; no I/O."""

from collections.abc import Sequence

from spoolhead._internal.models import route_table
from spoolhead._internal.policy import upstream_book

COPY_FILL_LIMIT = 1.0
"""Share of an instance's memory that work and copies may be foreseen to fill before it takes no
further copy; the rest is for runs, which a full memory would have preempted."""
STALL_FACTOR = 2.0
"""A stream that stands still for this many of the longest good pauses goes on at its copy."""
DEFAULT_PAUSE_MS = 500
"""Longest good pause on a route that states none."""


def choose_holder(
    service: route_table.Service,
    upstreams: Sequence[upstream_book.Upstream],
    *,
    running_at: upstream_book.Upstream,
    need_tokens: int,
    now_s: float,
) -> upstream_book.Upstream | None:
    """Choose the instance that gets a copy of a run's memory.

    :param running_at: where the run is.
    :param need_tokens: memory that the run will hold.
    :returns: the least filled instance that has room, or None.
    """
    engine = service.engine
    if engine is None or not engine.can_back_up:
        return None
    limit = engine.memory_tokens * COPY_FILL_LIMIT
    chosen = [
        upstream
        for upstream in upstreams
        if upstream is not running_at
        and upstream.is_usable(now_s)
        and upstream.tokens + need_tokens <= limit
    ]
    return min(chosen, key=lambda upstream: upstream.tokens, default=None)


def get_stall_s(route: route_table.Route) -> float:
    """Return the time after which a stream that stands still is given up, in seconds."""
    pause_ms = route.pause_ms or DEFAULT_PAUSE_MS
    return pause_ms * STALL_FACTOR / 1000
