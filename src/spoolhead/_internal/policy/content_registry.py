"""Records of contents that may end instances, as one process knows them, and what it tells of them.

A record is told at once when it has changed. Besides, processes tell each other one number that
stands for all their records; where it differs, each tells the other its records in turn until it no
longer does. So a lost datagram, a restart or a cut needs no message of its own; no I/O, time passed
in.
"""

import heapq
import math
from collections.abc import Iterable

from spoolhead._internal.models import content_record

RETENTION_S = 86_400.0
"""Time for which a record is kept after its last change: such a request does not become sound by
time, and a day is as long as anybody is on call for it."""
EXPIRY_MARGIN_S = 60.0
"""A record this close to its end is not taken any more: otherwise processes whose clocks differ a
little would give it back to each other for ever."""
MAX_RECORDS = 1_000
"""Records kept. One takes some 500 bytes, so all take half a megabyte. An instance that ends leaves
some twenty, and on an ordinary day 38 end."""

MAX_RECORDS_PER_DATAGRAM = 8
"""Records in one datagram: some 400 bytes."""
RECORD_SEND_COUNT = 3
"""Datagrams in a row that carry a changed record: at one lost in ten, one in a thousand is left to
the comparison of all."""
DIGEST_MISMATCH_S = 0.6
"""Time for which another process must name another number before it is told all records: each names
its number four times a second, and news that is on its way arrives within one of these pauses."""
MIN_FULL_SYNC_INTERVAL_S = 0.5
FULL_SYNC_INTERVAL_PER_RECORD_S = 0.01
"""Least time between the beginnings of two rounds of telling all records. A round takes 50 bytes a
record, so rounds in vain cost 5 KB/s at most, however many records there are."""


class _StoredRecord:
    """A record and when it last changed."""

    __slots__ = ("changed_s", "record")

    def __init__(self, record: content_record.ContentRecord, changed_s: float) -> None:
        self.record = record
        self.changed_s = changed_s


class ContentRegistry:
    """The records that one process knows.

    :ivar digest: number that stands for all of them.
    """

    def __init__(self) -> None:
        self.digest = 0
        self._records: dict[bytes, _StoredRecord] = {}
        self._oldest_changed_s = math.inf

    def __len__(self) -> int:
        return len(self._records)

    def get(self, content_id: bytes) -> content_record.ContentRecord | None:
        """Return the record of a content; None if nothing is known of it."""
        known = self._records.get(content_id)
        return known.record if known is not None else None

    def get_changed_s(self, content_id: bytes) -> float:
        """Return when the record of a content last changed; minus infinity without one."""
        known = self._records.get(content_id)
        return known.changed_s if known is not None else -math.inf

    def get_aged(self, content_id: bytes, now_s: float) -> content_record.AgedRecord | None:
        """Return a record as it is told."""
        known = self._records.get(content_id)
        if known is None:
            return None
        return content_record.AgedRecord(known.record, int((now_s - known.changed_s) * 1000))

    def get_all_aged(
        self, content_ids: Iterable[bytes], now_s: float
    ) -> list[content_record.AgedRecord]:
        """Return records as they are told, those that are still known."""
        aged = [self.get_aged(content_id, now_s) for content_id in content_ids]
        return [item for item in aged if item is not None]

    def get_all(self) -> list[content_record.ContentRecord]:
        """Return all records."""
        return [known.record for known in self._records.values()]

    def get_ids(self) -> list[bytes]:
        """Return the names of all contents known, those known longest first."""
        return list(self._records)

    def get_most_severe(self, count: int) -> list[bytes]:
        """Return the names of the contents that matter most, at most so many."""
        known = heapq.nlargest(
            count, self._records.items(), key=lambda item: _get_severity(item[1])
        )
        return [content_id for content_id, _ in known]

    def set(self, record: content_record.ContentRecord, now_s: float) -> bool:
        """Take a record that this process has found or changed.

        :returns: whether that changed what is known.
        """
        is_changed = self._merge(record, now_s)
        self._expire(now_s)
        return is_changed

    def merge(
        self, items: Iterable[content_record.AgedRecord], now_s: float
    ) -> list[content_record.ContentRecord]:
        """Take what another process tells.

        :returns: the records that this changed, as they stand now.
        """
        changed = []
        for item in items:
            age_s = max(0.0, item.age_ms / 1000)
            if age_s > RETENTION_S - EXPIRY_MARGIN_S:
                continue
            if self._merge(item.record, now_s - age_s):
                changed.append(self._records[item.record.content_id].record)
        self._expire(now_s)
        return [record for record in changed if record.content_id in self._records]

    def _expire(self, now_s: float) -> None:
        """Forget what has not changed for long."""
        if now_s - self._oldest_changed_s <= RETENTION_S:
            return
        for content_id, known in list(self._records.items()):
            if now_s - known.changed_s > RETENTION_S:
                self._remove(content_id)
        self._oldest_changed_s = min(
            (item.changed_s for item in self._records.values()), default=math.inf
        )

    def _merge(self, record: content_record.ContentRecord, changed_s: float) -> bool:
        content_id = record.content_id
        known = self._records.get(content_id)
        merged = record if known is None else content_record.merge(known.record, record)
        if known is not None and merged == known.record:
            return False
        if known is not None:
            self.digest ^= known.record.digest
        self.digest ^= merged.digest
        # What comes late must not end sooner than what it was merged into.
        last_s = changed_s if known is None else max(changed_s, known.changed_s)
        self._records[content_id] = _StoredRecord(merged, last_s)
        self._oldest_changed_s = min(self._oldest_changed_s, last_s)
        self._evict_excess()
        return True

    def _evict_excess(self) -> None:
        """Forget those that matter least: what is not held, and of that the oldest."""
        while len(self._records) > MAX_RECORDS:
            least = min(self._records.items(), key=lambda item: _get_severity(item[1]))
            self._remove(least[0])

    def _remove(self, content_id: bytes) -> None:
        self.digest ^= self._records.pop(content_id).record.digest


def _get_severity(known: _StoredRecord) -> tuple[bool, int, float]:
    record = known.record
    return record.is_by_hand, record.waves, known.changed_s


class ContentBroadcast:
    """What a process still has to tell one side of the records in its book.

    :param registry: the records.
    """

    def __init__(self, registry: ContentRegistry) -> None:
        self._registry = registry
        self._sends_left: dict[bytes, int] = {}
        self._sync_queue: list[bytes] = []
        self._last_sync_s = -math.inf
        self._mismatch_since_s: dict[str, float] = {}

    @property
    def has_new(self) -> bool:
        """Whether a record has changed that was not told at all."""
        return any(sends_left == RECORD_SEND_COUNT for sends_left in self._sends_left.values())

    @property
    def has_pending(self) -> bool:
        """Whether anything is left to tell."""
        return bool(self._sends_left or self._sync_queue)

    def record_changed(self, content_id: bytes) -> None:
        """Tell a record soon."""
        self._sends_left.pop(content_id, None)
        self._sends_left[content_id] = RECORD_SEND_COUNT

    def record_digest(self, peer: str, digest: int, now_s: float) -> None:
        """Take the number that stands for another process's records.

        One that knows nothing has just started, and is told all at once.

        :param peer: name of that process.
        """
        if digest == self._registry.digest:
            self._mismatch_since_s.pop(peer, None)
            return
        since_s = self._mismatch_since_s.setdefault(peer, now_s)
        is_new = not digest
        if self.has_pending or (now_s - since_s < DIGEST_MISMATCH_S and not is_new):
            return
        interval_s = max(
            MIN_FULL_SYNC_INTERVAL_S, FULL_SYNC_INTERVAL_PER_RECORD_S * len(self._registry)
        )
        if now_s - self._last_sync_s >= interval_s:
            self._last_sync_s = now_s
            self._sync_queue = self._registry.get_ids()

    def remove_peer(self, peer: str) -> None:
        """Forget a process that is no longer heard."""
        self._mismatch_since_s.pop(peer, None)

    def pop_batch(self, now_s: float) -> list[content_record.AgedRecord]:
        """Return what is told next, and count it as told."""
        content_ids = list(self._sends_left)[:MAX_RECORDS_PER_DATAGRAM]
        for content_id in content_ids:
            self._sends_left[content_id] -= 1
            if not self._sends_left[content_id]:
                del self._sends_left[content_id]
        while self._sync_queue and len(content_ids) < MAX_RECORDS_PER_DATAGRAM:
            content_ids.append(self._sync_queue.pop())
        return self._registry.get_all_aged(content_ids, now_s)

    def pop_changed(self, now_s: float) -> list[content_record.AgedRecord]:
        """Return all records that have changed, and count them as told."""
        changed, self._sends_left = self._sends_left, {}
        return self._registry.get_all_aged(changed, now_s)

    def clear(self) -> None:
        """Forget what was to be told: nobody is there to hear it."""
        self._sends_left.clear()
        self._sync_queue.clear()
