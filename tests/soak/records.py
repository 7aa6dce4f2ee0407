"""What callers and operators saw, with monotonic times."""

import dataclasses

DEADLY = "deadly"
"""How the ids of requests begin that end what runs them."""


@dataclasses.dataclass(slots=True, kw_only=True)
class SentRequest:
    """One request of a caller.

    :ivar request_id: its id.
    :ivar kind: ``once``, ``safe``, ``talk`` or ``version``.
    :ivar entry: entry it was sent to.
    :ivar sent_s: when.
    :ivar ended_s: when its answer or its connection ended.
    :ivar status: status of the answer; 0 for none.
    :ivar body: what came of the answer.
    :ivar is_whole: the answer came to its end.
    :ivar events: events that a whole stream has.
    :ivar version: table version whose own route was asked for.
    """

    request_id: str
    kind: str
    entry: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    events: int = 0
    version: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Acknowledged:
    """A table version that a keeper acknowledged."""

    version: int
    at_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Read:
    """A table version that a keeper told."""

    keeper: str
    version: int
    sent_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Disturbance:
    """Trouble of a process or an upstream.

    :ivar target: whose.
    :ivar kind: which.
    :ivar began_s: when it began.
    :ivar ended_s: when it was over; infinite while it lasts.
    """

    target: str
    kind: str
    began_s: float
    ended_s: float = float("inf")


@dataclasses.dataclass(slots=True, kw_only=True)
class Evacuation:
    """A time for which a hall was to get nothing.

    :ivar acknowledged_s: when the order was acknowledged.
    :ivar withdrawn_s: when it was first taken back; infinite while it lasts.
    """

    acknowledged_s: float
    withdrawn_s: float = float("inf")


class Records:
    """All of one run.

    :ivar words: what instances said of themselves, as disturbances that harm nobody.
    :ivar arrivals: requests that reached instances, run or not.
    """

    def __init__(self):
        self.asked = []
        self.acknowledged = []
        self.reads = []
        self.disturbances = []
        self.evacuations = []
        self.runs = []
        self.ends = []
        self.words = []
        self.arrivals = []
        self.problems = []

    def was_disturbed(self, target, from_s, to_s):
        """Tell whether a process or an upstream was in trouble in a span of time."""
        return any(
            item.target == target and item.began_s <= to_s and item.ended_s >= from_s
            for item in self.disturbances
        )

    def was_planned_only(self, target, from_s, to_s):
        """Tell whether a process had nothing but planned stops in a span of time."""
        return all(
            item.kind in ("stop", "reload")
            for item in self.disturbances
            if item.target == target and item.began_s <= to_s and item.ended_s >= from_s
        )
