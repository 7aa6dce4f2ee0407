"""Collects the log lines that explain one request. Performs no I/O."""

import datetime
import json
from collections.abc import Iterable

CONTEXT_BEFORE_S = 3.0
CONTEXT_AFTER_S = 0.5
"""Lines about the state of a process are collected from three seconds before a request to half a
second after it: an instance leaves within two seconds of its notice."""
END_TEXTS = frozenset({"answered", "refused", "failed", "caller left"})
PROCESS_TEXTS = frozenset(
    {
        "entry is ready",
        "hall is heard again",
        "hall is silent",
        "entry stops",
        "entry ends",
        "evacuated halls are known",
        "instance list is not readable",
        "instance list is read directly",
        "keeper is lost",
        "keeper is reachable",
        "keeper tells its version",
        "log lines dropped",
        "process stood still",
        "service is out of reach",
        "service is within reach again",
        "settings read again",
        "table comes from a keeper",
        "table in force",
    }
)
LASTING_STATE_TEXT = "evacuated halls are known"
"""Text of a line whose state holds until the process writes the next such line. The latest line
before a request is therefore collected regardless of its age."""
_INSTANCE_FIELDS = ("upstream", "holder", "source", "target")
_COMMON_FIELDS = frozenset({"time", "level", "logger", "text"})


class Line:
    """A parsed log line.

    :ivar process: process that wrote it, from the prefix of the line or the name of its file.
    :ivar time_s: Unix time by that process's clock, in seconds.
    :ivar text: its text.
    :ivar fields: its other fields.
    """

    __slots__ = ("fields", "process", "text", "time_s")

    def __init__(self, process: str, time_s: float, text: str, fields: dict[str, object]) -> None:
        self.process = process
        self.time_s = time_s
        self.text = text
        self.fields = fields


class RequestTrace:
    """Log lines that explain a request.

    :ivar request_lines: lines of the request itself, by time.
    :ivar context_lines: lines of the same processes about the instances, halls and keepers that
        influenced the request: first the lasting state of each process, then other lines by time.
    """

    __slots__ = ("context_lines", "request_lines")

    def __init__(self, request_lines: list[Line], context_lines: list[Line]) -> None:
        self.request_lines = request_lines
        self.context_lines = context_lines

    @property
    def has_end(self) -> bool:
        """Whether one of the lines states how the request ended."""
        return any(line.text in END_TEXTS for line in self.request_lines)


def read_line(process: str, text: str) -> Line | None:
    """Parse a line; None if it is not a log line of this system.

    :param process: process that wrote the line; a name that a log collector has put before the JSON
        object takes precedence.
    """
    prefix, brace, rest = text.partition("{")
    try:
        fields = json.loads(brace + rest)
        time_s = datetime.datetime.fromisoformat(fields["time"]).timestamp()
        message = str(fields["text"])
    except (ValueError, KeyError, TypeError):
        return None
    words = prefix.split()
    others = {name: value for name, value in fields.items() if name not in _COMMON_FIELDS}
    return Line(words[-1] if words else process, time_s, message, others)


def build_trace(lines: Iterable[Line], request_id: str) -> RequestTrace:
    """Collect the lines that explain a request.

    :param lines: lines of all processes, in any order.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    request_lines = [line for line in ordered if line.fields.get("request") == request_id]
    if not request_lines:
        return RequestTrace([], [])
    processes = {line.process for line in request_lines}
    involved = {
        str(line.fields[name])
        for line in request_lines
        for name in _INSTANCE_FIELDS
        if name in line.fields
    }
    from_s = request_lines[0].time_s - CONTEXT_BEFORE_S
    to_s = request_lines[-1].time_s + CONTEXT_AFTER_S
    lasting_state = {
        line.process: line
        for line in ordered
        if line.text == LASTING_STATE_TEXT and line.process in processes and line.time_s < from_s
    }
    context_lines = list(lasting_state.values())
    context_lines += [
        line
        for line in ordered
        if line.process in processes
        and from_s <= line.time_s <= to_s
        and "request" not in line.fields
        and _is_about(line, involved)
    ]
    return RequestTrace(request_lines, context_lines)


def _is_about(line: Line, involved: set[str]) -> bool:
    if line.text in PROCESS_TEXTS or line.text.startswith("entry "):
        return True
    return any(str(line.fields.get(name)) in involved for name in _INSTANCE_FIELDS)
