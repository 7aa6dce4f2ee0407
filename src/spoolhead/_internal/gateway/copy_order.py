"""One order to copy a run's memory, and its answer."""

from typing import Protocol

from spoolhead._internal.models import dialects
from spoolhead._internal.network import upstream_calls
from spoolhead._internal.utils import clocks


class OrderOwner(Protocol):
    """The copy that an order belongs to."""

    def on_order_answered(self, order: "CopyOrder", answer: dialects.CopyAnswer) -> None:
        """Called with the complete answer to an order."""

    def on_order_lost(self, order: "CopyOrder", reason: str) -> None:
        """Called when an order got no answer.

        :param reason: how its connection ended.
        """


class CopyOrder:
    """One order.

    :param owner: the copy.
    :param dialect: adapter for the wire format of instances.
    :param stops_run: whether the run must end at the source first.
    :ivar call: the HTTP call; None until it is made.
    :ivar answered_s: monotonic time of the complete answer; None without one.
    """

    __slots__ = ("_body", "_dialect", "_owner", "_status", "answered_s", "call", "stops_run")

    def __init__(
        self, owner: OrderOwner, dialect: dialects.EntryDialect, *, stops_run: bool
    ) -> None:
        self._owner = owner
        self._dialect = dialect
        self._status = 0
        self._body: list[bytes] = []
        self.stops_run = stops_run
        self.call: upstream_calls.UpstreamCall | None = None
        self.answered_s: float | None = None

    @property
    def may_have_arrived(self) -> bool:
        """Whether any byte of the order was written to the socket."""
        return self.call is not None and self.call.may_have_arrived

    @property
    def is_pending(self) -> bool:
        """Whether the order waits for its answer."""
        return self.call is not None and not self.call.is_over

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        """Record the status of the answer."""
        del headers
        self._status = status

    def on_answer_body(self, data: bytes) -> None:
        """Buffer a part of the answer."""
        self._body.append(data)

    def on_answer_end(self) -> None:
        """Decode the complete answer and notify the owner."""
        self.answered_s = clocks.get_s()
        answer = self._dialect.read_copy_answer(self._status, b"".join(self._body))
        self._owner.on_order_answered(self, answer)

    def on_call_lost(self, reason: str) -> None:
        """Notify the owner of the loss of the connection."""
        self._owner.on_order_lost(self, reason)
