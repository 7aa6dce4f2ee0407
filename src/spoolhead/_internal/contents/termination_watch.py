"""Checks whether an instance that lost a request has crashed, or only its connection was lost.

The query is sent at once, on a new connection: a crashed process refuses connections, and restarts
within some seconds. A process that only stopped listening keeps its other connections.
"""

import logging
from collections.abc import Callable

from spoolhead._internal.contents import content_watch
from spoolhead._internal.network import links, scheduler, upstream_calls
from spoolhead._internal.policy import process_evidence

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 0.5
"""Maximum wait for an answer, many times the usual few milliseconds. Without an answer, the
instance list or another entry has to report the crash."""

RETRY_INTERVAL_S = 0.1
"""Delay before a query is repeated whose connection was established and then lost: a crashing
process still accepts connections for a moment; after this delay it refuses them."""
MAX_QUERIES = 4
"""Maximum number of queries about one loss. If a crash stays undetected, its requests do not become
suspects."""


class TerminationQuery:
    """An instance to be queried.

    :ivar incarnation_id: incarnation of the instance that lost the request.
    :ivar instance_id: id that the instance states in its answers; empty if it states none.
    :ivar address: ``IP:PORT``.
    :ivar path: path to request.
    """

    __slots__ = ("address", "instance_id", "incarnation_id", "path")

    def __init__(self, incarnation_id: str, *, instance_id: str, address: str, path: str) -> None:
        self.incarnation_id = incarnation_id
        self.instance_id = instance_id
        self.address = address
        self.path = path


class _Query:
    """One query in flight."""

    __slots__ = ("target", "call", "instance_id", "number", "owner", "timer")

    def __init__(self, owner: "TerminationWatch", target: TerminationQuery, number: int) -> None:
        self.number = number
        self.owner = owner
        self.target = target
        self.call: upstream_calls.UpstreamCall | None = None
        self.timer: scheduler.Timer | None = None
        self.instance_id = ""

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        self.instance_id = self.owner.read_instance_id(status, headers)

    def on_answer_body(self, data: bytes) -> None:
        pass

    def on_answer_end(self) -> None:
        self.owner.handle_answer(self)

    def on_call_lost(self, reason: str) -> None:
        self.owner.handle_loss(self, reason)

    def on_timeout(self) -> None:
        if self.call is not None:
            self.call.cancel()
        self.owner.handle_timeout(self)


class TerminationWatch:
    """Queries instances that lost a request.

    :param calls: makes HTTP requests.
    :param timers: schedules callbacks.
    :param contents: receives the results.
    :param read_instance_id: returns the instance id that an answer states, or an empty string.
    :param on_terminated: called with the incarnation id of an instance that has crashed.
    :param confirm: called with the incarnation id of an instance that refuses connections, the kind
        of the conclusion and a function that records the crash, to be called if the refusal is not
        due to this entry's own connections; None to record each refusal at once.
    """

    def __init__(
        self,
        calls: upstream_calls.UpstreamCalls,
        timers: scheduler.Scheduler,
        contents: content_watch.ContentWatch,
        *,
        read_instance_id: Callable[[int, upstream_calls.Headers], str],
        on_terminated: Callable[[str], None],
        confirm: Callable[[str, str, Callable[[], None]], None] | None = None,
    ) -> None:
        self.read_instance_id = read_instance_id
        self._calls = calls
        self._timers = timers
        self._contents = contents
        self._on_terminated = on_terminated
        self._confirm = confirm
        self._queries: dict[str, _Query] = {}

    def query(self, target: TerminationQuery) -> None:
        """Query an instance that has just lost a request, unless a query is in flight."""
        if target.path:
            self._send_query(target, 1)

    def _send_query(self, target: TerminationQuery, number: int) -> None:
        if target.incarnation_id in self._queries:
            return
        query = self._queries[target.incarnation_id] = _Query(self, target, number)
        query.timer = self._timers.call_later(ANSWER_TIMEOUT_S, query.on_timeout)
        request = upstream_calls.make_request("GET", target.path, target.address, (), b"")
        query.call = self._calls.open(target.address, request, query, fresh=True)

    def handle_answer(self, query: _Query) -> None:
        """Handle an answer, which shows that the instance is alive or was replaced by another."""
        self._remove(query)
        target = query.target
        if query.instance_id and query.instance_id != target.instance_id:
            self._handle_terminated(query, f"{query.instance_id} answers at its address")
        elif query.instance_id or not target.instance_id:
            self._log(query, "instance answered")
            self._contents.record_alive(target.incarnation_id)
        else:
            self._log(query, "answer states no instance id")

    def handle_loss(self, query: _Query, reason: str) -> None:
        """Handle a lost query; if its connection was refused, the instance has crashed."""
        self._remove(query)
        if reason == links.REFUSED and self._has_terminated(query.target.address):
            self._handle_refused(query)
            return
        self._log(query, reason)
        if query.number < MAX_QUERIES:
            target, number = query.target, query.number + 1
            self._timers.call_later(RETRY_INTERVAL_S, lambda: self._send_query(target, number))

    def handle_timeout(self, query: _Query) -> None:
        """Handle a missing answer; the query is not repeated, since another would time out too."""
        self._remove(query)
        self._log(query, "no answer")

    def _has_terminated(self, address: str) -> bool:
        """Return whether the refusal of a query shows that the process has ended."""
        state = process_evidence.judge(
            process_evidence.Observation.REFUSED,
            has_open_connection=self._calls.has_open_connection(address),
        )
        return state is process_evidence.ProcessState.TERMINATED

    def _handle_refused(self, query: _Query) -> None:
        if self._confirm is None:
            self._handle_terminated(query, links.REFUSED)
            return
        self._confirm(
            query.target.incarnation_id,
            "terminated",
            lambda: self._handle_terminated(query, links.REFUSED),
        )

    def _handle_terminated(self, query: _Query, evidence: str) -> None:
        self._log(query, evidence, has_ended=True)
        incarnation_id = query.target.incarnation_id
        self._on_terminated(incarnation_id)
        self._contents.record_terminated(incarnation_id, evidence)

    def _remove(self, query: _Query) -> None:
        self._queries.pop(query.target.incarnation_id, None)
        if query.timer is not None:
            query.timer.cancel()

    def _log(self, query: _Query, outcome: str, *, has_ended: bool = False) -> None:
        fields = {
            "upstream": query.target.incarnation_id,
            "outcome": outcome,
            "has_ended": has_ended,
        }
        logger.info("queried an upstream that lost a request", extra={"fields": fields})
