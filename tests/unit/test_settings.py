"""Validation of settings files and of the table; every fault is reported with its path."""

import json

import pytest

from spoolhead._internal import exceptions
from spoolhead._internal.models import codes, rows, settings
from spoolhead._internal.table import documents

OPERATOR = {"keepers": ["10.0.0.1:7000"], "shared_key": "0123456789abcdef"}


def test_comments_and_trailing_commas_are_read():
    text = (
        '{ // keepers\n "keepers": ["10.0.0.1:7000"], /* key */ "shared_key": "0123456789abcdef",}'
    )
    assert settings.parse_settings(settings.OperatorSettings, text).ok.timeout_ms == 5_000


def test_every_fault_is_told_with_its_path():
    text = json.dumps(
        {
            "name": "e",
            "hall": "h",
            "host": "localhost",
            "port": 70_000,
            "control_host": "127.0.0.1",
            "control_port": "1",
            "keepers": [],
            "shared_key": "short",
            "callers": {"head_bytes": 0, "bodybytes": 1},
        }
    )
    faults = settings.parse_settings(settings.EntrySettings, text).error
    assert {item.path for item in faults} == {
        "host",
        "port",
        "control_port",
        "keepers",
        "shared_key",
        "callers.head_bytes",
        "callers.bodybytes",
    }
    assert {item.code for item in faults} == {codes.ResultCode.SETTINGS_INVALID}


@pytest.mark.parametrize("text", ["", "{", "[1]", '{"a": 1, "a": 2}', "{a: 1, a: 2}"])
def test_unreadable_text_is_a_fault(text):
    assert settings.parse_settings(settings.OperatorSettings, text).is_error()


def test_missing_file_is_a_fault(tmp_path):
    with pytest.raises(exceptions.SettingsError) as caught:
        settings.read_settings(settings.OperatorSettings, str(tmp_path / "none.json"))
    assert caught.value.code is codes.ResultCode.SETTINGS_UNREADABLE


def _make_table():
    return {
        "workspaces": {"w": {"key_sha256": ["0" * 64], "models": ["m"], "services": ["s"]}},
        "services": {"m": {"kind": "model"}, "s": {"kind": "plain", "once_methods": ["POST"]}},
        "upstreams": {"u": {"address": "10.0.0.1:80", "hall": "h", "service": "m"}},
    }


def test_a_right_table_has_no_faults():
    assert len(documents.parse_document(json.dumps(_make_table())).ok) == 4


BAD_TABLES = {
    "workspaces.w.models": lambda table: table["workspaces"]["w"].update(models=["s"]),
    "workspaces.w.services": lambda table: table["workspaces"]["w"].update(services=["none"]),
    "workspaces.w.weight": lambda table: table["workspaces"]["w"].update(weight=True),
    "workspaces.w.priority": lambda table: table["workspaces"]["w"].update(priority=10),
    "workspaces.x.key_sha256": lambda table: table["workspaces"].update(
        x={"key_sha256": ["0" * 64]}
    ),
    "services.m.once_methods": lambda table: table["services"]["m"].update(once_methods=["POST"]),
    "services.v1": lambda table: table["services"].update(v1={"kind": "plain"}),
    "services.a/b": lambda table: table["services"].update({"a/b": {"kind": "plain"}}),
    "services.m.kind": lambda table: table["services"]["m"].update(kind="other"),
    "upstreams.u.address": lambda table: table["upstreams"]["u"].update(address="300.0.0.1:80"),
    "upstreams.u.service": lambda table: table["upstreams"]["u"].update(service="none"),
    "upstreams.u.state": lambda table: table["upstreams"]["u"].update(state="gone"),
    "sheets": lambda table: table.update(sheets={}),
}


@pytest.mark.parametrize("path", BAD_TABLES)
def test_faults_of_a_table_are_told_with_their_paths(path):
    table = _make_table()
    BAD_TABLES[path](table)
    faults = documents.parse_document(json.dumps(table)).error
    assert path in {item.path for item in faults}


def test_every_column_has_a_meaning_when_left_out():
    row = rows.parse_row(rows.Sheet.WORKSPACES, "w", {"key_sha256": []}).ok
    assert (row.weight, row.priority, row.models) == (1.0, 5, [])
