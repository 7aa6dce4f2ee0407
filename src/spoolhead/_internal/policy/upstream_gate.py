"""Whether one more request may go to an instance now; no I/O, time passed in.

The one place that decides this, for first and further attempts and for runs that move. What the
instance itself asked for, and what would only cost the request its time, binds always; what this
entry merely suspects is passed over where there is nothing better.
"""

import enum
from collections.abc import Collection

from spoolhead._internal.models import route_table
from spoolhead._internal.policy import cold_start, upstream_book


class Bar(enum.Enum):
    """Why nothing more may go to an instance now; the first that applies counts."""

    LEAVING = "leaving"
    REPLACED = "replaced"
    CUT_OFF = "cut_off"
    EVACUATED = "evacuated"
    COLD = "cold"
    SUSPECTED = "suspected"
    """It is ejected, or an alarm about it counts."""

    @property
    def is_binding(self) -> bool:
        """Whether it holds even where no other instance is left."""
        return self is not Bar.SUSPECTED


class Gate:
    """What bounds one entry's requests to the instances.

    :ivar cold_starts: what the entry may send to instances that are cold.
    """

    __slots__ = ("cold_starts",)

    def __init__(self, cold_starts: cold_start.ColdStarts) -> None:
        self.cold_starts = cold_starts

    def get_bar(
        self,
        service: route_table.Service,
        upstream: upstream_book.Upstream,
        now_s: float,
        *,
        cut_halls: Collection[str] = (),
    ) -> Bar | None:
        """Return why no request may go to an instance; None if one may.

        :param cut_halls: halls that cannot be reached just now.
        """
        if upstream.is_leaving:
            return Bar.LEAVING
        if upstream.is_replaced(now_s):
            return Bar.REPLACED
        if upstream.instance.hall in cut_halls:
            return Bar.CUT_OFF
        if upstream.is_evacuated:
            return Bar.EVACUATED
        if not self.cold_starts.may_send(service, upstream, now_s):
            return Bar.COLD
        if not upstream.is_usable(now_s):
            return Bar.SUSPECTED
        return None
