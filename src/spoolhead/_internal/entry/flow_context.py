"""What a flow is given, and what it gives back."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from spoolhead._internal.models import codes
from spoolhead._internal.network import upstream_calls
from spoolhead._internal.policy import placement, policy_set, replicas, retry
from spoolhead._internal.utils import metrics

if TYPE_CHECKING:
    from spoolhead._internal.entry import flow


class FlowResult:
    """How a flow ended.

    :ivar code: result code.
    :ivar ran: whether the request ran.
    :ivar tokens: tokens that were produced for it.
    :ivar is_natural_end: the engine ended the answer by itself, so its length says something.
    :ivar status: HTTP status of a whole answer; 0 where there is none.
    :ivar content_type: its Content-Type.
    :ivar body: its body.
    """

    __slots__ = ("body", "code", "content_type", "is_natural_end", "ran", "status", "tokens")

    def __init__(self, code: codes.ResultCode, ran: codes.Ran, tokens: int) -> None:
        self.code = code
        self.ran = ran
        self.tokens = tokens
        self.is_natural_end = False
        self.status = 0
        self.content_type = ""
        self.body = b""


class FlowCalls(Protocol):
    """What a flow needs of :class:`upstream_calls.UpstreamCalls`."""

    def open(
        self,
        address: str,
        request: bytes,
        user: upstream_calls.CallUser,
        *,
        fresh: bool = False,
        is_head: bool = False,
    ) -> upstream_calls.UpstreamCall:
        """Begin a request."""

    def finish_in_background(self, call: upstream_calls.UpstreamCall) -> None:
        """Let a call end whose answer is no longer needed."""


class FlowContents(Protocol):
    """What a flow needs of :class:`spoolhead._internal.entry.held_contents.HeldContents`."""

    def is_suspect(self, content_id: bytes) -> bool:
        """Tell whether a content was at an upstream that ended, and has not ended well since."""

    def get_incarnation_id(self, upstream: str) -> str:
        """Name the present run of an upstream."""

    def record_lost(
        self, replica: replicas.Replica, incarnation_id: str, content_id: bytes, sent_s: float
    ) -> None:
        """Take note of a request that an upstream took and lost."""

    def record_abandoned(
        self, replica: replicas.Replica, incarnation_id: str, content_id: bytes, sent_s: float
    ) -> None:
        """Take note of a request that an upstream took and this entry has abandoned."""

    def record_unreachable(self, replica: replicas.Replica) -> None:
        """Ask an upstream that refuses connections, if a request was abandoned there just now."""

    def record_harmless(self, content_id: bytes) -> None:
        """Take note of a request that has ended well."""


class FlowHost(Protocol):
    """What a flow asks of the dispatcher that owns it."""

    def choose_upstream(self, flow: "flow.Flow", excluded: frozenset[str]) -> placement.Choice:
        """Choose an upstream for another attempt."""

    def record_attempt(
        self, flow: "flow.Flow", action: str, choice: placement.Choice, code: codes.ResultCode
    ) -> None:
        """Log that another attempt is made because the last one ended with a code."""

    def requeue(self, flow: "flow.Flow", code: codes.ResultCode) -> bool:
        """Put a flow back into the queue, because no upstream has room for another attempt.

        :returns: False if no upstream is left that could make room.
        """

    def charge(self, flow: "flow.Flow", tokens: int) -> None:
        """Charge tokens to the workspace."""

    def handle_flow_end(self, flow: "flow.Flow", result: FlowResult) -> None:
        """The flow is over."""


class FlowContext:
    """What all flows of an entry share.

    :ivar calls: makes requests to upstreams.
    :ivar host: the dispatcher.
    :ivar contents: what is known of requests that may end upstreams.
    :ivar budget: bounds retries.
    :ivar collector: metrics.
    :ivar clock: returns the monotonic time in seconds.
    :ivar shared_key: the fleet's secret.
    :ivar attempts: attempts for one request, the first included.
    :ivar answer_bytes: largest answer held whole.
    :ivar unread_bytes: bytes kept for a caller that reads slowly.
    :ivar policies: what decides.
    """

    __slots__ = (
        "answer_bytes",
        "attempts",
        "budget",
        "calls",
        "clock",
        "contents",
        "collector",
        "host",
        "policies",
        "shared_key",
        "unread_bytes",
    )

    def __init__(
        self,
        *,
        calls: FlowCalls,
        host: FlowHost,
        contents: FlowContents,
        collector: metrics.Metrics,
        clock: Callable[[], float],
        shared_key: str,
        attempts: int,
        answer_bytes: int,
        unread_bytes: int,
        policies: policy_set.PolicySet,
    ) -> None:
        self.calls = calls
        self.host = host
        self.contents = contents
        self.budget = retry.RetryBudget()
        self.collector = collector
        self.clock = clock
        self.shared_key = shared_key
        self.attempts = attempts
        self.answer_bytes = answer_bytes
        self.unread_bytes = unread_bytes
        self.policies = policies
