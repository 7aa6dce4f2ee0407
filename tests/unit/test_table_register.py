"""The replicated table is the one with the highest version, whatever the order of arrival."""

import hypothesis
from hypothesis import strategies

from spoolhead._internal.quorum import table_register

TABLES = strategies.lists(
    strategies.tuples(strategies.integers(1, 20), strategies.binary(max_size=4)), max_size=12
)


@hypothesis.given(TABLES)
def test_the_highest_version_holds_and_the_first_of_its_number(tables):
    register = table_register.TableRegister()
    expected = (0, b"")
    for version, document in tables:
        register.apply(table_register.pack_change(version, document))
        if version > expected[0]:
            expected = (version, document)
        assert (register.version, register.document) == expected


@hypothesis.given(TABLES)
def test_a_snapshot_stands_for_all_that_went_before(tables):
    register = table_register.TableRegister()
    for version, document in tables:
        register.apply(table_register.pack_change(version, document))
    copy = table_register.TableRegister()
    copy.load(register.dump())
    assert (copy.version, copy.document) == (register.version, register.document)
