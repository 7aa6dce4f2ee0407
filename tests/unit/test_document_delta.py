"""Applying a delta returns the new document or raises an error; never a third document."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from lib import platform_fleet
from spoolhead._internal.utils import document_delta

DOCUMENTS = strategies.lists(
    strategies.sampled_from((b"a", b"b},", b"},", b"", b"cc}")), max_size=12
)


@hypothesis.given(DOCUMENTS.map(b"".join), DOCUMENTS.map(b"".join))
def test_a_delta_gives_the_newer_document(old, new):
    assert document_delta.apply(old, document_delta.make(old, new)) == new


@hypothesis.given(DOCUMENTS.map(b"".join), DOCUMENTS.map(b"".join), DOCUMENTS.map(b"".join))
def test_a_delta_from_another_document_is_an_error_or_the_same(old, other, new):
    delta = document_delta.make(old, new)
    try:
        assert document_delta.apply(other, delta) == new
    except ValueError:
        assert other != old


@pytest.mark.parametrize(
    "delta", [b"", b"\xc1", b"\x90", b"\x92\x01\x91\x93\x01\x02\x03"], ids=repr
)
def test_damaged_deltas_are_errors(delta):
    with pytest.raises(ValueError):
        document_delta.apply(b"a},b", delta)


def test_one_route_among_thousands_takes_little():
    table = platform_fleet.make_table(3)
    route = table["routes"][1]
    for number in range(2_000):
        table["routes"].append({**route, "name": f"r{number}", "path_prefix": f"/p{number}/"})
    old = json.dumps(table).encode()
    table["version"] = 4
    table["routes"][700]["timeout_ms"] = 77
    new = json.dumps(table).encode()
    assert len(document_delta.make(old, new)) < len(new) / 100
