"""A table whose rows change by compare-and-set, with resends made harmless by edit ids.

The table is a state machine without I/O. :meth:`VersionedTable.prepare` checks a proposal
against the present rows and returns the change it would be; the caller makes that change
durable and then calls :meth:`VersionedTable.apply`. A version is the number of changes so far;
each row carries the version that last set it, and an edit names the version it was made from.
"""

import collections
import enum
from collections.abc import Callable, Mapping, Sequence

import expression

ABSENT_VERSION = 0
"""Version that an edit expects of a row that is not there."""

KEPT_EDIT_IDS = 20_000
"""Edit ids remembered, so that a resend gets its first outcome: eight days at 2,500 a day."""


class RowKey:
    """Sheet and name of a row; usable as a key.

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
    """A row's value and the version that set it.

    :ivar version: version of the change that last set the row.
    :ivar value: columns as plain JSON-like data; never changed in place.
    """

    __slots__ = ("value", "version")

    def __init__(self, version: int, value: Mapping[str, object]) -> None:
        self.version = version
        self.value = value


class RowEdit:
    """One row's new value.

    :ivar key: the row.
    :ivar expected_version: version the row must still have; :data:`ABSENT_VERSION` for none.
    :ivar value: new columns, or None to remove the row.
    """

    __slots__ = ("expected_version", "key", "value")

    def __init__(
        self, key: RowKey, expected_version: int, value: Mapping[str, object] | None
    ) -> None:
        self.key = key
        self.expected_version = expected_version
        self.value = value

    def pack(self) -> list[object]:
        """Return the edit as plain lists, for a codec."""
        return [self.key.sheet, self.key.name, self.expected_version, self.value]

    @classmethod
    def unpack(cls, packed: Sequence[object]) -> "RowEdit":
        """Make an edit from what :meth:`pack` returned.

        :raises ValueError: if the shape is wrong.
        """
        sheet, name, expected, value = packed
        shape_ok = isinstance(sheet, str) and isinstance(name, str) and isinstance(expected, int)
        if not shape_ok or not (value is None or isinstance(value, dict)):
            raise ValueError("not a row edit")
        return cls(RowKey(sheet, name), expected, value)


class Proposal:
    """An edit as an operator sends it: all of its rows or none.

    :ivar edit_id: chosen by the sender; a resend carries the same one.
    :ivar author: who made it.
    :ivar time_ms: when, in milliseconds since 1970, for the audit only.
    :ivar edits: the rows.
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

    :ivar version: the table's version with this change; counts by one.
    :ivar proposal: what was accepted.
    """

    __slots__ = ("proposal", "version")

    def __init__(self, version: int, proposal: Proposal) -> None:
        self.version = version
        self.proposal = proposal

    def pack(self) -> list[object]:
        """Return the change as plain lists, for a codec."""
        item = self.proposal
        edits = [edit.pack() for edit in item.edits]
        return [self.version, item.edit_id, item.author, item.time_ms, edits]

    @classmethod
    def unpack(cls, packed: Sequence[object]) -> "Change":
        """Make a change from what :meth:`pack` returned.

        :raises ValueError: if the shape is wrong.
        """
        version, edit_id, author, time_ms, edits = packed
        shape_ok = isinstance(version, int) and isinstance(time_ms, int)
        if not shape_ok or not isinstance(edit_id, str) or not isinstance(edits, list):
            raise ValueError("not a change")
        proposal = Proposal(
            edit_id=edit_id,
            author=str(author),
            time_ms=time_ms,
            edits=[RowEdit.unpack(edit) for edit in edits],
        )
        return cls(version, proposal)


class RefusalKind(enum.Enum):
    """Why a proposal was refused."""

    INVALID = "invalid"
    CONFLICT = "conflict"
    EDIT_ID_REUSED = "edit-id-reused"


class Refusal:
    """A refused proposal; the table is as it was.

    :ivar kind: why.
    :ivar faults: what the check of the rows found; their type is the check's own.
    :ivar conflicts: rows that have changed since, as they are now (None for removed).
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
    """A proposal that may be accepted.

    :ivar change: the change it is.
    :ivar is_resend: it was accepted before under this version; nothing is to be done.
    """

    __slots__ = ("change", "is_resend")

    def __init__(self, change: Change, *, is_resend: bool) -> None:
        self.change = change
        self.is_resend = is_resend


RowValues = Mapping[RowKey, Mapping[str, object]]
Check = Callable[[RowValues], Sequence[object]]


class VersionedTable:
    """The rows, their versions and the edit ids seen.

    :param check: called with every row that a proposal would leave; returns the faults.
    """

    def __init__(self, check: Check) -> None:
        self.version = 0
        self.rows: dict[RowKey, VersionedRow] = {}
        self._check = check
        self._accepted: collections.OrderedDict[str, Change] = collections.OrderedDict()

    def prepare(self, proposal: Proposal) -> expression.Result[Prepared, Refusal]:
        """Check a proposal without changing anything.

        :param proposal: the edit.
        :returns: the change to make durable and apply, or why it is refused.
        """
        known = self._accepted.get(proposal.edit_id)
        if known is not None:
            return self._prepare_resend(known, proposal)
        conflicts = self._get_conflicts(proposal)
        if conflicts:
            return expression.Error(Refusal(RefusalKind.CONFLICT, conflicts=conflicts))
        faults = self._check(self._get_values_after(proposal))
        if faults:
            return expression.Error(Refusal(RefusalKind.INVALID, faults=faults))
        return expression.Ok(Prepared(Change(self.version + 1, proposal), is_resend=False))

    def apply(self, change: Change) -> None:
        """Make a durable change part of the table.

        :param change: the next change.
        :raises ValueError: if it is not the next one.
        """
        if change.version != self.version + 1:
            raise ValueError(f"change {change.version} does not follow {self.version}")
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
    def _prepare_resend(known: Change, proposal: Proposal) -> expression.Result[Prepared, Refusal]:
        # A command that is given again reads the rows anew, so the versions it expects may have
        # moved on; what it wants the rows to be is what makes it the same edit.
        sent = [(edit.key, edit.value) for edit in proposal.edits]
        accepted = [(edit.key, edit.value) for edit in known.proposal.edits]
        if sent != accepted:
            return expression.Error(Refusal(RefusalKind.EDIT_ID_REUSED))
        return expression.Ok(Prepared(known, is_resend=True))

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
