"""KNOWN-RED.txt lists only tests that exist, and at most three."""

import ast

import pytest

from lib import known_red


def _get_tests(path):
    """Return the names of the functions of a module and of its state machines' tests."""
    tree = ast.parse(path.read_text())
    functions = {node.name for node in ast.walk(tree) if isinstance(node, ast.FunctionDef)}
    machines = {
        f"{target.id}::runTest"
        for node in tree.body
        if isinstance(node, ast.Assign) and ast.unparse(node.value).endswith(".TestCase")
        for target in node.targets
        if isinstance(target, ast.Name)
    }
    return functions | machines


def test_each_listed_test_exists():
    for item in known_red.read():
        path, _, name = item.test.partition("::")
        assert name.partition("[")[0] in _get_tests(known_red.PATH.parent / path)


def test_few_are_listed():
    assert len(known_red.read()) <= known_red.MAX_ENTRIES


def test_a_line_without_cause_and_issue_is_an_error():
    with pytest.raises(ValueError):
        known_red.KnownRed("tests/unit/test_x.py::test_y | cause only")
