"""Interfaces and limits that flows are given, and the result that a flow returns."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from spoolhead._internal.models import codes, request_keys, sent_run
from spoolhead._internal.network import upstream_calls
from spoolhead._internal.policy import end_confirmation, placement, policy_set, replicas, retry
from spoolhead._internal.utils import metrics

if TYPE_CHECKING:
    from spoolhead._internal.entry import flow


class FlowResult:
    """Outcome of a flow.

    :ivar code: result code.
    :ivar ran: whether the request ran.
    :ivar tokens: tokens that were generated for the request.
    :ivar is_natural_end: whether the engine ended the answer by itself; only then is its length
        an observation for the length model.
    :ivar status: HTTP status of an unstreamed answer; 0 if there is none.
    :ivar content_type: ``Content-Type`` of that answer.
    :ivar body: body of that answer.
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
    """The part of :class:`upstream_calls.UpstreamCalls` that flows use."""

    def open(
        self,
        address: str,
        request: bytes,
        listener: upstream_calls.CallListener,
        *,
        fresh: bool = False,
        is_head: bool = False,
    ) -> upstream_calls.UpstreamCall:
        """Send a request.

        :param listener: receives the answer.
        :param fresh: use a new connection and close it afterwards.
        :param is_head: the method is HEAD, so the answer has no body.
        """

    def confirm_end(self, address: str, on_evidence: end_confirmation.OnEvidence) -> None:
        """Check whether an upstream crashed as it ended a connection."""

    def finish_in_background(self, call: upstream_calls.UpstreamCall) -> None:
        """Read the rest of a call's answer and discard it."""


class FlowContents(Protocol):
    """The part of :class:`~spoolhead._internal.entry.held_contents.HeldContents` that flows use."""

    def is_suspect(self, keys: request_keys.RequestKeys) -> bool:
        """Return whether an upstream crashed with a key and no run succeeded since."""

    def get_incarnation_id(self, upstream: str) -> str:
        """Return the id of an upstream's current incarnation."""

    def record_lost(self, replica: replicas.Replica, run: sent_run.SentRun) -> None:
        """Record a request that an upstream received and lost."""

    def record_abandoned(self, replica: replicas.Replica, run: sent_run.SentRun) -> None:
        """Record a request that an upstream received and this entry abandoned."""

    def record_unreachable(self, replica: replicas.Replica) -> None:
        """Query an upstream that refuses connections if a request was abandoned there recently."""

    def record_answered(self, replica: replicas.Replica, run: sent_run.SentRun) -> None:
        """Record that a request was answered."""

    def record_established(self, run: sent_run.SentRun) -> None:
        """Record that an answer has gone on for some time."""

    def record_instance_answer(self, incarnation_id: str) -> None:
        """Record that an incarnation of an upstream has answered."""


class FlowHost(Protocol):
    """The part of the dispatcher that flows use."""

    def choose_upstream(self, flow: "flow.Flow", excluded: frozenset[str]) -> placement.Choice:
        """Choose an upstream for the next attempt.

        :param excluded: names of upstreams that failed for this request.
        """

    def record_attempt(
        self, flow: "flow.Flow", action: str, choice: placement.Choice, code: codes.ResultCode
    ) -> None:
        """Record the next attempt.

        :param code: result code of the failed attempt.
        """

    def requeue(self, flow: "flow.Flow", code: codes.ResultCode) -> bool:
        """Put a flow back into the queue because no upstream has room for the next attempt.

        :returns: False if the service has no available upstream.
        """

    def charge(self, flow: "flow.Flow", tokens: int) -> None:
        """Charge generated tokens to the workspace."""

    def handle_flow_end(self, flow: "flow.Flow", result: FlowResult) -> None:
        """Handle the end of a flow."""


class FlowContext:
    """Collaborators and limits shared by all flows of an entry.

    :ivar calls: sends requests to upstreams.
    :ivar host: the dispatcher.
    :ivar contents: request contents that may crash upstreams.
    :ivar budget: retry budget of the entry.
    :ivar collector: receives metrics.
    :ivar clock: returns the monotonic time in seconds.
    :ivar shared_key: the fleet's secret, which signs stream tokens.
    :ivar attempts: maximum attempts for one request, including the first.
    :ivar answer_bytes: maximum size of an unstreamed answer.
    :ivar unread_bytes: maximum bytes buffered for a slow caller.
    :ivar policies: retry and pace policies.
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
