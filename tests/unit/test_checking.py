"""Compares the incremental table check with a check of the whole table."""

import hypothesis
from hypothesis import strategies

from spoolhead._internal.table import checking
from spoolhead.coordination import versioned_table


def _key(sheet, name):
    return versioned_table.RowKey(sheet, name)


ROWS = {
    "services": strategies.sampled_from([None, {"kind": "model"}, {"kind": "plain"}]),
    "workspaces": strategies.sampled_from(
        [
            None,
            {"key_sha256": ["1" * 64], "models": ["a"]},
            {"key_sha256": ["2" * 64], "services": ["b"]},
            {"key_sha256": [], "models": ["a", "b"]},
        ]
    ),
    "upstreams": strategies.sampled_from(
        [None, {"address": "1.2.3.4:5", "hall": "h", "service": "a"}, {"address": "x"}]
    ),
}
EDITS = strategies.lists(
    strategies.sampled_from(sorted(ROWS)).flatmap(
        lambda sheet: strategies.tuples(
            strategies.just(sheet), strategies.sampled_from("ab"), ROWS[sheet]
        )
    ),
    max_size=25,
)


@hypothesis.given(EDITS)
@hypothesis.settings(max_examples=300)
def test_it_finds_what_a_check_of_everything_finds(edits):
    incremental = checking.TableChecker()
    table = {}
    for sheet, name, value in edits:
        proposed = dict(table)
        proposed.pop(_key(sheet, name), None)
        if value is not None:
            proposed[_key(sheet, name)] = dict(value)
        found = incremental(proposed)
        expected = checking.TableChecker()(proposed)
        assert sorted(map(str, found)) == sorted(map(str, expected))
        if not found:
            table = proposed
