"""What a platform's adapter has to offer: how its messages read and are written.

An adapter translates and decides nothing. Everything inside works on the types named here.
"""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

import expression

from spoolhead._internal.models import fault, instances, route_table
from spoolhead._internal.network import request_reader

Headers = Sequence[tuple[str, str]]


class PutTable:
    """An operator sends a route table.

    :ivar document: its bytes.
    """

    __slots__ = ("document",)

    def __init__(self, document: bytes) -> None:
        self.document = document


class ReadTable:
    """An operator wants the newest route table."""

    __slots__ = ()


class SetEvacuation:
    """An operator has a hall evacuated, or takes that back.

    :ivar hall: the hall.
    :ivar is_evacuated: nothing more is to be sent to its instances.
    """

    __slots__ = ("hall", "is_evacuated")

    def __init__(self, hall: str, *, is_evacuated: bool) -> None:
        self.hall = hall
        self.is_evacuated = is_evacuated


OperatorOrder = PutTable | ReadTable | SetEvacuation


class InstancePage:
    """A page of the platform's list of instances.

    :ivar instances: instances on the page.
    :ivar next_target: path and query of the next page; empty on the last.
    :ivar faults: one for each entry that could not be read.
    """

    __slots__ = ("faults", "instances", "next_target")

    def __init__(self, listed: list[instances.Instance], next_target: str) -> None:
        self.instances = listed
        self.next_target = next_target
        self.faults: list[fault.Fault] = []


class TableDialect(Protocol):
    """How route tables and instance lists are written."""

    list_target: str

    def decode_table(
        self, document: bytes
    ) -> expression.Result[route_table.RouteTable, list[fault.Fault]]:
        """Read a route table."""

    def decode_instances(self, document: bytes) -> expression.Result[InstancePage, fault.Fault]:
        """Read a page of the list of instances."""


class OperatorDialect(TableDialect, Protocol):
    """How operators speak to a keeper."""

    def read_order(
        self, wire: request_reader.WireRequest
    ) -> expression.Result[OperatorOrder, fault.Fault]:
        """Read an operator's request."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class PromptPart:
    """A part of a prompt that requests may share.

    :ivar part_id: its id.
    :ivar tokens: its tokens.
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Generation:
    """What a request asks of a model engine.

    :ivar model: the model.
    :ivar prompt_tokens: tokens to read.
    :ivar limit_tokens: most tokens to generate.
    :ivar hinted_tokens: the caller's guess of the tokens generated; 0 for none.
    :ivar parts: parts of the prompt in order; the last is the request's own.
    """

    model: str
    prompt_tokens: int
    limit_tokens: int
    hinted_tokens: int
    parts: tuple[PromptPart, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestHead:
    """Head of a caller's request, as far as deciding needs it.

    :ivar request_id: the caller's id of it; empty for none.
    :ivar host: Host header.
    :ivar api_key: the API key; empty for none.
    :ivar wait_ms: time that the caller waits; None where it does not say.
    :ivar headers: headers that go on to the upstream as they came.
    :ivar generation: what it asks of a model engine; None for a plain request.
    :ivar last_event_id: id of the last event that the caller has; empty for none.
    """

    request_id: str
    host: str
    api_key: str
    wait_ms: int | None
    headers: list[tuple[str, str]]
    generation: Generation | None
    last_event_id: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ResumePoint:
    """From where a run goes on at another instance.

    :ivar address: ``IP:PORT`` that the memory came from.
    :ivar handle: handle of the copy, or id of the run for a copy made while it grew.
    :ivar last_event_id: id of the last event that was passed on; empty for none.
    """

    address: str
    handle: str
    last_event_id: str


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptOrders:
    """What an entry adds to a request for one attempt.

    :ivar instance_id: the only instance that may run it.
    :ivar remaining_ms: time left.
    :ivar workspace: name of the workspace; empty on a route without keys.
    :ivar urgency: rank at a model engine, 0 for the most urgent; None leaves it to the engine.
    :ivar resume: from where the run goes on; None for a new run.
    """

    instance_id: str
    remaining_ms: int
    workspace: str
    urgency: int | None = None
    resume: ResumePoint | None = None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamLoad:
    """Load that an instance tells.

    :ivar running: requests that run.
    :ivar waiting: requests that wait.
    :ivar slots: requests that may run at once.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True, kw_only=True)
class AnswerHead:
    """Head of an instance's answer.

    :ivar status: HTTP status.
    :ivar headers: headers that go on to the caller.
    :ivar request_id: id of the request that it answers; empty for none.
    :ivar is_signed: the instance signed the answer.
    :ivar has_not_run: the instance says that it did not run the request.
    :ivar is_encoded: the body carries an encoding that nobody asked for.
    :ivar is_closing: the instance closes the connection.
    :ivar load: its load; None where it tells none.
    :ivar is_misdirected: another instance than the one meant answers at its address.
    :ivar instance_id: id of the instance that answers; empty where it does not say.
    :ivar cold_ms: how much longer the instance is cold; None where it does not say.
    :ivar limit_per_s: requests a second that it accepts from all entries together; None where it
        states no limit.
    :ivar is_limit_unreadable: it states a limit that is no number.
    :ivar rest_ms: time for which it wants nothing from this entry; None where it does not say.
    :ivar is_rest_unreadable: it says so by what is no number of seconds.
    :ivar is_leaving: it leaves, and takes no new work.
    """

    status: int
    headers: list[tuple[str, str]]
    request_id: str
    is_signed: bool
    has_not_run: bool
    is_encoded: bool
    is_closing: bool
    load: UpstreamLoad | None
    cold_ms: int | None = None
    limit_per_s: float | None = None
    is_limit_unreadable: bool = False
    rest_ms: int | None = None
    is_rest_unreadable: bool = False
    is_leaving: bool = False
    is_misdirected: bool = False
    instance_id: str = ""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamOrder:
    """An order to an instance.

    :ivar method: HTTP method.
    :ivar target: path and query.
    :ivar body: body.
    """

    method: str
    target: str
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class MoveOrder:
    """Copy a run's memory to another instance.

    :ivar request_id: id of the request that runs.
    :ivar target_address: ``IP:PORT`` of the other instance.
    """

    request_id: str
    target_address: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class MoveAnswer:
    """What became of a move.

    :ivar status: HTTP status.
    :ivar handle: handle of the copy; empty for none.
    """

    status: int
    handle: str


class EntryDialect(TableDialect, Protocol):
    """How callers and upstream instances speak to an entry."""

    def is_ready_probe(self, wire: request_reader.WireRequest) -> bool:
        """Tell whether a request is the balancer's readiness probe."""

    def read_request(
        self, wire: request_reader.WireRequest
    ) -> expression.Result[RequestHead, fault.Fault]:
        """Read the head of a caller's request."""

    def write_request(self, head: RequestHead, orders: AttemptOrders) -> Headers:
        """Return the headers of an attempt, besides Host and length."""

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Read the head of an instance's answer."""

    def write_refusal(self, request_id: str, retry_after_ms: int | None) -> Headers:
        """Return the headers of an entry's own answer."""

    def write_move(self, order: MoveOrder) -> UpstreamOrder:
        """Return the order to move a run's memory."""

    def read_move(self, status: int, body: bytes) -> MoveAnswer:
        """Read the answer to a move."""

    def write_release(self, handle: str) -> UpstreamOrder:
        """Return the order to free a copy."""
