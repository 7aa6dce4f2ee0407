"""Compares the table with a simple model that keeps every accepted edit in a list."""

import hypothesis
from hypothesis import stateful, strategies

from spoolhead.coordination import following, versioned_table

KEYS = [versioned_table.RowKey("workspaces", name) for name in "abc"]
VALUES = strategies.one_of(
    strategies.none(), strategies.fixed_dictionaries({"w": strategies.integers(0, 5)})
)


def _check(values):
    return [f"{key}: w is 5" for key, value in values.items() if value["w"] == 5]


class TableMachine(stateful.RuleBasedStateMachine):
    """Proposals in any order, with resends, and a follower that misses some changes."""

    def __init__(self):
        super().__init__()
        self.table = versioned_table.VersionedTable(_check)
        self.accepted = {}
        self.changes = []
        self.follower = following.FollowedTable()
        self.follower.take_snapshot("log", 0, {})

    def _get_model_rows(self):
        rows = {}
        for change in self.changes:
            for edit in change.proposal.edits:
                if edit.value is None:
                    rows.pop(edit.key, None)
                else:
                    rows[edit.key] = (change.version, edit.value)
        return rows

    @stateful.rule(
        edit_id=strategies.integers(0, 30),
        key=strategies.sampled_from(KEYS),
        value=VALUES,
        offset=strategies.integers(-1, 1),
    )
    def propose(self, edit_id, key, value, offset):
        expected = self._get_model_rows()
        version = expected.get(key, (0, None))[0]
        edit = versioned_table.RowEdit(key, version + offset, value)
        proposal = versioned_table.Proposal(
            edit_id=str(edit_id), author="x", time_ms=0, edits=[edit]
        )
        before = dict(self.table.rows)
        result = self.table.prepare(proposal)
        assert self.table.rows == before
        if str(edit_id) in self.accepted:
            first = self.accepted[str(edit_id)]
            same = (first.proposal.edits[0].key, first.proposal.edits[0].value) == (key, value)
            assert result.is_ok() == same
            if same:
                assert result.ok.is_resend
                assert result.ok.change.version == first.version
            return
        if offset:
            assert result.error.kind is versioned_table.RefusalKind.CONFLICT
            current = result.error.conflicts[key]
            assert (current.version if current else 0) == version
            return
        if value == {"w": 5}:
            assert result.error.kind is versioned_table.RefusalKind.INVALID
            return
        change = result.ok.change
        assert not result.ok.is_resend
        self.table.apply(versioned_table.Change.unpack(change.pack()))
        self.accepted[str(edit_id)] = change
        self.changes.append(change)

    @stateful.rule(count=strategies.integers(1, 3))
    def follow(self, count):
        for change in self.changes[self.follower.version :][:count]:
            assert self.follower.take_change("log", change).ok is True

    @stateful.rule(data=strategies.data())
    def offer_anything(self, data):
        version = self.follower.version
        if self.changes:
            change = data.draw(strategies.sampled_from(self.changes))
            result = self.follower.take_change("log", change)
            if change.version <= version:
                assert result.ok is False
            elif change.version > version + 1:
                assert result.error is following.FollowFault.GAP
        assert self.follower.version >= version

    @stateful.rule()
    def offer_older_and_foreign_snapshots(self):
        version = self.follower.version
        other = self.follower.take_snapshot("other log", 1_000, {})
        assert other.error is following.FollowFault.OTHER_LOG
        if version:
            older = self.follower.take_snapshot("log", version - 1, {})
            assert older.error is following.FollowFault.OLDER
        assert self.follower.version == version

    @stateful.rule()
    def take_snapshot(self):
        self.follower.take_snapshot("log", self.table.version, self.table.rows)

    @stateful.invariant()
    def equals_the_model(self):
        expected = self._get_model_rows()
        actual = {key: (row.version, row.value) for key, row in self.table.rows.items()}
        assert actual == expected
        assert self.table.version == len(self.changes)

    @stateful.invariant()
    def follower_equals_the_table_at_its_version(self):
        rows = {}
        for change in self.changes[: self.follower.version]:
            for edit in change.proposal.edits:
                if edit.value is None:
                    rows.pop(edit.key, None)
                else:
                    rows[edit.key] = edit.value
        assert {key: row.value for key, row in self.follower.rows.items()} == rows


TestTableMachine = TableMachine.TestCase


@hypothesis.given(strategies.integers(2, 5))
def test_an_edit_of_many_rows_is_all_or_nothing(count):
    table = versioned_table.VersionedTable(_check)
    edits = [
        versioned_table.RowEdit(KEYS[0], 0, {"w": 1}),
        versioned_table.RowEdit(KEYS[1], count, {"w": 1}),
    ]
    proposal = versioned_table.Proposal(edit_id="1", author="x", time_ms=0, edits=edits)
    assert set(table.prepare(proposal).error.conflicts) == {KEYS[1]}
    assert (table.version, table.rows) == (0, {})
