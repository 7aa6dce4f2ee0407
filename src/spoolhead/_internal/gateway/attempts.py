"""One attempt to have an instance answer a request."""

from typing import Protocol

from spoolhead._internal.gateway import copy_order
from spoolhead._internal.models import dialects
from spoolhead._internal.network import upstream_calls
from spoolhead._internal.policy import answer_buffers, answer_end, upstream_registry
from spoolhead._internal.utils import clocks


class AttemptOwner(Protocol):
    """The exchange that owns an attempt and handles its events."""

    def handle_head(self, attempt: "Attempt", status: int, headers: upstream_calls.Headers) -> None:
        """Handle the head of the answer."""

    def handle_body(self, attempt: "Attempt", data: bytes) -> None:
        """Handle a part of the answer's body."""

    def record_ending(self, attempt: "Attempt") -> None:
        """Record how the answer ended, before the end or the loss is handled."""

    def handle_end(self, attempt: "Attempt") -> None:
        """Handle the end of the answer."""

    def handle_loss(self, attempt: "Attempt", reason: str) -> None:
        """Handle the loss of the connection."""


class Attempt:
    """One attempt. Its owner ignores events of attempts other than the current one.

    :ivar upstream: the instance.
    :ivar is_resumed: whether the attempt resumes a run from a copy of its memory.
    :ivar sent_s: monotonic time at which the attempt was created.
    :ivar begun_s: monotonic time at which the answer began: the first event of a stream, or the
        head of another answer; None before.
    :ivar is_established: whether the answer has gone on for some time.
    :ivar call: the HTTP call; None until it is made.
    :ivar head: head of the answer; None until it arrives.
    :ivar body: buffered part of the body that was not forwarded to the caller.
    :ivar outcome: whether the answer is complete; None before that is decided.
    :ivar has_ended: whether the answer is complete or the connection was lost.
    :ivar stop_orders: orders that may stop the run.
    :ivar may_have_been_stopped: whether one of them may have arrived before the answer ended,
        whatever it was answered; False before the end.
    """

    __slots__ = (
        "_owner",
        "begun_s",
        "body",
        "call",
        "has_ended",
        "head",
        "is_established",
        "is_resumed",
        "may_have_been_stopped",
        "outcome",
        "sent_s",
        "stop_orders",
        "upstream",
    )

    def __init__(
        self, owner: AttemptOwner, upstream: upstream_registry.Upstream, *, is_resumed: bool = False
    ) -> None:
        self._owner = owner
        self.upstream = upstream
        self.is_resumed = is_resumed
        self.sent_s = clocks.get_s()
        self.begun_s: float | None = None
        self.is_established = False
        self.call: upstream_calls.UpstreamCall | None = None
        self.head: dialects.AnswerHead | None = None
        self.body = answer_buffers.AnswerBuffer(self._pause_reading, self._resume_reading)
        self.outcome: answer_end.Outcome | None = None
        self.has_ended = False
        self.stop_orders: list[copy_order.CopyOrder] = []
        self.may_have_been_stopped = False

    def _pause_reading(self) -> None:
        if self.call is not None:
            self.call.pause_reading()

    def _resume_reading(self) -> None:
        if self.call is not None:
            self.call.resume_reading()

    @property
    def framing_text(self) -> str:
        """Framing of the answer for logs and metrics; empty before its head was received."""
        framing = self.call.framing if self.call is not None else None
        return framing.value if framing is not None else ""

    @property
    def ending_text(self) -> str:
        """How the answer ended, for logs and metrics; empty before its end."""
        ending = self.call.ending if self.call is not None else None
        return ending.value if ending is not None else ""

    def get_log_fields(self) -> dict[str, object]:
        """Return the log fields about the end of the answer."""
        return {
            "framing": self.framing_text,
            "ending": self.ending_text,
            "outcome": self.outcome.value if self.outcome is not None else "",
            "stop_orders": self._count_stop_orders(),
        }

    def record_running(self, since_s: float) -> None:
        """Discard the orders that were answered before a time at which the run went on.

        An order without an answer may still be carried out.

        :param since_s: monotonic time.
        """
        self.stop_orders = [
            order
            for order in self.stop_orders
            if order.answered_s is None or order.answered_s > since_s
        ]

    def _count_stop_orders(self) -> int:
        """Return the number of orders to stop the run that may have arrived."""
        return sum(order.may_have_arrived for order in self.stop_orders)

    def _record_end(self) -> None:
        self.has_ended = True
        self.may_have_been_stopped = self._count_stop_orders() > 0

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        """Forward the head to the owner."""
        self._owner.handle_head(self, status, headers)

    def on_answer_body(self, data: bytes) -> None:
        """Forward a part of the body to the owner."""
        self._owner.handle_body(self, data)

    def on_answer_end(self) -> None:
        """Forward the end of the answer to the owner."""
        self._record_end()
        self._owner.record_ending(self)
        self._owner.handle_end(self)

    def on_call_lost(self, reason: str) -> None:
        """Forward the loss of the connection to the owner."""
        self._record_end()
        if self.head is not None:
            self.outcome = answer_end.Outcome.BROKEN_OFF
        self._owner.record_ending(self)
        self._owner.handle_loss(self, reason)
