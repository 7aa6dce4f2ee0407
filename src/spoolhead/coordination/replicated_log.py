"""One member's log: a snapshot and the entries after it; performs no I/O.

Each modification returns the record that must be on disk before other members may rely on it.
Replaying the records in order restores the log.
"""

import dataclasses
import enum
from collections.abc import Sequence

from spoolhead.coordination import membership as memberships

KEPT_APPLIED_ENTRIES = 16
"""Number of applied entries that are kept for followers that lag slightly. It limits the memory for
entries, which may have 100 KiB each, and still spares most lagging followers a whole snapshot."""


class EntryKind(enum.IntEnum):
    """Kind of content of a log entry."""

    NOTHING = 0
    CHANGE = 1
    MEMBERS = 2


class Entry:
    """One entry of the log.

    :ivar term: term of the leader that created it.
    :ivar kind: kind of its content.
    :ivar data: its content.
    """

    __slots__ = ("data", "kind", "term")

    def __init__(self, term: int, kind: EntryKind, data: bytes) -> None:
        self.term = term
        self.kind = kind
        self.data = data


@dataclasses.dataclass(slots=True)
class Vote:
    """Record of the term and the vote given in it.

    :ivar term: latest term seen.
    :ivar voted_for: id of the member that received the vote; empty for none.
    """

    term: int
    voted_for: str


@dataclasses.dataclass(slots=True)
class Appended:
    """Record of an entry at an index; it invalidates earlier entries at and after that index.

    :ivar index: index of the entry.
    :ivar term: term of the entry.
    :ivar kind: kind of the entry.
    :ivar data: content of the entry.
    """

    index: int
    term: int
    kind: int
    data: bytes


@dataclasses.dataclass(slots=True)
class Snapshot:
    """Record of the state up to an index; it replaces the entries up to that index.

    :ivar index: index of the last entry included.
    :ivar term: term of that entry.
    :ivar members: ids of the members at that index.
    :ivar target_size: intended number of members at that index.
    :ivar state: the serialized state.
    :ivar former: ids of the former members if a change of members was in progress; else empty.
    """

    index: int
    term: int
    members: list[str]
    target_size: int
    state: bytes
    former: list[str] = dataclasses.field(default_factory=list)


Record = Vote | Appended | Snapshot


class ReplicatedLog:
    """Snapshot, entries, term and vote of one member.

    :param snapshot: initial snapshot; the log starts after it.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self.vote = Vote(0, "")
        self.snapshot = snapshot
        self._entries: list[Entry] = []
        self._first_index = snapshot.index + 1
        self._term_before_first = snapshot.term
        self._membership = _get_snapshot_membership(snapshot)
        self._membership_index = snapshot.index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._first_index + len(self._entries) - 1

    @property
    def first_index(self) -> int:
        """Index of the first entry that is still held."""
        return self._first_index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.get_term(self.last_index) or 0

    @property
    def membership(self) -> memberships.Membership:
        """Members by the latest membership entry, committed or not."""
        return self._membership

    @property
    def membership_index(self) -> int:
        """Index of the latest membership entry."""
        return self._membership_index

    def get_term(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is no longer or not yet known."""
        if index == self._first_index - 1:
            return self._term_before_first
        if self._first_index <= index <= self.last_index:
            return self._entries[index - self._first_index].term
        return None

    def get_entry(self, index: int) -> Entry:
        """Return the entry at an index; it must still be held."""
        return self._entries[index - self._first_index]

    def get_entries(self, first_index: int, limit_bytes: int) -> list[Entry]:
        """Return entries from an index on: at least one, and more up to a total size."""
        chosen: list[Entry] = []
        size = 0
        for entry in self._entries[first_index - self._first_index :]:
            size += len(entry.data)
            if chosen and size > limit_bytes:
                break
            chosen.append(entry)
        return chosen

    def set_vote(self, term: int, voted_for: str) -> Record:
        """Set the term and the vote given in it."""
        self.vote = Vote(term, voted_for)
        return self.vote

    def append(self, entry: Entry, index: int | None = None) -> Record:
        """Store an entry at an index, by default the next one.

        Existing entries at and after the index are removed.
        """
        if index is None:
            index = self.last_index + 1
        if index <= self.last_index:
            del self._entries[index - self._first_index :]
            if self._membership_index >= index:
                self._refresh_membership()
        self._entries.append(entry)
        if entry.kind is EntryKind.MEMBERS:
            self._membership = memberships.Membership.unpack(entry.data)
            self._membership_index = index
        return Appended(index, entry.term, int(entry.kind), entry.data)

    def take_snapshot(self, snapshot: Snapshot) -> Record:
        """Replace the whole log by a snapshot of another member."""
        self.snapshot = snapshot
        self._entries = []
        self._first_index = snapshot.index + 1
        self._term_before_first = snapshot.term
        self._refresh_membership()
        return snapshot

    def compact(self, applied_index: int, state: bytes) -> None:
        """Make the state at an applied entry the new snapshot and remove old entries."""
        membership = self._get_membership_at(self._find_membership_index(applied_index))
        self.snapshot = Snapshot(
            applied_index,
            self.get_term(applied_index) or 0,
            list(membership.members),
            membership.target_size,
            state,
            list(membership.former),
        )
        drop_count = applied_index - KEPT_APPLIED_ENTRIES - self._first_index + 1
        if drop_count > 0:
            self._term_before_first = self._entries[drop_count - 1].term
            del self._entries[:drop_count]
            self._first_index += drop_count

    def get_records(self) -> Sequence[Record]:
        """Return the records that restore the log in its present state."""
        records: list[Record] = [self.vote, self.snapshot]
        for index in range(self.snapshot.index + 1, self.last_index + 1):
            entry = self.get_entry(index)
            records.append(Appended(index, entry.term, int(entry.kind), entry.data))
        return records

    def restore(self, record: Record) -> None:
        """Apply a record that was read from the disk."""
        match record:
            case Vote():
                self.vote = record
            case Snapshot():
                self.take_snapshot(record)
            case Appended():
                entry = Entry(record.term, EntryKind(record.kind), record.data)
                self.append(entry, record.index)

    def _refresh_membership(self) -> None:
        index = self._find_membership_index(self.last_index)
        self._membership = self._get_membership_at(index)
        self._membership_index = index

    def _find_membership_index(self, limit_index: int) -> int:
        for index in range(limit_index, self.snapshot.index, -1):
            if self.get_entry(index).kind is EntryKind.MEMBERS:
                return index
        return self.snapshot.index

    def _get_membership_at(self, index: int) -> memberships.Membership:
        if index == self.snapshot.index:
            return _get_snapshot_membership(self.snapshot)
        return memberships.Membership.unpack(self.get_entry(index).data)


def _get_snapshot_membership(snapshot: Snapshot) -> memberships.Membership:
    return memberships.Membership(snapshot.members, snapshot.target_size, snapshot.former)
