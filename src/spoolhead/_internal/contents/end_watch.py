"""Finds out whether an instance that lost a request has ended, or only its connection has.

The question goes out at once, on a new connection: a process that has ended refuses it, and is back
after some seconds.
"""

import logging
from collections.abc import Callable

from spoolhead._internal.contents import content_watch
from spoolhead._internal.network import links, scheduler, upstream_calls

logger = logging.getLogger(__name__)

ANSWER_S = 0.5
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

    __slots__ = ("asked", "call", "instance_id", "number", "owner", "timer")

    def __init__(self, owner: "EndWatch", asked: EndQuery, number: int) -> None:
        self.number = number
        self.owner = owner
        self.asked = asked
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

    def give_up(self) -> None:
        if self.call is not None:
            self.call.cancel()
        self.owner.handle_silence(self)


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
        self._pending_operations: dict[str, _Query] = {}

    def query(self, asked: EndQuery) -> None:
        """Ask an instance that has just lost a request, unless it is being asked."""
        if asked.path:
            self._ask(asked, 1)

    def _ask(self, asked: EndQuery, number: int) -> None:
        if asked.incarnation_id in self._pending_operations:
            return
        question = self._pending_operations[asked.incarnation_id] = _Query(self, asked, number)
        question.timer = self._timers.call_later(ANSWER_S, question.give_up)
        request = upstream_calls.make_request("GET", asked.path, asked.address, (), b"")
        question.call = self._calls.open(asked.address, request, question, fresh=True)

    def handle_answer(self, question: _Query) -> None:
        """Take an answer: the instance lives, or another one stands in its place."""
        self._drop(question)
        asked = question.asked
        if question.instance_id and question.instance_id != asked.instance_id:
            self._handle_end(question, f"{question.instance_id} answers")
        elif question.instance_id or not asked.instance_id:
            self._log(question, "it answers")
            self._contents.record_alive(asked.incarnation_id)
        else:
            self._log(question, "it does not say which instance answers")

    def handle_loss(self, question: _Query, reason: str) -> None:
        """Take the loss of a question; refused, the instance has ended."""
        self._drop(question)
        if reason == links.REFUSED:
            self._handle_end(question, reason)
            return
        self._log(question, reason)
        if question.number < MAX_QUERIES:
            asked, number = question.asked, question.number + 1
            self._timers.call_later(RETRY_INTERVAL_S, lambda: self._ask(asked, number))

    def handle_silence(self, question: _Query) -> None:
        """Take the want of an answer, which another question would not change."""
        self._drop(question)
        self._log(question, "no answer")

    def _handle_end(self, question: _Query, evidence: str) -> None:
        self._log(question, evidence, has_ended=True)
        incarnation_id = question.asked.incarnation_id
        self._on_ended(incarnation_id)
        self._contents.record_ended(incarnation_id, evidence)

    def _drop(self, question: _Query) -> None:
        self._pending_operations.pop(question.asked.incarnation_id, None)
        if question.timer is not None:
            question.timer.cancel()

    def _log(self, question: _Query, outcome: str, *, has_ended: bool = False) -> None:
        fields = {
            "upstream": question.asked.incarnation_id,
            "outcome": outcome,
            "has_ended": has_ended,
        }
        logger.info("upstream that lost a request was asked", extra={"fields": fields})
