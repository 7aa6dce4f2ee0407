"""Log lines are JSON objects, limited in rate, and written without blocking on the reader."""

import errno
import json
import logging
import os

import pytest

from spoolhead._internal.utils import logs


class _Pipe:
    """A pipe whose write end replaces standard output."""

    def __init__(self):
        self.read_end, self.write_end = os.pipe()
        os.set_blocking(self.read_end, False)

    def fileno(self):
        return self.write_end

    def read_lines(self):
        data = b""
        while True:
            try:
                part = os.read(self.read_end, 65_536)
            except BlockingIOError:
                break
            data += part
        return [json.loads(line) for line in data.decode().splitlines()]


@pytest.fixture
def pipe():
    pipe = _Pipe()
    yield pipe
    os.close(pipe.read_end)
    os.close(pipe.write_end)


def _make_handler(pipe):
    handler = logs.BoundedHandler(pipe)
    handler.setFormatter(logs.JsonFormatter())
    return handler


def _make_record(text, level=logging.INFO, **fields):
    record = logging.LogRecord("test", level, "", 0, text, (), None)
    record.fields = fields
    return record


def test_a_line_is_one_json_object_with_its_fields(pipe):
    handler = _make_handler(pipe)
    handler.emit(_make_record("attempt", request="a", age_ms=3))
    (line,) = pipe.read_lines()
    assert (line["text"], line["request"], line["age_ms"]) == ("attempt", "a", 3)


def test_a_reader_that_does_not_read_stops_nothing_and_the_loss_is_told(pipe):
    handler = _make_handler(pipe)
    for number in range(logs.MAX_BURST_LINES):
        handler.emit(_make_record("x" * 200, number=number))
    written = pipe.read_lines()
    assert 0 < len(written) < logs.MAX_BURST_LINES
    handler.emit(_make_record("late", level=logging.ERROR))
    dropped, last = pipe.read_lines()
    assert dropped["text"] == "log lines dropped"
    assert dropped["count"] == logs.MAX_BURST_LINES - len(written)
    assert last["text"] == "late"


def test_lines_beyond_the_rate_are_dropped_but_errors_are_not(pipe, monkeypatch):
    monkeypatch.setattr(logs, "MAX_BURST_LINES", 2)
    monkeypatch.setattr(logs, "MAX_LINES_PER_S", 0)
    handler = _make_handler(pipe)
    for number in range(5):
        handler.emit(_make_record("info", number=number))
    handler.emit(_make_record("error", level=logging.ERROR))
    texts = [line["text"] for line in pipe.read_lines()]
    assert texts == ["info", "info", "log lines dropped", "error"]


def test_a_long_line_is_written_whole(pipe):
    handler = _make_handler(pipe)
    handler.emit(_make_record("y" * 20_000))
    (line,) = pipe.read_lines()
    assert len(line["text"]) == 20_000


def test_a_log_that_cannot_be_written_stops_nothing(pipe, monkeypatch):
    handler = _make_handler(pipe)

    def _refuse(descriptor, data):
        raise OSError(errno.EFBIG, "file too large")

    with monkeypatch.context() as patch:
        patch.setattr(os, "write", _refuse)
        handler.emit(_make_record("lost"))
    handler.emit(_make_record("written"))
    dropped, line = pipe.read_lines()
    assert (dropped["count"], line["text"]) == (1, "written")
