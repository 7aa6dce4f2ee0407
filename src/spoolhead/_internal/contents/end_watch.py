"""Finds out whether an instance that lost a request has ended, or only its connection has.

The question goes out at once, on a new connection: a process that has ended refuses it, and is back
after some seconds.
"""

import logging
from collections.abc import Callable

from spoolhead._internal.gateway import content_watch
from spoolhead._internal.models import dialects, shared_load
from spoolhead._internal.network import links, scheduler, upstream_calls
from spoolhead._internal.policy import upstream_book
from spoolhead._internal.routing import matcher

logger = logging.getLogger(__name__)

ANSWER_S = 0.5
"""Longest wait for an answer: many times the usual few milliseconds. Without one the list of
instances, or another entry, has to tell."""


class _Question:
    """One question."""

    __slots__ = ("call", "instance_id", "owner", "timer", "upstream")

    def __init__(self, owner: "EndWatch", upstream: upstream_book.Upstream) -> None:
        self.owner = owner
        self.upstream = upstream
        self.call: upstream_calls.UpstreamCall | None = None
        self.timer: scheduler.Timer | None = None
        self.instance_id = ""

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        self.instance_id = self.owner.dialect.read_answer(status, headers).instance_id

    def on_answer_body(self, data: bytes) -> None:
        pass

    def on_answer_end(self) -> None:
        self.owner.take_answer(self)

    def on_call_lost(self, reason: str) -> None:
        self.owner.take_loss(self, reason)

    def give_up(self) -> None:
        if self.call is not None:
            self.call.cancel()
        self.owner.take_loss(self, "no answer")


class EndWatch:
    """Asks instances that lost a request.

    :param calls: makes HTTP requests.
    :param timers: calls back.
    :param dialect: how instances speak.
    :param contents: is told what is found.
    :param tell_alarm: tells all other entries.
    :param get_table: returns the table in force.
    """

    def __init__(
        self,
        calls: upstream_calls.UpstreamCalls,
        timers: scheduler.Scheduler,
        dialect: dialects.EntryDialect,
        contents: content_watch.ContentWatch,
        *,
        tell_alarm: Callable[[str, shared_load.AlarmKind], None],
        get_table: Callable[[], matcher.Matcher | None],
    ) -> None:
        self.dialect = dialect
        self._calls = calls
        self._timers = timers
        self._contents = contents
        self._tell_alarm = tell_alarm
        self._get_table = get_table
        self._questions: dict[str, _Question] = {}

    def ask(self, upstream: upstream_book.Upstream) -> None:
        """Ask an instance that has just lost a request, unless it is being asked."""
        path = self._get_health_path(upstream)
        life_id = upstream.instance.life_id
        if not path or life_id in self._questions:
            return
        question = self._questions[life_id] = _Question(self, upstream)
        question.timer = self._timers.call_later(ANSWER_S, question.give_up)
        address = upstream.instance.address
        request = upstream_calls.make_request("GET", path, address, (), b"")
        question.call = self._calls.open(address, request, question, fresh=True)

    def take_answer(self, question: _Question) -> None:
        """Take an answer: the instance lives, or another one stands in its place."""
        self._drop(question)
        instance = question.upstream.instance
        if not question.instance_id:
            self._log(question, "it does not say which instance answers")
        elif question.instance_id == instance.instance_id:
            self._log(question, "it answers")
            self._contents.note_alive(instance.life_id)
        else:
            self._take_end(question, f"{question.instance_id} answers")

    def take_loss(self, question: _Question, reason: str) -> None:
        """Take the loss of a question; refused, the instance has ended."""
        self._drop(question)
        if reason == links.REFUSED:
            self._take_end(question, reason)
        else:
            self._log(question, reason)

    def _take_end(self, question: _Question, evidence: str) -> None:
        self._log(question, evidence, has_ended=True)
        life_id = question.upstream.instance.life_id
        self._tell_alarm(life_id, shared_load.AlarmKind.ENDED)
        self._contents.note_ended(life_id, evidence)

    def _drop(self, question: _Question) -> None:
        self._questions.pop(question.upstream.instance.life_id, None)
        if question.timer is not None:
            question.timer.cancel()

    def _get_health_path(self, upstream: upstream_book.Upstream) -> str:
        table = self._get_table()
        service = table.get_service(upstream.instance.service) if table is not None else None
        return service.health_path if service is not None else ""

    def _log(self, question: _Question, outcome: str, *, has_ended: bool = False) -> None:
        fields = {
            "upstream": question.upstream.instance.life_id,
            "outcome": outcome,
            "has_ended": has_ended,
        }
        logger.info("upstream that lost a request was asked", extra={"fields": fields})
