"""Finds out whether an instance that lost a request has ended, or only its connection has.

The question goes out at once, on a new connection: a process that has ended refuses it, and is back
after some seconds.
"""

import logging
from collections.abc import Callable

from spoolhead._internal.contents import content_watch
from spoolhead._internal.network import links, scheduler, upstream_calls

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 0.5
"""Longest wait for an answer: many times the usual few milliseconds. Without one the list of
instances, or another entry, has to tell."""

RETRY_INTERVAL_S = 0.1
"""Pause before a question is put again whose connection was made and lost: a process that is just
ending still takes connections for a moment, and by then refuses them."""
MAX_QUERIES = 4
"""Questions about one loss, within 0.3 s. A connection was seen to be taken 3 ms after a loss,
beside six busy processes; where an end stays unseen, its requests are not suspected."""


class EndQuery:
    """An instance to be asked.

    :ivar incarnation_id: which run of which instance lost the request.
    :ivar instance_id: id by which the instance names itself; empty if it does not.
    :ivar address: ``IP:PORT``.
    :ivar path: what to ask for.
    """

    __slots__ = ("address", "instance_id", "incarnation_id", "path")

    def __init__(self, incarnation_id: str, *, instance_id: str, address: str, path: str) -> None:
        self.incarnation_id = incarnation_id
        self.instance_id = instance_id
        self.address = address
        self.path = path


class _Query:
    """One question."""

    __slots__ = ("target", "call", "instance_id", "number", "owner", "timer")

    def __init__(self, owner: "EndWatch", target: EndQuery, number: int) -> None:
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


class EndWatch:
    """Asks instances that lost a request.

    :param calls: makes HTTP requests.
    :param timers: calls back.
    :param contents: is told what is found.
    :param read_instance_id: returns the id by which an answer names its instance, or nothing.
    :param on_ended: called with the run of an instance that was found to have ended.
    """

    def __init__(
        self,
        calls: upstream_calls.UpstreamCalls,
        timers: scheduler.Scheduler,
        contents: content_watch.ContentWatch,
        *,
        read_instance_id: Callable[[int, upstream_calls.Headers], str],
        on_ended: Callable[[str], None],
    ) -> None:
        self.read_instance_id = read_instance_id
        self._calls = calls
        self._timers = timers
        self._contents = contents
        self._on_ended = on_ended
        self._queries: dict[str, _Query] = {}

    def query(self, target: EndQuery) -> None:
        """Ask an instance that has just lost a request, unless it is being asked."""
        if target.path:
            self._ask(target, 1)

    def _ask(self, target: EndQuery, number: int) -> None:
        if target.incarnation_id in self._queries:
            return
        query_state = self._queries[target.incarnation_id] = _Query(self, target, number)
        query_state.timer = self._timers.call_later(ANSWER_TIMEOUT_S, query_state.on_timeout)
        request = upstream_calls.make_request("GET", target.path, target.address, (), b"")
        query_state.call = self._calls.open(target.address, request, query_state, fresh=True)

    def handle_answer(self, query_state: _Query) -> None:
        """Take an answer: the instance lives, or another one stands in its place."""
        self._remove(query_state)
        target = query_state.target
        if query_state.instance_id and query_state.instance_id != target.instance_id:
            self._handle_end(query_state, f"{query_state.instance_id} answers")
        elif query_state.instance_id or not target.instance_id:
            self._log(query_state, "it answers")
            self._contents.record_alive(target.incarnation_id)
        else:
            self._log(query_state, "it does not say which instance answers")

    def handle_loss(self, query_state: _Query, reason: str) -> None:
        """Take the loss of a question; refused, the instance has ended."""
        self._remove(query_state)
        if reason == links.REFUSED:
            self._handle_end(query_state, reason)
            return
        self._log(query_state, reason)
        if query_state.number < MAX_QUERIES:
            target, number = query_state.target, query_state.number + 1
            self._timers.call_later(RETRY_INTERVAL_S, lambda: self._ask(target, number))

    def handle_timeout(self, query_state: _Query) -> None:
        """Take the want of an answer, which another question would not change."""
        self._remove(query_state)
        self._log(query_state, "no answer")

    def _handle_end(self, query_state: _Query, evidence: str) -> None:
        self._log(query_state, evidence, has_ended=True)
        incarnation_id = query_state.target.incarnation_id
        self._on_ended(incarnation_id)
        self._contents.record_ended(incarnation_id, evidence)

    def _remove(self, query_state: _Query) -> None:
        self._queries.pop(query_state.target.incarnation_id, None)
        if query_state.timer is not None:
            query_state.timer.cancel()

    def _log(self, query_state: _Query, outcome: str, *, has_ended: bool = False) -> None:
        fields = {
            "upstream": query_state.target.incarnation_id,
            "outcome": outcome,
            "has_ended": has_ended,
        }
        logger.info("upstream that lost a request was asked", extra={"fields": fields})
