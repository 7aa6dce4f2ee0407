"""Decodes and encodes the platform's messages."""

import json
import math
import urllib.parse

import expression

from spoolhead._internal.models import (
    codes,
    dialects,
    evacuations,
    fault,
    instance_pace,
    route_table,
)
from spoolhead._internal.network import request_reader
from spoolhead._internal.utils import decimals
from spoolhead.platform import names, tables

_MISDIRECTED_STATUS = 421
_MAX_COLD_DIGITS = 9
"""Maximum number of digits of the remaining time of a cold start; eleven days in milliseconds."""
_LOAD_FIELDS = (3, 4)
"""Possible numbers of fields in the load that an instance reports; the fourth is its pace."""
_MAX_COUNT_DIGITS = 9
"""Maximum number of digits of a count in that load."""
_REST_STATUSES = frozenset({429, 503})
"""Statuses of answers in which Retry-After asks for a pause."""
_YES = "1"
_EVACUATION_METHODS = {"POST": True, "DELETE": False}
"""HTTP methods of an order on a hall, and whether the order evacuates the hall."""


class Dialect:
    """Dialect of the platform's callers, operators, instances and list of instances."""

    list_target = names.LIST_PATH

    def decode_table(
        self, document: bytes
    ) -> expression.Result[route_table.RouteTable, list[fault.Fault]]:
        """Decode a route table."""
        return tables.decode_table(document)

    def decode_instances(
        self, document: bytes
    ) -> expression.Result[dialects.InstancePage, fault.Fault]:
        """Decode a page of the list of instances."""
        return tables.decode_instances(document)

    def read_order(
        self, wire: request_reader.WireRequest
    ) -> expression.Result[dialects.OperatorOrder, fault.Fault]:
        """Decode an operator's request."""
        path = wire.target.partition("?")[0]
        if path.startswith(names.EVACUATION_PATH):
            return _read_evacuation(wire.method, path.removeprefix(names.EVACUATION_PATH))
        if path != names.TABLE_PATH:
            return expression.Error(fault.Fault(codes.ResultCode.UNKNOWN_PATH, "no such path"))
        if wire.method == "PUT":
            return expression.Ok(dialects.PutTable(wire.body))
        if wire.method == "GET":
            return expression.Ok(dialects.ReadTable())
        text = f"{names.TABLE_PATH} takes GET and PUT"
        return expression.Error(fault.Fault(codes.ResultCode.METHOD_NOT_ALLOWED, text))

    def is_ready_probe(self, wire: request_reader.WireRequest) -> bool:
        """Return whether a request is the load balancer's readiness probe."""
        return wire.target.partition("?")[0] == names.READY_PATH

    def read_request(
        self, wire: request_reader.WireRequest
    ) -> expression.Result[dialects.RequestHead, fault.Fault]:
        """Decode the head of a caller's request."""
        try:
            deadline = wire.get_header(names.DEADLINE)
            head = dialects.RequestHead(
                request_id=wire.get_header(names.REQUEST_ID) or "",
                host=wire.get_header("host") or "",
                api_key=_get_api_key(wire.get_header("authorization")),
                wait_ms=max(0, int(float(deadline))) if deadline else None,
                headers=_get_end_to_end_headers(wire),
                generation=_read_generation(wire),
                last_event_id=wire.get_header(names.LAST_EVENT_ID) or "",
                expects_version=wire.get_header(names.EXPECTED_VERSION) is not None,
            )
        except (ValueError, OverflowError) as error:
            return expression.Error(fault.Fault(codes.ResultCode.WRONG_FIELD, str(error)))
        return expression.Ok(head)

    def read_wait_ms(self, wire: request_reader.WireRequest) -> int | None:
        """Return the time that a request has; None if it states none, or none that is valid."""
        wait_ms = decimals.parse(wire.get_header(names.DEADLINE) or "")
        return int(wait_ms) if wait_ms is not None else None

    def write_request(
        self, head: dialects.RequestHead, parameters: dialects.AttemptParameters
    ) -> dialects.Headers:
        """Return the headers of an attempt other than Host and Content-Length."""
        headers = list(head.headers)
        headers.append((names.DEADLINE, str(parameters.remaining_ms)))
        headers.append((names.EXPECTED_INSTANCE, parameters.instance_id))
        if parameters.workspace:
            headers.append((names.WORKSPACE, _encode_name(parameters.workspace)))
        if parameters.urgency is not None:
            headers.append((names.URGENCY, str(parameters.urgency)))
        if parameters.resume is not None:
            point = parameters.resume
            headers.append((names.RESUME_FROM, f"{point.address}/{point.handle}"))
            headers = [item for item in headers if item[0] != names.LAST_EVENT_ID]
            if point.last_event_id:
                headers.append((names.LAST_EVENT_ID, point.last_event_id))
        return headers

    def read_answer(self, status: int, headers: dialects.Headers) -> dialects.AnswerHead:
        """Decode the head of an instance's answer."""
        values = dict(headers)
        hidden = {names.INSTANCE, names.LOAD, names.NOT_RUN, names.COLD, names.LIMIT}
        hidden |= {names.LEAVING, names.BRITTLE, "date", "server"}
        hidden |= names.HOP_BY_HOP
        stated_limits = [value for name, value in headers if name == names.LIMIT]
        limit_per_s = _read_limit(stated_limits)
        stated_rejections = [value for name, value in headers if name == names.BRITTLE]
        max_rejections_per_s = _read_limit(stated_rejections)
        rest_text = values.get(names.RETRY_AFTER, "") if status in _REST_STATUSES else ""
        rest_ms = _read_rest(rest_text)
        return dialects.AnswerHead(
            status=status,
            headers=[item for item in headers if item[0] not in hidden],
            request_id=values.get(names.REQUEST_ID, ""),
            is_signed=bool(values.get(names.SIGNATURE)),
            has_not_run=names.NOT_RUN in values or status == _MISDIRECTED_STATUS,
            is_misdirected=status == _MISDIRECTED_STATUS,
            instance_id=values.get(names.INSTANCE, ""),
            is_encoded=values.get("content-encoding", "identity") != "identity",
            is_closing=values.get("connection", "").lower() == "close",
            load=_read_load(values.get(names.LOAD, "")),
            cold_ms=_read_cold(values.get(names.COLD)),
            limit_per_s=limit_per_s,
            is_limit_unreadable=bool(stated_limits) and limit_per_s is None,
            rest_ms=rest_ms,
            is_rest_unreadable=bool(rest_text) and rest_ms is None,
            is_leaving=values.get(names.LEAVING, "").strip() == _YES,
            max_rejections_per_s=max_rejections_per_s,
            is_max_rejections_unreadable=bool(stated_rejections) and max_rejections_per_s is None,
        )

    def write_refusal(self, request_id: str, retry_after_ms: int | None) -> dialects.Headers:
        """Return the headers of an answer that the entry itself creates."""
        headers: list[tuple[str, str]] = []
        if request_id:
            headers.append((names.REQUEST_ID, request_id))
        if retry_after_ms is not None:
            headers.append((names.RETRY_AFTER, f"{retry_after_ms / 1000:.3f}"))
        return headers

    def write_copy_order(self, order: dialects.CopyOrder) -> dialects.UpstreamOrder:
        """Return the encoded order to copy the memory of a run."""
        # In spite of its name, target_version holds the address of the other instance.
        value: dict[str, object] = {"id": order.request_id}
        value["target_version"] = order.target_address
        if order.stops_run:
            value["last"] = True
        body = json.dumps(value).encode()
        return dialects.UpstreamOrder(method="POST", target=names.MOVE_PATH, body=body)

    def read_copy_answer(self, status: int, body: bytes) -> dialects.CopyAnswer:
        """Decode the answer to an order to copy the memory of a run."""
        try:
            value = json.loads(body) if body else {}
        except ValueError:
            value = {}
        if not isinstance(value, dict):
            value = {}
        handle = str(value.get("handle") or "")
        made = value.get("made")
        event_count = made if isinstance(made, int) else 0
        return dialects.CopyAnswer(status=status, handle=handle, event_count=event_count)

    def write_release(self, handle: str) -> dialects.UpstreamOrder:
        """Return the encoded order to release a copy."""
        return dialects.UpstreamOrder(
            method="DELETE", target=f"{names.COPY_PATH}{handle}", body=b""
        )


def _read_evacuation(
    method: str, name: str
) -> expression.Result[dialects.OperatorOrder, fault.Fault]:
    hall = urllib.parse.unquote(name)
    if not evacuations.is_hall_name(hall):
        return expression.Error(fault.Fault(codes.ResultCode.UNKNOWN_PATH, "no hall is named"))
    if method not in _EVACUATION_METHODS:
        text = f"{names.EVACUATION_PATH}HALL takes POST and DELETE"
        return expression.Error(fault.Fault(codes.ResultCode.METHOD_NOT_ALLOWED, text))
    return expression.Ok(dialects.SetEvacuation(hall, is_evacuated=_EVACUATION_METHODS[method]))


def _encode_name(name: str) -> str:
    """Return a name as a header value: as UTF-8 where Latin-1, the usual encoding, lacks a sign."""
    try:
        name.encode("latin-1")
    except UnicodeEncodeError:
        return name.encode().decode("latin-1")
    return name


def _get_api_key(header: str | None) -> str:
    scheme, _, api_key = (header or "").partition(" ")
    return api_key.strip() if scheme.lower() == "bearer" else ""


def _get_end_to_end_headers(wire: request_reader.WireRequest) -> list[tuple[str, str]]:
    listed = wire.get_header("connection") or ""
    listed_names = {name.strip().lower() for name in listed.split(",")}
    dropped = names.HOP_BY_HOP | names.SYSTEM_HEADERS | listed_names
    dropped |= {"authorization", names.DEADLINE}
    return [(name, value) for name, value in wire.headers if name not in dropped]


def _read_generation(wire: request_reader.WireRequest) -> dialects.Generation | None:
    usage = wire.get_header(names.TOKEN_USAGE)
    if usage is None:
        return None
    prompt, _, limit = usage.partition(",")
    hint = wire.get_header(names.LENGTH_HINT)
    parts = []
    for item in (wire.get_header(names.PROMPT_PARTS) or "").split(","):
        part_id, _, tokens = item.strip().partition(":")
        if part_id:
            parts.append(dialects.PromptPart(part_id=part_id, tokens=int(tokens)))
    return dialects.Generation(
        model=wire.get_header(names.MODEL) or "",
        prompt_tokens=int(prompt),
        limit_tokens=int(limit),
        hinted_tokens=int(float(hint)) if hint else 0,
        parts=tuple(parts),
    )


def _read_load(text: str) -> dialects.UpstreamLoad | None:
    values = [value.strip() for value in text.split(",")]
    if len(values) not in _LOAD_FIELDS:
        return None
    if not all(_is_count(value) for value in values[:3]):
        return None
    running, waiting, slots = (int(value) for value in values[:3])
    pace_percent = _read_pace(values[3]) if len(values) > 3 else None
    return dialects.UpstreamLoad(
        running=running, waiting=waiting, slots=slots, pace_percent=pace_percent
    )


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= _MAX_COUNT_DIGITS


def _read_pace(text: str) -> int | None:
    """Return the pace in percent; None if it is not a number in the range of paces."""
    percent = decimals.parse(text)
    if percent is None:
        return None
    is_valid = instance_pace.MIN_PERCENT <= percent <= instance_pace.MAX_PERCENT
    return round(percent) if is_valid else None


def _read_cold(text: str | None) -> int | None:
    if text is None or not (text.isascii() and text.isdecimal()):
        return None
    return int(text) if len(text) <= _MAX_COLD_DIGITS else None


def _read_limit(values: list[str]) -> float | None:
    """Return the lowest of the limits that are valid numbers; None if there is none."""
    limits = [decimals.parse(value) for value in values]
    return min((limit for limit in limits if limit is not None), default=None)


def _read_rest(text: str) -> int | None:
    """Return the pause in milliseconds; None if the text is not a number of seconds."""
    seconds = decimals.parse(text)
    return math.ceil(seconds * 1000) if seconds is not None else None
