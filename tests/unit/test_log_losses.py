"""``spoolhead losses``: outcomes of requests, from saved log lines."""

import json

from spoolhead._internal.cli import exit_codes
from spoolhead._internal.commands import losses
from spoolhead._internal.utils import log_losses, log_trace

CAUSE = log_losses.Cause


def _line(second, text, process="entry-1", **fields):
    moment = f"2026-09-03T02:28:{second:06.3f}+00:00"
    value = {"time": moment, "level": "INFO", "logger": "x", "text": text, **fields}
    return f"{process} {json.dumps(value)}"


def _get_cause(*lines):
    read = [log_trace.read_line("", line) for line in lines]
    counts = log_losses.count(read)
    assert len(counts) == 1
    ((route, cause),) = counts
    assert route == "r-1"
    return cause


def _make_attempt(upstream="i-1", second=1.0):
    return _line(second, "attempt", request="r1", route="r-1", upstream=upstream)


NOTICE = _line(5.0, "peer reported upstream unhealthy", process="entry-2", upstream="i-1")
ORDER = _line(5.1, "copy ordered", request="r1", source="i-1", target="i-2", events=9)
END = _line(6.5, "failed", request="r1", route="r-1", status=0)


def test_answers_are_told_apart_by_their_lateness():
    answer = {"request": "r1", "route": "r-1"}
    assert _get_cause(_make_attempt(), _line(2.0, "answered", **answer)) is CAUSE.IN_TIME
    late = _line(4.0, "answered", **answer, is_late=True)
    assert _get_cause(_make_attempt(), late) is CAUSE.LATE_FIRST
    waited = _line(1.0, "waits for room", **answer)
    assert _get_cause(waited, _make_attempt(second=2.0), late) is CAUSE.LATE_AFTER_WAIT
    paused = _line(4.0, "answered", **answer, is_late=False, has_long_pause=True)
    assert _get_cause(_make_attempt(), paused) is CAUSE.LATE_PAUSE
    moved = _line(3.0, "run goes on elsewhere", **answer, upstream="i-2")
    assert _get_cause(_make_attempt(), moved, paused) is CAUSE.LATE_MOVED


def test_what_counts_of_a_forwarded_request_is_how_it_ended_for_its_caller():
    request = {"request": "r1", "route": "r-1"}
    there = {**request, "process": "entry-2", "forwarded_by": "entry-1"}
    refused = _line(2.0, "refused", **there)
    answered = _line(3.0, "answered", **request, peer="entry-3")
    assert _get_cause(refused, answered) is CAUSE.IN_TIME
    late = _line(2.9, "answered", **{**there, "process": "entry-3"}, is_late=True)
    assert _get_cause(refused, late, answered) is CAUSE.LATE_FIRST
    assert _get_cause(refused, _line(3.0, "refused", **request)) is CAUSE.REFUSED


def test_losses_at_a_departure_are_told_apart_by_their_copy():
    failed = _line(6.4, "copy failed", request="r1", source="i-1", target="i-2", status=0)
    assert _get_cause(_make_attempt(), NOTICE, END) is CAUSE.CUT_NOT_COPIED
    assert _get_cause(_make_attempt(), NOTICE, ORDER, END) is CAUSE.CUT_COPY_LATE
    assert _get_cause(_make_attempt(), NOTICE, ORDER, failed, END) is CAUSE.CUT_COPY_REFUSED


def test_a_copy_used_before_does_not_count_at_the_next_departure():
    moved = _line(3.0, "run goes on elsewhere", request="r1", route="r-1", upstream="i-1")
    early = _line(2.0, "copy ordered", request="r1", source="i-9", target="i-1", events=3)
    assert _get_cause(_make_attempt("i-9"), early, moved, NOTICE, END) is CAUSE.CUT_NOT_COPIED


def test_a_loss_without_a_notice_is_no_departure():
    assert _get_cause(_make_attempt(), END) is CAUSE.LOST
    long_ago = _line(20.0, "failed", request="r1", route="r-1", status=0)
    assert _get_cause(_make_attempt(), NOTICE, long_ago) is CAUSE.LOST


def test_a_loss_while_the_process_hears_nothing_of_a_hall_is_the_cuts():
    silent = _line(4.0, "hall is silent", hall="hall-b")
    heard = _line(6.0, "hall is heard again", hall="hall-b")
    left = _line(5.5, "caller left", request="r1", route="r-1")
    assert _get_cause(_make_attempt(), silent, left) is CAUSE.CUT_HALL
    assert _get_cause(_make_attempt(), silent, heard, END) is CAUSE.LOST
    other = _line(4.0, "hall is silent", process="entry-2", hall="hall-b")
    assert _get_cause(_make_attempt(), other, left) is CAUSE.LEFT


def test_a_request_without_an_end_is_counted():
    assert _get_cause(_make_attempt()) is CAUSE.NO_END


def test_the_command_prints_counts_and_ids(tmp_path, capsys):
    path = tmp_path / "day.log"
    path.write_text("\n".join([_make_attempt(), NOTICE, ORDER, END, "not ours"]))
    assert losses.run([str(path)], as_json=False) is exit_codes.ExitCode.OK
    printed = capsys.readouterr().out
    assert "r-1: 1 requests" in printed
    assert CAUSE.CUT_COPY_LATE.value in printed
    assert "9 events passed on; r1" in printed
    assert losses.run([str(path)], as_json=True) is exit_codes.ExitCode.OK
    assert json.loads(capsys.readouterr().out)[0]["examples"] == ["r1"]
    assert losses.run([str(tmp_path / "none")], as_json=False) is exit_codes.ExitCode.BAD_INPUT
