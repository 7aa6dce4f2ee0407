"""One attempt to run a request at one upstream."""

from typing import Protocol

from spoolhead._internal.network import upstream_calls
from spoolhead._internal.policy import replicas


class AttemptOwner(Protocol):
    """The flow that made an attempt and handles its events."""

    def handle_head(self, attempt: "Attempt", status: int, headers: upstream_calls.Headers) -> None:
        """Handle the status and headers of the answer."""

    def handle_body(self, attempt: "Attempt", data: bytes) -> None:
        """Handle a part of the answer's body."""

    def handle_end(self, attempt: "Attempt") -> None:
        """Handle the end of the answer."""

    def handle_loss(self, attempt: "Attempt", reason: str) -> None:
        """Handle the loss of the connection."""


class Attempt:
    """One call to one upstream, whose events are passed on to the flow.

    The flow ignores events of an attempt that is no longer its current one.

    :ivar flow: the flow that made the attempt.
    :ivar replica: the upstream.
    :ivar generation: id of the generation at the upstream.
    :ivar incarnation_id: id of the upstream's incarnation to which the request was sent.
    :ivar sent_s: monotonic time at which the request was sent, in seconds.
    :ivar begun_s: monotonic time at which the answer began, in seconds: the first token of a
        stream, or the head of another answer; None before.
    :ivar is_established: whether the answer has gone on for some time.
    :ivar call: the call; None until it is made.
    :ivar status: HTTP status of the answer; 0 before it arrives.
    :ivar headers: headers of the answer.
    """

    __slots__ = (
        "begun_s",
        "call",
        "flow",
        "generation",
        "headers",
        "incarnation_id",
        "is_established",
        "replica",
        "sent_s",
        "status",
    )

    def __init__(
        self,
        flow: AttemptOwner,
        replica: replicas.Replica,
        generation: str,
        *,
        incarnation_id: str,
        sent_s: float,
    ) -> None:
        self.incarnation_id = incarnation_id
        self.sent_s = sent_s
        self.begun_s: float | None = None
        self.is_established = False
        self.flow = flow
        self.replica = replica
        self.generation = generation
        self.call: upstream_calls.UpstreamCall | None = None
        self.status = 0
        self.headers: upstream_calls.Headers = ()

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        """Pass the status and headers on to the flow."""
        self.flow.handle_head(self, status, headers)

    def on_answer_body(self, data: bytes) -> None:
        """Pass a part of the body on to the flow."""
        self.flow.handle_body(self, data)

    def on_answer_end(self) -> None:
        """Pass the end of the answer on to the flow."""
        self.flow.handle_end(self)

    def on_call_lost(self, reason: str) -> None:
        """Pass the loss of the connection on to the flow."""
        self.flow.handle_loss(self, reason)
