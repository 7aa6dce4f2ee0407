"""docs/RESULT_CODES.md is up to date with the list of result codes."""

import pathlib

import write_result_codes
from spoolhead._internal.models import codes

DOCS = pathlib.Path(__file__).parents[2] / "docs"


def test_every_code_has_facts():
    assert set(codes.CODE_INFO) == set(codes.ResultCode)


def test_the_documented_table_is_the_one_in_the_code():
    text = (DOCS / "RESULT_CODES.md").read_text(encoding="utf-8")
    assert text == write_result_codes.make_page()
