"""Interface of a platform's adapter, which decodes and encodes the messages of the platform.

An adapter only translates; it makes no decisions. The other modules use the types defined here.
"""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

import expression

from spoolhead._internal.models import fault, instances, route_table
from spoolhead._internal.network import request_reader

Headers = Sequence[tuple[str, str]]


class PutTable:
    """An operator's order to replace the route table.

    :ivar document: the new table as sent.
    """

    __slots__ = ("document",)

    def __init__(self, document: bytes) -> None:
        self.document = document


class ReadTable:
    """An operator's request for the newest route table."""

    __slots__ = ()


class SetEvacuation:
    """An operator's order to evacuate a hall or to end its evacuation.

    :ivar hall: name of the hall.
    :ivar is_evacuated: True if no more requests are to be sent to its instances.
    """

    __slots__ = ("hall", "is_evacuated")

    def __init__(self, hall: str, *, is_evacuated: bool) -> None:
        self.hall = hall
        self.is_evacuated = is_evacuated


OperatorOrder = PutTable | ReadTable | SetEvacuation


class InstancePage:
    """A page of the platform's list of instances.

    :ivar instances: instances on the page.
    :ivar next_target: path and query of the next page; empty on the last page.
    :ivar faults: a fault for each entry that could not be decoded.
    :ivar is_end_unknown: the token of the next page could not be decoded.
    """

    __slots__ = ("faults", "instances", "is_end_unknown", "next_target")

    def __init__(self, listed: list[instances.Instance], next_target: str) -> None:
        self.instances = listed
        self.next_target = next_target
        self.faults: list[fault.Fault] = []
        self.is_end_unknown = False


class TableDialect(Protocol):
    """Decodes route tables and lists of instances.

    :ivar list_target: path and query of the first page of the list.
    """

    list_target: str

    def decode_table(
        self, document: bytes
    ) -> expression.Result[route_table.RouteTable, list[fault.Fault]]:
        """Decode a route table."""

    def decode_instances(self, document: bytes) -> expression.Result[InstancePage, fault.Fault]:
        """Decode a page of the list of instances."""


class OperatorDialect(TableDialect, Protocol):
    """Decodes operators' requests to a keeper."""

    def read_order(
        self, wire: request_reader.WireRequest
    ) -> expression.Result[OperatorOrder, fault.Fault]:
        """Decode an operator's request."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class PromptPart:
    """A part of a prompt that several requests may share.

    :ivar part_id: id of the part.
    :ivar tokens: number of its tokens.
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Generation:
    """Parameters of a generation by a model engine.

    :ivar model: name of the model.
    :ivar prompt_tokens: tokens of the prompt.
    :ivar limit_tokens: maximum number of tokens to generate.
    :ivar hinted_tokens: the caller's estimate of the generated tokens; 0 for none.
    :ivar parts: parts of the prompt in order; the last is not shared with other requests.
    """

    model: str
    prompt_tokens: int
    limit_tokens: int
    hinted_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may share, in order and without repetitions."""
        return tuple(dict.fromkeys(part.part_id for part in self.parts[:-1]))


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestHead:
    """Decoded head of a caller's request.

    :ivar request_id: id given by the caller; empty for none.
    :ivar host: value of the Host header.
    :ivar api_key: the API key; empty for none.
    :ivar wait_ms: time that the caller will wait for the answer; None if not stated.
    :ivar headers: headers that are passed on to the upstream unchanged.
    :ivar generation: parameters of the generation; None for a plain request.
    :ivar last_event_id: id of the last event that the caller received; empty for none.
    :ivar expects_version: an instance whose weights have another version than the request states
        answers like one that is not the intended one.
    """

    request_id: str
    host: str
    api_key: str
    wait_ms: int | None
    headers: list[tuple[str, str]]
    generation: Generation | None
    last_event_id: str
    expects_version: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ResumePoint:
    """Point at which another instance continues a run.

    :ivar address: ``IP:PORT`` of the instance that the memory was copied from.
    :ivar handle: handle of the copy, or id of the run if the copy was made during the run.
    :ivar last_event_id: id of the last event that was passed on to the caller; empty for none.
    """

    address: str
    handle: str
    last_event_id: str


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptParameters:
    """Parameters that an entry adds to a request for one attempt.

    :ivar instance_id: the only instance that may run the request.
    :ivar remaining_ms: time until the deadline of the request.
    :ivar workspace: name of the workspace; empty on a route without API keys.
    :ivar urgency: rank at the model engine, 0 for the most urgent; None for the engine's default.
    :ivar resume: point at which the run continues; None for a new run.
    """

    instance_id: str
    remaining_ms: int
    workspace: str
    urgency: int | None = None
    resume: ResumePoint | None = None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamLoad:
    """Load that an instance reports in an answer.

    :ivar running: number of running requests.
    :ivar waiting: number of waiting requests.
    :ivar slots: number of requests that can run at once.
    :ivar pace_percent: time that work takes there at present, in percent of the usual time; None
        if not stated.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class AnswerHead:
    """Decoded head of an instance's answer.

    :ivar status: HTTP status.
    :ivar headers: headers that are passed on to the caller.
    :ivar request_id: id of the answered request; empty for none.
    :ivar is_signed: the instance signed the answer.
    :ivar has_not_run: the instance states that it did not run the request.
    :ivar is_encoded: the body has a content encoding that was not requested.
    :ivar is_closing: the instance closes the connection.
    :ivar load: load of the instance; None if not reported.
    :ivar is_misdirected: a different instance than the intended one answers at the address.
    :ivar instance_id: id of the instance that answers; empty if not stated.
    :ivar cold_ms: remaining time for which the instance is cold; None if not stated.
    :ivar limit_per_s: requests a second that the instance accepts from all entries together; None
        if not stated.
    :ivar is_limit_unreadable: the instance states a limit that is not a number.
    :ivar rest_ms: time for which this entry must send the instance no requests; None if not stated.
    :ivar is_rest_unreadable: the instance states that time, but not as a number of seconds.
    :ivar is_leaving: the instance is leaving and accepts no new requests.
    :ivar max_rejections_per_s: rejections within a second, of all entries together, beyond which
        the instance crashes; None if not stated.
    :ivar is_max_rejections_unreadable: the instance states them, but not as a number.
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
    max_rejections_per_s: float | None = None
    is_max_rejections_unreadable: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamOrder:
    """An encoded order to an instance.

    :ivar method: HTTP method.
    :ivar target: path and query.
    :ivar body: body of the request.
    """

    method: str
    target: str
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class CopyOrder:
    """Order to copy the memory of a run to another instance.

    :ivar request_id: id of the running request.
    :ivar target_address: ``IP:PORT`` of the other instance.
    :ivar stops_run: the run stops first, and its stream ends.
    """

    request_id: str
    target_address: str
    stops_run: bool = False


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class CopyAnswer:
    """Answer to a :class:`CopyOrder`.

    :ivar status: HTTP status.
    :ivar handle: handle of the copy; empty if none was made.
    :ivar event_count: number of events that the run had generated; 0 if that is not stated.
    """

    status: int
    handle: str
    event_count: int = 0


class EntryDialect(TableDialect, Protocol):
    """Decodes and encodes the messages between an entry, its callers and the instances."""

    def is_ready_probe(self, wire: request_reader.WireRequest) -> bool:
        """Return whether a request is the load balancer's readiness probe."""

    def read_request(
        self, wire: request_reader.WireRequest
    ) -> expression.Result[RequestHead, fault.Fault]:
        """Decode the head of a caller's request."""

    def read_wait_ms(self, wire: request_reader.WireRequest) -> int | None:
        """Return the time that a request has; None if it states none, or none that is valid."""

    def write_request(self, head: RequestHead, parameters: AttemptParameters) -> Headers:
        """Return the headers of an attempt other than Host and Content-Length."""

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Decode the head of an instance's answer."""

    def write_refusal(self, request_id: str, retry_after_ms: int | None) -> Headers:
        """Return the headers of an answer that the entry itself creates."""

    def write_copy_order(self, order: CopyOrder) -> UpstreamOrder:
        """Return the encoded order to copy the memory of a run."""

    def read_copy_answer(self, status: int, body: bytes) -> CopyAnswer:
        """Decode the answer to an order to copy the memory of a run."""

    def write_release(self, handle: str) -> UpstreamOrder:
        """Return the encoded order to release a copy."""
