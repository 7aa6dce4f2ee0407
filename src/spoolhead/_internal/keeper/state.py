"""The keeper's state: the table and the once journal, rebuilt from the log; performs no I/O.

Each operation has two steps. A ``prepare_*`` or ``get_*`` method returns the change that must be
made durable. Once it is durable, the matching ``apply`` method makes it part of the state. Readers
therefore never see anything that is not on disk.
"""

import collections

import expression

from spoolhead._internal.keeper import records
from spoolhead._internal.table import checking
from spoolhead.coordination import once_journal, versioned_table

CLAIM_RETENTION_MS = 24 * 60 * 60 * 1000


class KeeperState:
    """The complete state of a keeper.

    :param kept_changes: number of changes kept for followers that reconnect.
    :ivar log_id: id of the log; empty before the first record.
    :ivar table: the table.
    :ivar once: the claims.
    """

    def __init__(self, *, kept_changes: int) -> None:
        self.log_id = ""
        self.table = versioned_table.VersionedTable(checking.TableChecker())
        self.once = once_journal.OnceJournal(CLAIM_RETENTION_MS)
        self._recent: collections.deque[versioned_table.Change] = collections.deque(
            maxlen=kept_changes
        )

    def replay(self, payload: bytes) -> None:
        """Apply one record of the log.

        :raises ValueError: if the record contradicts the earlier ones.
        """
        kind, *fields = records.parse(payload)
        match kind:
            case records.RecordKind.LOG_ID:
                self.log_id = fields[0]
            case records.RecordKind.CHANGE:
                self.apply_change(versioned_table.Change.unpack(fields[0]))
            case records.RecordKind.CLAIM:
                self.once.claim(*fields)
            case records.RecordKind.FINISH:
                key, owner, packed = fields
                self.once.finish(key, owner, records.parse_outcome(packed))
            case records.RecordKind.RELEASE:
                self.once.release(*fields)

    def prepare_change(
        self, proposal: versioned_table.Proposal
    ) -> expression.Result[versioned_table.Prepared, versioned_table.Refusal]:
        """Check an operator's edit."""
        return self.table.prepare(proposal)

    def apply_change(self, change: versioned_table.Change) -> None:
        """Apply a durable change to the table."""
        self.table.apply(change)
        self._recent.append(change)

    def get_changes_after(self, log_id: str, version: int) -> list[versioned_table.Change] | None:
        """Return the changes that a follower has missed.

        :param log_id: id of the log of the follower's copy.
        :param version: version of the follower's copy.
        :returns: the changes, or None if the follower needs a snapshot.
        """
        if log_id != self.log_id or version > self.table.version:
            return None
        missed_count = self.table.version - version
        if missed_count > len(self._recent):
            return None
        return list(self._recent)[len(self._recent) - missed_count :]
