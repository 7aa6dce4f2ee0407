"""Stores and broadcasts the records of contents that may crash instances.

Performs no I/O; the current time is passed in.

A changed record is sent at once. In addition, processes exchange a digest of all their records;
while two digests differ, each process sends the other all its records in turn. This also repairs
the effects of lost datagrams, restarts and network partitions.
"""

import heapq
import math
from collections.abc import Iterable

from spoolhead._internal.models import content_record

RETENTION_S = 86_400.0
"""Time for which a record is kept after its last change: the content does not become harmless with
time, and an operator is on call for a day."""
EXPIRY_MARGIN_S = 60.0
"""Remaining time below which a record is no longer merged: otherwise processes whose clocks differ
slightly would return it to each other forever."""
MAX_RECORDS = 1_000
"""Maximum number of records. One takes some 500 bytes, so all take half a megabyte. A crash leaves
some twenty records, and on an ordinary day 38 instances terminate."""

MAX_RECORDS_PER_DATAGRAM = 8
"""Records per datagram, some 400 bytes."""
RECORD_SEND_COUNT = 3
"""Successive datagrams that carry a changed record: at a loss of one in ten, one record in a
thousand is left to the digest comparison."""
DIGEST_MISMATCH_S = 0.6
"""Time for which another process must report a different digest before it is sent all records: each
reports its digest four times a second, and a record in transit arrives within one of these
intervals."""
MIN_FULL_SYNC_INTERVAL_S = 0.5
FULL_SYNC_INTERVAL_PER_RECORD_S = 0.01
"""Minimum interval between two rounds that send all records. A round takes 50 bytes per record, so
useless rounds cost 5 KB/s at most, however many records there are."""


class _StoredRecord:
    """A record and the time of its last change."""

    __slots__ = ("changed_s", "record")

    def __init__(self, record: content_record.ContentRecord, changed_s: float) -> None:
        self.record = record
        self.changed_s = changed_s


class ContentRegistry:
    """The records that one process knows.

    :ivar digest: digest of all records.
    """

    def __init__(self) -> None:
        self.digest = 0
        self._records: dict[bytes, _StoredRecord] = {}
        self._oldest_changed_s = math.inf

    def __len__(self) -> int:
        return len(self._records)

    def get(self, content_id: bytes) -> content_record.ContentRecord | None:
        """Return the record of a content, or None if there is none."""
        known = self._records.get(content_id)
        return known.record if known is not None else None

    def get_changed_s(self, content_id: bytes) -> float:
        """Return when the record of a content last changed; minus infinity without a record."""
        known = self._records.get(content_id)
        return known.changed_s if known is not None else -math.inf

    def get_aged(self, content_id: bytes, now_s: float) -> content_record.AgedRecord | None:
        """Return a record with its age, as it is sent to other processes."""
        known = self._records.get(content_id)
        if known is None:
            return None
        return content_record.AgedRecord(known.record, int((now_s - known.changed_s) * 1000))

    def get_all_aged(
        self, content_ids: Iterable[bytes], now_s: float
    ) -> list[content_record.AgedRecord]:
        """Return the records of some contents with their ages; unknown contents are left out."""
        aged = [self.get_aged(content_id, now_s) for content_id in content_ids]
        return [item for item in aged if item is not None]

    def get_all(self) -> list[content_record.ContentRecord]:
        """Return all records."""
        return [known.record for known in self._records.values()]

    def get_ids(self) -> list[bytes]:
        """Return the ids of all known contents, the oldest first."""
        return list(self._records)

    def get_most_severe(self, count: int) -> list[bytes]:
        """Return the ids of the most severe contents, up to a maximum count."""
        known = heapq.nlargest(
            count, self._records.items(), key=lambda item: _get_severity(item[1])
        )
        return [content_id for content_id, _ in known]

    def set(self, record: content_record.ContentRecord, now_s: float) -> bool:
        """Merge a record that this process created or changed.

        :returns: whether that changed the stored record.
        """
        is_changed = self._merge(record, now_s)
        self._expire(now_s)
        return is_changed

    def merge(
        self, items: Iterable[content_record.AgedRecord], now_s: float
    ) -> list[content_record.ContentRecord]:
        """Merge records reported by another process.

        :returns: the records that changed, in their merged state.
        """
        changed = []
        for item in items:
            age_s = max(0.0, item.age_ms / 1000)
            if age_s > RETENTION_S - EXPIRY_MARGIN_S:
                continue
            if self._merge(item.record, now_s - age_s):
                changed.append(item.record.content_id)
        self._expire(now_s)
        # A full registry may have evicted some of them again.
        return [self._records[key].record for key in changed if key in self._records]

    def _expire(self, now_s: float) -> None:
        """Remove records that have not changed for the retention time."""
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
        # A late record must not expire earlier than the record it is merged into.
        last_s = changed_s if known is None else max(changed_s, known.changed_s)
        self._records[content_id] = _StoredRecord(merged, last_s)
        self._oldest_changed_s = min(self._oldest_changed_s, last_s)
        self._evict_excess()
        return True

    def _evict_excess(self) -> None:
        """Evict the least severe records: not held by hand, fewest waves, oldest last change."""
        while len(self._records) > MAX_RECORDS:
            least = min(self._records.items(), key=lambda item: _get_severity(item[1]))
            self._remove(least[0])

    def _remove(self, content_id: bytes) -> None:
        self.digest ^= self._records.pop(content_id).record.digest


def _get_severity(known: _StoredRecord) -> tuple[bool, int, float]:
    record = known.record
    return record.is_by_hand, record.waves, known.changed_s


class ContentBroadcast:
    """The records that a process still has to send to one group of receivers.

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
        """Whether any changed record has not been sent yet."""
        return any(sends_left == RECORD_SEND_COUNT for sends_left in self._sends_left.values())

    @property
    def has_pending(self) -> bool:
        """Whether any record is left to send."""
        return bool(self._sends_left or self._sync_queue)

    def record_changed(self, content_id: bytes) -> None:
        """Schedule a changed record to be sent."""
        self._sends_left.pop(content_id, None)
        self._sends_left[content_id] = RECORD_SEND_COUNT

    def record_digest(self, peer: str, digest: int, now_s: float) -> None:
        """Compare the digest reported by another process and start a full sync if it differs.

        A process without records has just started, so the full sync for it starts at once.

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
        """Remove the state of a process that has fallen silent."""
        self._mismatch_since_s.pop(peer, None)

    def pop_batch(self, now_s: float) -> list[content_record.AgedRecord]:
        """Return the records to send next, and count them as sent."""
        content_ids = list(self._sends_left)[:MAX_RECORDS_PER_DATAGRAM]
        for content_id in content_ids:
            self._sends_left[content_id] -= 1
            if not self._sends_left[content_id]:
                del self._sends_left[content_id]
        while self._sync_queue and len(content_ids) < MAX_RECORDS_PER_DATAGRAM:
            content_ids.append(self._sync_queue.pop())
        return self._registry.get_all_aged(content_ids, now_s)

    def pop_changed(self, now_s: float) -> list[content_record.AgedRecord]:
        """Return all changed records, and count them as sent."""
        changed, self._sends_left = self._sends_left, {}
        return self._registry.get_all_aged(changed, now_s)

    def clear(self) -> None:
        """Discard pending records, as there is no receiver."""
        self._sends_left.clear()
        self._sync_queue.clear()
