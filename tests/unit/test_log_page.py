"""docs/LOGS.md lists every line that the programs on the platform can write."""

import ast

import pytest

from lib import log_page

FOLDERS = ("gateway", "quorum", "discovery")
MODULES = ("utils/settings_watch.py", "network/scheduler.py", "network/peer_client.py")
QUIET = {"debug", "isEnabledFor"}


def _get_files():
    root = log_page.ROOT / "src" / "spoolhead" / "_internal"
    for folder in FOLDERS:
        yield from sorted((root / folder).rglob("*.py"))
    for module in MODULES:
        yield root / module


def _get_texts(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        of_logger = isinstance(node.func.value, ast.Name) and node.func.value.id == "logger"
        if of_logger and node.func.attr not in QUIET and isinstance(node.args[0], ast.Constant):
            yield node.args[0].value


@pytest.mark.parametrize("path", list(_get_files()), ids=lambda path: path.stem)
def test_each_text_in_the_source_is_on_the_page(path):
    lines = log_page.read()
    assert [text for text in _get_texts(path) if text not in lines] == []
