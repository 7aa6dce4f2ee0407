"""One routed request from its arrival to the end of its answer: what all kinds share."""

import logging
import random
import time
from collections.abc import Callable
from typing import Protocol

from spoolhead._internal.gateway import entry_figures, refusals, run_queue
from spoolhead._internal.models import codes, dialects, fault, route_table, settings
from spoolhead._internal.network import caller_front, links, scheduler, upstream_calls
from spoolhead._internal.policy import (
    hall_reach,
    retry_allowance,
    run_admission,
    upstream_book,
    upstream_choice,
)

logger = logging.getLogger(__name__)

RETRY_AFTER_MS = 300
"""When to come back after a refusal because of failures: about a round of the balancer's
connections and of the shortest rest of an upstream."""
LEAST_URGENT = 9
"""Lowest rank that engines know."""


class Context:
    """What all exchanges of an entry share.

    :ivar config: the entry's settings.
    :ivar dialect: how callers and instances speak.
    :ivar calls: makes HTTP requests.
    :ivar timers: calls back.
    :ivar book: the instances.
    :ivar chance: source of random numbers.
    :ivar on_change: called when what this entry holds at an instance has changed.
    :ivar on_lost_request: called with the id of an instance that took a request and lost it.
    :ivar get_silent_halls: returns the halls from which nothing has been heard for a while.
    :ivar figures: counters and histograms.
    :ivar queue: generations that wait for an engine with room.
    :ivar entry_count: entries that there are.
    :ivar reach: which halls can be reached.
    """

    __slots__ = (
        "_allowances",
        "book",
        "calls",
        "chance",
        "config",
        "dialect",
        "entry_count",
        "figures",
        "get_silent_halls",
        "on_change",
        "on_lost_request",
        "queue",
        "reach",
        "timers",
    )

    def __init__(
        self,
        *,
        config: settings.GatewaySettings,
        dialect: dialects.EntryDialect,
        calls: upstream_calls.UpstreamCalls,
        timers: scheduler.Scheduler,
        book: upstream_book.UpstreamBook,
        chance: random.Random,
        on_change: Callable[[], None],
        on_lost_request: Callable[[str], None],
        get_silent_halls: Callable[[], frozenset[str]],
        figures: entry_figures.EntryFigures,
    ) -> None:
        self.config = config
        self.dialect = dialect
        self.calls = calls
        self.timers = timers
        self.book = book
        self.chance = chance
        self.on_change = on_change
        self.on_lost_request = on_lost_request
        self.get_silent_halls = get_silent_halls
        self.figures = figures
        self.queue = run_queue.RunQueue(timers, chance)
        self.entry_count = 1
        self.reach = hall_reach.HallReach(config.hall)
        self._allowances: dict[str, retry_allowance.RetryAllowance] = {}

    def get_cut_halls(self, now_s: float) -> frozenset[str]:
        """Return the halls that cannot be reached just now."""
        return self.reach.get_cut_halls(self.get_silent_halls(), now_s)

    def get_allowance(self, service: str) -> retry_allowance.RetryAllowance:
        """Return the allowance of second attempts for a service."""
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = self._allowances[service] = retry_allowance.RetryAllowance(
                ratio=self.config.retry_ratio,
                slack=self.config.retry_slack,
                window_ms=self.config.retry_window_ms,
            )
        allowance.entry_count = self.entry_count
        return allowance


class Job:
    """A request that was matched to a route.

    :ivar head: its head.
    :ivar route: its route.
    :ivar service: service that it goes to.
    :ivar workspace: whose it is; None on a route without keys.
    :ivar version: version of the table that decided this.
    """

    __slots__ = ("head", "route", "service", "version", "workspace")

    def __init__(
        self,
        head: dialects.RequestHead,
        route: route_table.Route,
        service: route_table.Service,
        workspace: route_table.Workspace | None,
        version: int,
    ) -> None:
        self.head = head
        self.route = route
        self.service = service
        self.workspace = workspace
        self.version = version

    @property
    def workspace_name(self) -> str:
        """Name of the workspace; empty for none."""
        return self.workspace.name if self.workspace is not None else ""

    @property
    def urgency(self) -> int:
        """Rank of the request at a model engine, 0 for the most urgent.

        An engine that is told ranks preempts what is less urgent, which wastes what that has
        read and stops its stream. So only the routes' ranks go there; the workspaces' decide
        among this entry's own requests.
        """
        return min(LEAST_URGENT, self.route.priority)

    @property
    def workspace_rank(self) -> int:
        """Rank of the workspace, 0 for the most urgent; the route's where it has none."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority


class AttemptUser(Protocol):
    """The exchange that made an attempt."""

    def take_head(self, attempt: "Attempt", status: int, headers: upstream_calls.Headers) -> None:
        """Take the head of its answer."""

    def take_body(self, attempt: "Attempt", data: bytes) -> None:
        """Take a part of its answer."""

    def take_end(self, attempt: "Attempt") -> None:
        """Take the end of its answer."""

    def take_loss(self, attempt: "Attempt", reason: str) -> None:
        """Take the loss of its connection."""


class Attempt:
    """One attempt; what it is told counts only while it is its owner's present one.

    :ivar upstream: the instance.
    :ivar is_resumed: a run goes on there from a copy.
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
        "upstream",
    )

    def __init__(
        self, owner: AttemptUser, upstream: upstream_book.Upstream, *, is_resumed: bool = False
    ) -> None:
        self._owner = owner
        self.upstream = upstream
        self.is_resumed = is_resumed
        self.call: upstream_calls.UpstreamCall | None = None
        self.head: dialects.AnswerHead | None = None
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.has_ended = False

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        """Pass on the head."""
        self._owner.take_head(self, status, headers)

    def on_answer_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self._owner.take_body(self, data)

    def on_answer_end(self) -> None:
        """Pass on the end."""
        self.has_ended = True
        self._owner.take_end(self)

    def on_call_lost(self, reason: str) -> None:
        """Pass on the loss."""
        self.has_ended = True
        self._owner.take_loss(self, reason)


class Exchange:
    """One request. Subclasses say what is done with an attempt's answer.

    :param job: the request and its route.
    :param caller: who gets the answer.
    :param context: what all exchanges share.
    :param on_end: called once it is over.
    :ivar is_over: the exchange has ended.
    """

    def __init__(
        self,
        job: Job,
        caller: caller_front.Caller,
        context: Context,
        on_end: Callable[["Exchange"], None],
    ) -> None:
        self.job = job
        self.caller = caller
        self.is_over = False
        self._context = context
        self._on_end = on_end
        self._arrived_s = time.monotonic()
        wait_ms = job.route.timeout_ms
        if job.head.wait_ms is not None:
            wait_ms = min(wait_ms, job.head.wait_ms)
        self._deadline_s = self._arrived_s + wait_ms / 1000
        self._timer = context.timers.call_later(wait_ms / 1000, self._on_deadline)
        self._tried: set[str] = set()
        self._ran = codes.Ran.NO
        self._attempt: Attempt | None = None
        caller.on_gone = self._on_caller_gone

    @property
    def remaining_ms(self) -> int:
        """Time left."""
        return max(0, int((self._deadline_s - time.monotonic()) * 1000))

    def is_late(self) -> bool:
        """Tell whether the route's objective has passed since the request came."""
        return (time.monotonic() - self._arrived_s) * 1000 > self.job.route.objective_ms

    def get_fields(self) -> dict[str, object]:
        """Return the fields that each log line of the request has."""
        return {
            "request": self.job.head.request_id,
            "route": self.job.route.name,
            "service": self.job.service.name,
            "table_version": self.job.version,
            "age_ms": int((time.monotonic() - self._arrived_s) * 1000),
        }

    def choose(self, need_tokens: int) -> upstream_choice.Choice:
        """Choose an instance that was not tried yet."""
        context = self._context
        now_s = time.monotonic()
        view = upstream_choice.View(
            hall=context.config.hall,
            silent_halls=context.get_silent_halls(),
            cut_halls=context.get_cut_halls(now_s),
            now_s=now_s,
            chance=context.chance,
        )
        return upstream_choice.choose(
            self.job.service,
            context.book.get_service(self.job.service.name),
            need_tokens=need_tokens,
            excluded=self._tried,
            view=view,
        )

    def log_choice(self, action: str, choice: upstream_choice.Choice) -> None:
        """Log where the request goes and what it was chosen from."""
        chosen = choice.upstream.instance.instance_id if choice.upstream is not None else ""
        fields = {
            **self.get_fields(),
            "upstream": chosen,
            "candidates": [
                [item.upstream.instance.instance_id, round(item.cost, 2)]
                for item in choice.candidates[:4]
            ],
            "remaining_ms": self.remaining_ms,
        }
        logger.info(action, extra={"fields": fields})

    def send_attempt(
        self,
        upstream: upstream_book.Upstream,
        user: upstream_calls.CallUser,
        orders: dialects.AttemptOrders,
    ) -> upstream_calls.UpstreamCall:
        """Send the request to an instance."""
        wire = self.caller.request
        headers = self._context.dialect.write_request(self.job.head, orders)
        data = upstream_calls.make_request(
            wire.method, wire.target, self.job.head.host, headers, wire.body
        )
        kind = self.job.route.kind
        self._context.figures.attempts.labels(kind.value).inc()
        return self._context.calls.open(
            upstream.instance.address,
            data,
            user,
            fresh=kind is not route_table.RequestKind.REPEATABLE,
            is_head=wire.method == "HEAD",
        )

    def fail(
        self, code: codes.ResultCode, text: str, *, retry_after_ms: int = RETRY_AFTER_MS
    ) -> None:
        """Give the request its final answer at once."""
        if self.is_over:
            return
        if self._ran is codes.Ran.NO and self.has_sent:
            self._ran = codes.Ran.UNKNOWN
        status = refusals.send(
            self.caller,
            self._context.dialect,
            fault.Fault(code, text),
            ran=self._ran,
            request_id=self.job.head.request_id,
            retry_after_ms=retry_after_ms,
        )
        fields = {
            **self.get_fields(),
            "code": int(code),
            "reason": text,
            "status": status,
            "ran": self._ran.value,
        }
        outcome = "refused" if self._ran is codes.Ran.NO else "failed"
        logger.info(outcome, extra={"fields": fields})
        self.end(outcome)

    def end(self, outcome: str = "answered") -> None:
        """Take the request out of the books.

        :param outcome: ``answered``, ``refused``, ``failed`` or ``left``.
        """
        if self.is_over:
            return
        self.is_over = True
        age_ms = (time.monotonic() - self._arrived_s) * 1000
        self._context.figures.note_end(self.job.route.kind, outcome, age_ms)
        self._timer.cancel()
        self.release()
        self._on_end(self)
        self._context.on_change()

    def start(self) -> None:
        """Make the first attempt."""
        raise NotImplementedError

    def release(self) -> None:
        """Cancel what runs and give back what the request holds."""
        raise NotImplementedError

    @property
    def has_sent(self) -> bool:
        """Whether any byte of the request may have reached an instance."""
        attempt = self._attempt
        if attempt is None or attempt.call is None:
            return False
        return attempt.is_resumed or attempt.call.may_have_arrived

    def take_head(self, attempt: Attempt, status: int, headers: upstream_calls.Headers) -> None:
        """Take the head of an attempt's answer."""
        if attempt is not self._attempt:
            return
        now_s = time.monotonic()
        attempt.head = self._context.dialect.read_answer(status, headers)
        attempt.upstream.note_load(attempt.head.load, now_s)
        self._context.reach.note_answer(attempt.upstream.instance.hall, now_s)

    def note_loss(self, attempt: Attempt, reason: str) -> None:
        """Take note of an attempt whose connection was lost, or was never made."""
        assert attempt.call is not None
        is_unreachable = not attempt.call.may_have_arrived
        if reason == links.CONNECT_TIMEOUT:
            self._context.reach.note_time_out(attempt.upstream.instance.hall, time.monotonic())
        if not is_unreachable and attempt.head is None:
            self._context.on_lost_request(attempt.upstream.instance.instance_id)
        if attempt.upstream.note_failure(time.monotonic(), is_unreachable=is_unreachable):
            fields = {"upstream": attempt.upstream.instance.instance_id, "reason": reason}
            logger.warning("upstream rests", extra={"fields": fields})

    def drop_attempt(self) -> None:
        """Cancel the present attempt and give back what it holds."""
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        attempt.upstream.works.pop(self.job.head.request_id, None)
        self._context.on_change()
        if attempt.call is not None and not attempt.call.is_over:
            attempt.call.cancel()

    def fail_without_upstream(self) -> None:
        """Refuse the request, since no instance may take it."""
        text = f"no upstream of {self.job.service.name} is usable"
        come_back_ms = run_admission.get_come_back_ms(self.remaining_ms)
        self.fail(codes.ResultCode.NO_UPSTREAM, text, retry_after_ms=come_back_ms)

    def _on_deadline(self) -> None:
        self.fail(codes.ResultCode.DEADLINE_DURING_RUN, "the time for the request is over")

    def _on_caller_gone(self) -> None:
        if self.is_over:
            return
        logger.info("caller left", extra={"fields": self.get_fields()})
        self.end("left")
