"""The keeper's state: the table and the once journal, rebuilt from the log, without I/O.

Each operation comes in two steps. A ``prepare_*`` or ``get_*`` method tells what is to be
made durable; after that the matching ``apply`` method makes it part of the state. So nothing
that a disk has not taken is ever seen by a reader.
"""

import collections

import expression

from spoolhead._internal.keeper import records
from spoolhead._internal.table import checking
from spoolhead.coordination import once_journal, versioned_table

CLAIM_RETENTION_MS = 24 * 60 * 60 * 1000


class KeeperState:
    """All that a keeper knows.

    :param kept_changes: changes kept for followers that come back.
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

        :raises ValueError: if the record does not fit what came before it.
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
        """Make a durable change part of the table."""
        self.table.apply(change)
        self._recent.append(change)

    def get_changes_after(self, log_id: str, version: int) -> list[versioned_table.Change] | None:
        """Return what a follower has missed.

        :param log_id: log of the follower's copy.
        :param version: version of the follower's copy.
        :returns: the changes, or None where a snapshot is needed.
        """
        if log_id != self.log_id or version > self.table.version:
            return None
        missed = self.table.version - version
        if missed > len(self._recent):
            return None
        return list(self._recent)[len(self._recent) - missed :]
