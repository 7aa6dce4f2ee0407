"""Detects the halls that this entry cannot reach.

Performs no I/O; the current time is passed in.

A cut-off hall has two symptoms: connections to its instances time out, and its entries are silent.
A single unreachable instance causes timeouts as well, but then other instances of its hall still
answer.
"""

from collections.abc import Collection, Iterable

from spoolhead._internal.policy import upstream_registry

BACKOFF_S = 0.5
"""Time for which a hall is not tried after a connection timeout without a later answer from it: a
healthy hall answers some entry's plain requests several times in that period."""
SILENT_HALL_BACKOFF_S = 2.0
"""The same for a hall whose entries are silent: one request in that period checks whether the
partition is over, without delaying the others."""


class _Hall:
    """Latest observations of a hall.

    :ivar timed_out_s: time of the last connection timeout.
    :ivar answered_s: time of the last answer.
    """

    __slots__ = ("answered_s", "timed_out_s")

    def __init__(self) -> None:
        self.timed_out_s = float("-inf")
        self.answered_s = float("-inf")


class HallReach:
    """This entry's observations of all halls.

    :param own_hall: hall of this entry, which is never considered cut off.
    """

    def __init__(self, own_hall: str) -> None:
        self._own_hall = own_hall
        self._halls: dict[str, _Hall] = {}

    def record_timeout(self, hall: str, now_s: float) -> None:
        """Record that a connection to an instance of a hall timed out."""
        self._get(hall).timed_out_s = now_s

    def record_answer(self, hall: str, now_s: float) -> None:
        """Record an answer from an instance of a hall."""
        self._get(hall).answered_s = now_s

    def get_cut_off_halls(self, silent_halls: Collection[str], now_s: float) -> frozenset[str]:
        """Return the halls that no request should be sent to.

        :param silent_halls: halls whose entries are silent.
        """
        return frozenset(
            name
            for name, hall in self._halls.items()
            if name != self._own_hall
            and self._is_unanswered(name)
            and now_s - hall.timed_out_s
            <= (SILENT_HALL_BACKOFF_S if name in silent_halls else BACKOFF_S)
        )

    def get_unreachable_halls(
        self, silent_halls: Collection[str], now_s: float, *, is_isolated: bool
    ) -> frozenset[str]:
        """Return the silent halls that this entry is cut off from.

        :param is_isolated: whether all other halls are silent, which suggests that this entry's own
            hall is cut off; a silent hall then counts as unreachable even without a timeout, unless
            it has just answered.
        """
        return frozenset(
            name
            for name in silent_halls
            if self._is_unanswered(name)
            or (is_isolated and not self._has_answered_lately(name, now_s))
        )

    def _is_unanswered(self, name: str) -> bool:
        hall = self._get(name)
        return hall.answered_s < hall.timed_out_s

    def _has_answered_lately(self, name: str, now_s: float) -> bool:
        return now_s - self._get(name).answered_s <= BACKOFF_S

    def _get(self, hall: str) -> _Hall:
        return self._halls.setdefault(hall, _Hall())


def is_service_unreachable(
    upstreams: Iterable[upstream_registry.Upstream], unreachable_halls: Collection[str]
) -> bool:
    """Return whether a service has instances only in unreachable or evacuated halls.

    Leaving instances are ignored. False for a service without other instances.

    :param upstreams: instances of the service.
    """
    remaining = [upstream for upstream in upstreams if not upstream.is_leaving]
    return bool(remaining) and all(
        upstream.instance.hall in unreachable_halls or upstream.is_evacuated
        for upstream in remaining
    )
