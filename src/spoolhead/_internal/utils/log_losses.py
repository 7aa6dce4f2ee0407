"""Counts from log lines how requests ended and why some were lost or late. Performs no I/O."""

import collections
import enum
from collections.abc import Iterable, Sequence

from spoolhead._internal.utils import log_trace

MAX_EXAMPLES = 5
"""Request ids kept for each cause, to be passed to ``spoolhead explain``."""
DEPARTURE_WINDOW_S = 8.0
"""Time after the first notice of an instance's departure within which a loss at that instance is
attributed to it. Longer than any notice period seen."""
ROUTE_FIELD = "route"
FORWARDED_FIELD = "forwarded_by"
"""Field of the lines of an entry that serves the request of another one."""
_DEPARTURE_TEXTS = frozenset(
    {
        "upstream is to be emptied",
        "peer reported upstream unhealthy",
        "upstream says that it is not well",
    }
)


class Cause(enum.Enum):
    """Outcome of a request, with the cause of a loss or delay."""

    IN_TIME = "answered in time"
    LATE_AFTER_WAIT = "late: waited for room at the entry"
    LATE_FIRST = "late: first part came late"
    LATE_MOVED = "late: long pause, the run moved"
    LATE_PAUSE = "late: long pause"
    REFUSED = "refused"
    CUT_NOT_COPIED = "departure: no copy was ordered"
    CUT_COPY_LATE = "departure: copy not ready"
    CUT_COPY_REFUSED = "departure: copy refused"
    CUT_HALL = "hall cut off"
    LOST = "failed otherwise"
    LEFT = "caller left"
    NO_END = "no line tells its end"


class Count:
    """Number of requests of one route with one cause.

    :ivar requests: number of requests.
    :ivar events: stream events that were passed on to their callers.
    :ivar examples: ids of the first requests.
    """

    __slots__ = ("events", "examples", "requests")

    def __init__(self) -> None:
        self.requests = 0
        self.events = 0
        self.examples: list[str] = []

    def add(self, request_id: str, events: int) -> None:
        """Count a request."""
        self.requests += 1
        self.events += events
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(request_id)


class _ObservedState:
    """Times of the first notices of departing instances, and of silent halls by process."""

    def __init__(self) -> None:
        self._departure_noticed_s: dict[str, float] = {}
        self._silence_changes: dict[str, list[tuple[float, bool]]] = {}

    def record_line(self, line: log_trace.Line) -> None:
        if line.text in _DEPARTURE_TEXTS:
            self._departure_noticed_s.setdefault(str(line.fields.get("upstream")), line.time_s)
        elif line.text in ("hall is silent", "hall is heard again"):
            changes = self._silence_changes.setdefault(line.process, [])
            changes.append((line.time_s, line.text == "hall is silent"))

    def may_be_leaving(self, instance_id: str, now_s: float) -> bool:
        noticed_s = self._departure_noticed_s.get(instance_id)
        return noticed_s is not None and 0 <= now_s - noticed_s <= DEPARTURE_WINDOW_S

    def is_any_hall_silent(self, process: str, now_s: float) -> bool:
        is_silent = False
        for time_s, silent in self._silence_changes.get(process, []):
            if time_s <= now_s:
                is_silent = silent
        return is_silent


def count(lines: Iterable[log_trace.Line]) -> dict[tuple[str, Cause], Count]:
    """Count requests by route and cause.

    :param lines: lines of all entries, in any order.
    """
    observed = _ObservedState()
    requests: dict[str, list[log_trace.Line]] = collections.defaultdict(list)
    for line in sorted(lines, key=lambda item: item.time_s):
        observed.record_line(line)
        request_id = line.fields.get("request")
        if request_id:
            requests[str(request_id)].append(line)
    counts: dict[tuple[str, Cause], Count] = collections.defaultdict(Count)
    for request_id, request_lines in requests.items():
        route = next(
            (str(x.fields[ROUTE_FIELD]) for x in request_lines if ROUTE_FIELD in x.fields), ""
        )
        counts[route, _get_cause(request_lines, observed)].add(
            request_id, _get_event_count(request_lines)
        )
    return dict(counts)


def _get_cause(request_lines: Sequence[log_trace.Line], observed: _ObservedState) -> Cause:
    ends = [line for line in request_lines if line.text in log_trace.END_TEXTS]
    if not ends:
        return Cause.NO_END
    # What counts is how the request ended for its caller, not at an entry that it was forwarded to.
    end = next((line for line in ends if FORWARDED_FIELD not in line.fields), ends[0])
    if end.text == "answered":
        served = [line for line in ends if line.text == "answered" and line is not end]
        return _get_answer_cause(request_lines, served[-1] if served else end)
    if observed.is_any_hall_silent(end.process, end.time_s):
        return Cause.CUT_HALL
    if end.text == "refused":
        return Cause.REFUSED
    if end.text == "caller left":
        return Cause.LEFT
    return _get_failure_cause(request_lines, end, observed)


def _get_answer_cause(request_lines: Sequence[log_trace.Line], end: log_trace.Line) -> Cause:
    texts = {line.text for line in request_lines}
    if end.fields.get("is_late"):
        return Cause.LATE_AFTER_WAIT if "waits for room" in texts else Cause.LATE_FIRST
    if end.fields.get("has_long_pause"):
        return Cause.LATE_MOVED if "run goes on elsewhere" in texts else Cause.LATE_PAUSE
    return Cause.IN_TIME


def _get_failure_cause(
    request_lines: Sequence[log_trace.Line], end: log_trace.Line, observed: _ObservedState
) -> Cause:
    attempts = [line for line in request_lines if line.text in ("attempt", "run goes on elsewhere")]
    if not attempts:
        return Cause.LOST
    last = attempts[-1]
    if not observed.may_be_leaving(str(last.fields.get("upstream")), end.time_s):
        return Cause.LOST
    later_texts = {line.text for line in request_lines if line.time_s >= last.time_s}
    if "copy failed" in later_texts:
        return Cause.CUT_COPY_REFUSED
    return Cause.CUT_COPY_LATE if "copy ordered" in later_texts else Cause.CUT_NOT_COPIED


def _get_event_count(request_lines: Sequence[log_trace.Line]) -> int:
    events = [line.fields["events"] for line in request_lines if "events" in line.fields]
    return max((item for item in events if isinstance(item, int)), default=0)
