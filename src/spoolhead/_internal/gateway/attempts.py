"""One attempt at an instance, and what its owner is told of it."""

from typing import Protocol

from spoolhead._internal.models import dialects
from spoolhead._internal.network import upstream_calls
from spoolhead._internal.policy import upstream_registry
from spoolhead._internal.utils import clocks


class AttemptUser(Protocol):
    """The exchange that made an attempt."""

    def handle_head(self, attempt: "Attempt", status: int, headers: upstream_calls.Headers) -> None:
        """Take the head of its answer."""

    def handle_body(self, attempt: "Attempt", data: bytes) -> None:
        """Take a part of its answer."""

    def handle_end(self, attempt: "Attempt") -> None:
        """Take the end of its answer."""

    def handle_loss(self, attempt: "Attempt", reason: str) -> None:
        """Take the loss of its connection."""


class Attempt:
    """One attempt; what it is told counts only while it is its owner's present one.

    :ivar upstream: the instance.
    :ivar is_resumed: a run goes on there from a copy.
    :ivar sent_s: when it was sent.
    :ivar call: the call; None until it is made.
    :ivar head: head of the answer; None before it.
    :ivar body: parts of the body that were not passed on.
    :ivar body_bytes: their size.
    :ivar has_ended: the answer ended or its connection was lost.
    """

    __slots__ = (
        "_owner",
        "body",
        "body_bytes",
        "call",
        "has_ended",
        "head",
        "is_resumed",
        "sent_s",
        "upstream",
    )

    def __init__(
        self, owner: AttemptUser, upstream: upstream_registry.Upstream, *, is_resumed: bool = False
    ) -> None:
        self._owner = owner
        self.upstream = upstream
        self.is_resumed = is_resumed
        self.sent_s = clocks.get_s()
        self.call: upstream_calls.UpstreamCall | None = None
        self.head: dialects.AnswerHead | None = None
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.has_ended = False

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        """Pass on the head."""
        self._owner.handle_head(self, status, headers)

    def on_answer_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self._owner.handle_body(self, data)

    def on_answer_end(self) -> None:
        """Pass on the end."""
        self.has_ended = True
        self._owner.handle_end(self)

    def on_call_lost(self, reason: str) -> None:
        """Pass on the loss."""
        self.has_ended = True
        self._owner.handle_loss(self, reason)
