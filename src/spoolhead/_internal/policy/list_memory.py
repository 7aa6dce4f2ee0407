"""Combines reads of the instance list, of which some end before the last page. Performs no I/O.

What a page shows of an instance holds, whatever becomes of the rest of the read: the instance is
there, or leaves. Only a read of all pages shows that an instance is gone.
"""

from collections.abc import Iterable

from spoolhead._internal.models import instances

KEPT_TTL_S = 600.0
"""Time after which an instance that no read shows any more is dropped, though none was complete."""
MAX_KEPT = 1_600
"""Maximum number of instances that an incomplete read keeps, those that were read last."""


class Update:
    """Outcome of a read.

    :ivar listed: the current instances.
    :ivar kept: how many of them this read did not show.
    :ivar expired: how many were dropped since no read showed them for long.
    """

    __slots__ = ("expired", "kept", "listed")

    def __init__(self, listed: list[instances.Instance], *, kept: int, expired: int) -> None:
        self.listed = listed
        self.kept = kept
        self.expired = expired


class ListMemory:
    """The instances that the reads so far have shown."""

    __slots__ = ("_current", "_shown_s")

    def __init__(self) -> None:
        self._current: dict[str, instances.Instance] = {}
        self._shown_s: dict[str, float] = {}

    @property
    def current(self) -> dict[str, instances.Instance]:
        """The current instances by id."""
        return self._current

    def update(
        self, shown: Iterable[instances.Instance], *, is_whole: bool, now_s: float
    ) -> Update:
        """Apply a read.

        :param shown: the instances that it shows, one for each id.
        :param is_whole: whether it read all pages.
        """
        before = self._current
        current = {item.instance_id: item for item in shown}
        unread = [] if is_whole else [item for name, item in before.items() if name not in current]
        kept = [item for item in unread if now_s - self._shown_s[item.instance_id] < KEPT_TTL_S]
        kept = kept[-MAX_KEPT:]
        # The order is that of the time at which they were last shown.
        self._current = {**{item.instance_id: item for item in kept}, **current}
        self._shown_s = {
            name: now_s if name in current else self._shown_s[name] for name in self._current
        }
        listed = list(self._current.values())
        return Update(listed, kept=len(kept), expired=len(unread) - len(kept))
