"""The story of one request, gathered from log lines; no I/O."""

import datetime
import json
from collections.abc import Iterable

CONTEXT_BEFORE_S = 3.0
CONTEXT_AFTER_S = 0.5
"""What a process believed from three seconds before a request to half a second after it: an
instance leaves within two seconds of its notice."""
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
        "settings read again",
        "table comes from a keeper",
        "table in force",
    }
)
LASTING_STATE_TEXT = "evacuated halls are known"
"""What a process wrote of this last holds for any time after."""
_INSTANCE_FIELDS = ("upstream", "holder", "source", "target")
_COMMON = frozenset({"time", "level", "logger", "text"})


class Line:
    """One log line.

    :ivar process: who wrote it, as far as its file or what stands before it tells.
    :ivar time_s: when, in seconds since the epoch by that process's clock.
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
    """What is known of a request.

    :ivar own: lines of the request, in order of time.
    :ivar beliefs: lines of the same processes about what decided it, in order of time.
    """

    __slots__ = ("beliefs", "own")

    def __init__(self, own: list[Line], beliefs: list[Line]) -> None:
        self.own = own
        self.beliefs = beliefs

    @property
    def has_end(self) -> bool:
        """Whether a line tells how the request ended."""
        return any(line.text in END_TEXTS for line in self.own)


def read_line(process: str, text: str) -> Line | None:
    """Read a line; None where it is none of ours.

    :param process: who wrote it, unless a collector put a name before the JSON object.
    """
    prefix, brace, rest = text.partition("{")
    try:
        fields = json.loads(brace + rest)
        time_s = datetime.datetime.fromisoformat(fields["time"]).timestamp()
        message = str(fields["text"])
    except (ValueError, KeyError, TypeError):
        return None
    words = prefix.split()
    kept = {name: value for name, value in fields.items() if name not in _COMMON}
    return Line(words[-1] if words else process, time_s, message, kept)


def build_trace(lines: Iterable[Line], request_id: str) -> RequestTrace:
    """Gather a request's story.

    :param lines: lines of all processes, in any order.
    """
    known = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in known if line.fields.get("request") == request_id]
    if not own:
        return RequestTrace([], [])
    processes = {line.process for line in own}
    involved = {
        str(line.fields[name]) for line in own for name in _INSTANCE_FIELDS if name in line.fields
    }
    from_s = own[0].time_s - CONTEXT_BEFORE_S
    to_s = own[-1].time_s + CONTEXT_AFTER_S
    standing = {
        line.process: line
        for line in known
        if line.text == LASTING_STATE_TEXT and line.process in processes and line.time_s < from_s
    }
    beliefs = list(standing.values())
    beliefs += [
        line
        for line in known
        if line.process in processes
        and from_s <= line.time_s <= to_s
        and "request" not in line.fields
        and _is_about(line, involved)
    ]
    return RequestTrace(own, beliefs)


def _is_about(line: Line, involved: set[str]) -> bool:
    if line.text in PROCESS_TEXTS or line.text.startswith("entry "):
        return True
    return any(str(line.fields.get(name)) in involved for name in _INSTANCE_FIELDS)
