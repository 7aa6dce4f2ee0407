"""A table whose rows change by compare-and-set, with edit ids that make resends idempotent.

The table is a state machine without I/O. :meth:`VersionedTable.prepare` checks a proposal against
the current rows and returns the resulting change; the caller makes that change durable and then
calls :meth:`VersionedTable.apply`. The table's version is the number of changes so far. Each row
carries the version of its last change, and an edit names the row version on which it is based.
"""

import collections
import enum
from collections.abc import Callable, Mapping, Sequence

import expression

ABSENT_VERSION = 0
"""Expected version in an edit that creates a row."""

KEPT_EDIT_IDS = 20_000
"""Number of edit ids that are remembered, so that a resend receives its first outcome: eight days
at 2,500 edits a day."""


class RowKey:
    """Sheet and name of a row; hashable.

    :ivar sheet: sheet of the table.
    :ivar name: name of the row within the sheet.
    """

    __slots__ = ("name", "sheet")

    def __init__(self, sheet: str, name: str) -> None:
        self.sheet = sheet
        self.name = name

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, RowKey):
            return NotImplemented
        return self.sheet == other.sheet and self.name == other.name

    def __hash__(self) -> int:
        return hash((self.sheet, self.name))

    def __repr__(self) -> str:
        return f"RowKey({self.sheet!r}, {self.name!r})"

    def __str__(self) -> str:
        return f"{self.sheet}.{self.name}"


class VersionedRow:
    """A row's value and its version.

    :ivar version: version of the change that last set the row.
    :ivar value: columns as JSON-compatible data; never modified in place.
    """

    __slots__ = ("value", "version")

    def __init__(self, version: int, value: Mapping[str, object]) -> None:
        self.version = version
        self.value = value


class RowEdit:
    """New value of one row.

    :ivar key: key of the row.
    :ivar expected_version: version that the row must still have; :data:`ABSENT_VERSION` if the row
        must not exist.
    :ivar value: new columns; None removes the row.
    """

    __slots__ = ("expected_version", "key", "value")

    def __init__(
        self, key: RowKey, expected_version: int, value: Mapping[str, object] | None
    ) -> None:
        self.key = key
        self.expected_version = expected_version
        self.value = value

    def pack(self) -> list[object]:
        """Return the edit as a plain list for serialization."""
        return [self.key.sheet, self.key.name, self.expected_version, self.value]

    @classmethod
    def unpack(cls, packed: Sequence[object]) -> "RowEdit":
        """Return the edit that :meth:`pack` has packed.

        :raises ValueError: if the list has another shape.
        """
        sheet, name, expected, value = packed
        shape_ok = isinstance(sheet, str) and isinstance(name, str) and isinstance(expected, int)
        if not shape_ok or not (value is None or isinstance(value, dict)):
            raise ValueError("a row edit must be [sheet, name, expected version, value]")
        return cls(RowKey(sheet, name), expected, value)


class Proposal:
    """An edit as sent by an operator; either all of its rows change or none.

    :ivar edit_id: id chosen by the sender; a resend carries the same id.
    :ivar author: name of the user who made the edit.
    :ivar time_ms: time of the edit in milliseconds since 1970, for the audit only.
    :ivar edits: the edited rows.
    """

    __slots__ = ("author", "edit_id", "edits", "time_ms")

    def __init__(
        self, *, edit_id: str, author: str, time_ms: int, edits: Sequence[RowEdit]
    ) -> None:
        self.edit_id = edit_id
        self.author = author
        self.time_ms = time_ms
        self.edits = list(edits)


class Change:
    """An accepted proposal with its version.

    :ivar version: the table's version after this change; increases by one with each change.
    :ivar proposal: the accepted proposal.
    """

    __slots__ = ("proposal", "version")

    def __init__(self, version: int, proposal: Proposal) -> None:
        self.version = version
        self.proposal = proposal

    def pack(self) -> list[object]:
        """Return the change as a plain list for serialization."""
        proposal = self.proposal
        edits = [edit.pack() for edit in proposal.edits]
        return [self.version, proposal.edit_id, proposal.author, proposal.time_ms, edits]

    @classmethod
    def unpack(cls, packed: Sequence[object]) -> "Change":
        """Return the change that :meth:`pack` has packed.

        :raises ValueError: if the list has another shape.
        """
        version, edit_id, author, time_ms, edits = packed
        shape_ok = isinstance(version, int) and isinstance(time_ms, int)
        if not shape_ok or not isinstance(edit_id, str) or not isinstance(edits, list):
            raise ValueError("a change must be [version, edit id, author, time, edits]")
        proposal = Proposal(
            edit_id=edit_id,
            author=str(author),
            time_ms=time_ms,
            edits=[RowEdit.unpack(edit) for edit in edits],
        )
        return cls(version, proposal)


class RefusalKind(enum.Enum):
    """Reason why a proposal was refused."""

    INVALID = "invalid"
    CONFLICT = "conflict"
    EDIT_ID_REUSED = "edit-id-reused"


class Refusal:
    """A refused proposal; the table is unchanged.

    :ivar kind: reason of the refusal.
    :ivar faults: faults that the row check found; their type depends on the check.
    :ivar conflicts: rows that have changed since, with their current state (None if removed).
    """

    __slots__ = ("conflicts", "faults", "kind")

    def __init__(
        self,
        kind: RefusalKind,
        *,
        faults: Sequence[object] = (),
        conflicts: Mapping[RowKey, VersionedRow | None] | None = None,
    ) -> None:
        self.kind = kind
        self.faults = list(faults)
        self.conflicts = dict(conflicts or {})


class Prepared:
    """An acceptable proposal.

    :ivar change: the resulting change.
    :ivar is_resend: whether the proposal was already accepted under this version, so that there is
        nothing to apply.
    """

    __slots__ = ("change", "is_resend")

    def __init__(self, change: Change, *, is_resend: bool) -> None:
        self.change = change
        self.is_resend = is_resend


RowValues = Mapping[RowKey, Mapping[str, object]]
Check = Callable[[RowValues], Sequence[object]]


class VersionedTable:
    """The rows, their versions and the edit ids seen.

    :param check: called with all rows as they would be after a proposal; returns the faults.
    """

    def __init__(self, check: Check) -> None:
        self.version = 0
        self.rows: dict[RowKey, VersionedRow] = {}
        self._check = check
        self._accepted: collections.OrderedDict[str, Change] = collections.OrderedDict()

    def prepare(self, proposal: Proposal) -> expression.Result[Prepared, Refusal]:
        """Check a proposal without changing anything.

        :param proposal: the edit.
        :returns: the change to make durable and apply, or the refusal.
        """
        first_change = self._accepted.get(proposal.edit_id)
        if first_change is not None:
            return self._prepare_resend(first_change, proposal)
        conflicts = self._get_conflicts(proposal)
        if conflicts:
            return expression.Error(Refusal(RefusalKind.CONFLICT, conflicts=conflicts))
        faults = self._check(self._get_values_after(proposal))
        if faults:
            return expression.Error(Refusal(RefusalKind.INVALID, faults=faults))
        return expression.Ok(Prepared(Change(self.version + 1, proposal), is_resend=False))

    def apply(self, change: Change) -> None:
        """Apply a durable change to the table.

        :param change: the next change.
        :raises ValueError: if the change's version is not the next one.
        """
        if change.version != self.version + 1:
            raise ValueError(f"change {change.version} does not follow version {self.version}")
        for edit in change.proposal.edits:
            if edit.value is None:
                self.rows.pop(edit.key, None)
            else:
                self.rows[edit.key] = VersionedRow(change.version, edit.value)
        self.version = change.version
        self._accepted[change.proposal.edit_id] = change
        while len(self._accepted) > KEPT_EDIT_IDS:
            self._accepted.popitem(last=False)

    def get_history(self) -> list[Change]:
        """Return the remembered changes, oldest first."""
        return list(self._accepted.values())

    @staticmethod
    def _prepare_resend(
        first_change: Change, proposal: Proposal
    ) -> expression.Result[Prepared, Refusal]:
        # A repeated command reads the rows again, so its expected versions may differ. The edit is
        # the same if the resulting rows are the same.
        sent = [(edit.key, edit.value) for edit in proposal.edits]
        accepted = [(edit.key, edit.value) for edit in first_change.proposal.edits]
        if sent != accepted:
            return expression.Error(Refusal(RefusalKind.EDIT_ID_REUSED))
        return expression.Ok(Prepared(first_change, is_resend=True))

    def _get_conflicts(self, proposal: Proposal) -> dict[RowKey, VersionedRow | None]:
        conflicts = {}
        for edit in proposal.edits:
            row = self.rows.get(edit.key)
            version = row.version if row is not None else ABSENT_VERSION
            if version != edit.expected_version:
                conflicts[edit.key] = row
        return conflicts

    def _get_values_after(self, proposal: Proposal) -> dict[RowKey, Mapping[str, object]]:
        values = {key: row.value for key, row in self.rows.items()}
        for edit in proposal.edits:
            if edit.value is None:
                values.pop(edit.key, None)
            else:
                values[edit.key] = edit.value
        return values
