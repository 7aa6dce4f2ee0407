"""``spoolhead explain --log``: trace of a request, from saved log lines."""

import json
import subprocess
import sys

import pytest

from spoolhead._internal.cli import exit_codes
from spoolhead._internal.commands import explain_logs
from spoolhead._internal.utils import log_trace


def _line(second, text, **fields):
    moment = f"2026-09-03T02:28:{second:06.3f}+00:00"
    return json.dumps({"time": moment, "level": "INFO", "logger": "x", "text": text, **fields})


LINES = (
    _line(9.0, "table in force", version=7),
    _line(1.0, "table in force", version=6),
    _line(10.0, "attempt", request="r1", upstream="i-1", candidates=[["i-1", 0.3]]),
    _line(10.0, "attempt", request="r2", upstream="i-9"),
    _line(10.2, "upstream says that it is not well", upstream="i-1", outcome="status 503"),
    _line(10.2, "upstream says that it is not well", upstream="i-9", outcome="status 503"),
    _line(10.4, "copy ordered", request="r1", source="i-1", target="i-2"),
    _line(11.0, "upstream is gone", upstream="i-2"),
    "not ours {",
    "",
)


@pytest.fixture
def logs(tmp_path):
    path = tmp_path / "entry-1.log"
    path.write_text("\n".join(LINES))
    other = tmp_path / "entry-2.log"
    other.write_text(_line(10.1, "process stood still", lag_ms=900))
    return [str(path), str(other)]


def _trace(lines, request_id):
    read = [log_trace.read_line("entry-1", line) for line in lines]
    return log_trace.build_trace([line for line in read if line is not None], request_id)


def test_the_story_has_the_request_and_what_its_process_believed():
    trace = _trace(reversed(LINES), "r1")
    assert [line.text for line in trace.request_lines] == ["attempt", "copy ordered"]
    assert [line.text for line in trace.context_lines] == [
        "table in force",
        "upstream says that it is not well",
    ]
    assert not trace.has_end


def test_a_collectors_prefix_names_the_process():
    read = log_trace.read_line("", f"  10.000 front-hall-a-1 {LINES[0]}")
    assert read.process == "front-hall-a-1"
    assert read.fields == {"version": 7}


def test_the_command_prints_it_with_ages(logs, capsys):
    assert explain_logs.run("r1", logs, as_json=False) is exit_codes.ExitCode.OK
    printed = capsys.readouterr().out
    assert "+400 ms  entry-1  copy ordered" in printed
    assert "no line tells its end" in printed
    assert "entry-2" not in printed


def test_an_unknown_request_and_an_unreadable_file_are_told(logs, capsys):
    assert explain_logs.run("r7", logs, as_json=True) is exit_codes.ExitCode.NOT_FOUND
    assert explain_logs.run("r1", ["/nowhere/x"], as_json=True) is exit_codes.ExitCode.BAD_INPUT
    assert "6006" in capsys.readouterr().err


def test_it_reads_a_pipe_and_needs_no_settings():
    ran = subprocess.run(
        [sys.executable, "-m", "spoolhead._internal.cli.operator", "explain", "r2", "--log", "-"],
        input="\n".join(LINES),
        capture_output=True,
        text=True,
        check=True,
    )
    assert "upstream=i-9" in ran.stdout


def test_an_evacuation_that_still_holds_is_told_however_old_it_is():
    lines = (
        _line(1.0, "evacuated halls are known", revision=1, halls=["hall-a"]),
        _line(2.0, "evacuated halls are known", revision=2, halls=["hall-a", "hall-b"]),
        _line(30.0, "attempt", request="r1", upstream="", evacuated=4),
        _line(30.0, "refused", request="r1", code=2005),
    )
    trace = _trace(lines, "r1")
    assert [line.fields["revision"] for line in trace.context_lines] == [2]
