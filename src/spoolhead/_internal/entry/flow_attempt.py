"""One attempt of a flow at one upstream."""

from typing import Protocol

from spoolhead._internal.network import upstream_calls
from spoolhead._internal.policy import replicas


class AttemptOwner(Protocol):
    """The flow that made an attempt."""

    def handle_head(self, attempt: "Attempt", status: int, headers: upstream_calls.Headers) -> None:
        """Take the head of its answer."""

    def handle_body(self, attempt: "Attempt", data: bytes) -> None:
        """Take a part of its answer."""

    def handle_end(self, attempt: "Attempt") -> None:
        """Take the end of its answer."""

    def handle_loss(self, attempt: "Attempt", reason: str) -> None:
        """Take the loss of its connection."""


class Attempt:
    """One call to one upstream; its answer counts only while it is the flow's present one.

    :ivar flow: the flow that made it.
    :ivar replica: the upstream.
    :ivar generation: id of the generation there.
    :ivar incarnation_id: which run of the upstream it went to.
    :ivar sent_s: when it was sent.
    :ivar call: the call; None until it is made.
    :ivar status: status of its answer; 0 before it.
    :ivar headers: headers of its answer.
    """

    __slots__ = (
        "call",
        "flow",
        "generation",
        "headers",
        "incarnation_id",
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
        self.flow = flow
        self.replica = replica
        self.generation = generation
        self.call: upstream_calls.UpstreamCall | None = None
        self.status = 0
        self.headers: upstream_calls.Headers = ()

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        """Pass on the head."""
        self.flow.handle_head(self, status, headers)

    def on_answer_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self.flow.handle_body(self, data)

    def on_answer_end(self) -> None:
        """Pass on the end."""
        self.flow.handle_end(self)

    def on_call_lost(self, reason: str) -> None:
        """Pass on the loss."""
        self.flow.handle_loss(self, reason)
