"""A follower's copy of a versioned table, whose version never decreases.

A follower sends the version it has and receives either the changes since then or a snapshot.
Whatever a source sends, the copy never returns to an older version and never mixes two logs: each
log has a random id, and a source with another log is refused.
"""

import enum
from collections.abc import Mapping

import expression

from spoolhead.coordination import versioned_table


class FollowFault(enum.Enum):
    """Reason why a change or a snapshot was refused."""

    OTHER_LOG = "other-log"
    OLDER = "older"
    GAP = "gap"


class FollowedTable:
    """Copy of a table at one version.

    :ivar log_id: id of the log that the copy comes from; empty before the first snapshot.
    :ivar version: version of the copy; 0 before the first snapshot.
    :ivar rows: rows at that version.
    """

    __slots__ = ("log_id", "rows", "version")

    def __init__(self) -> None:
        self.log_id = ""
        self.version = 0
        self.rows: dict[versioned_table.RowKey, versioned_table.VersionedRow] = {}

    def take_snapshot(
        self,
        log_id: str,
        version: int,
        rows: Mapping[versioned_table.RowKey, versioned_table.VersionedRow],
    ) -> expression.Result[bool, FollowFault]:
        """Replace the copy by a snapshot.

        :returns: whether the copy changed, or why the snapshot was refused.
        """
        if self.log_id and log_id != self.log_id:
            return expression.Error(FollowFault.OTHER_LOG)
        if version < self.version:
            return expression.Error(FollowFault.OLDER)
        if version == self.version and self.log_id:
            return expression.Ok(False)
        self.log_id = log_id
        self.version = version
        self.rows = dict(rows)
        return expression.Ok(True)

    def take_change(
        self, log_id: str, change: versioned_table.Change
    ) -> expression.Result[bool, FollowFault]:
        """Apply one change.

        :returns: whether the copy changed (False for a change that is already applied), or why the
            change was refused.
        """
        if log_id != self.log_id:
            return expression.Error(FollowFault.OTHER_LOG)
        if change.version <= self.version:
            return expression.Ok(False)
        if change.version != self.version + 1:
            return expression.Error(FollowFault.GAP)
        for edit in change.proposal.edits:
            if edit.value is None:
                self.rows.pop(edit.key, None)
            else:
                self.rows[edit.key] = versioned_table.VersionedRow(change.version, edit.value)
        self.version = change.version
        return expression.Ok(True)
