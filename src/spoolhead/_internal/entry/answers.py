"""Answers that the entry itself gives: errors in the published API's shape, and JSON."""

import json
import math

from spoolhead._internal.models import codes, fault
from spoolhead._internal.network import caller_front

RAN_HEADER = "x-spoolhead-ran"
CODE_HEADER = "x-spoolhead-result-code"
REQUEST_ID_HEADER = "x-request-id"

_TYPES = {1: "invalid_request_error", 2: "overloaded_error", 3: "upstream_error"}


def make_error_body(item: fault.Fault, ran: codes.Ran, request_id: str) -> bytes:
    """Return an error in the shape of the OpenAI API, with our fields beside it."""
    error = {
        "message": item.text,
        "type": _TYPES.get(int(item.code) // 1000, "server_error"),
        "param": item.path or None,
        "code": item.code.name.lower(),
        "result_code": int(item.code),
        "ran": ran.value,
        "request_id": request_id,
    }
    return json.dumps({"error": error}).encode()


def send_error(
    caller: caller_front.Caller,
    item: fault.Fault,
    *,
    ran: codes.Ran,
    request_id: str,
    retry_after_ms: int | None = None,
) -> None:
    """Answer a request with an error, or end a stream that has begun with one.

    :param caller: who gets it.
    :param ran: whether the request ran.
    :param retry_after_ms: when to come back, where that makes sense.
    """
    body = make_error_body(item, ran, request_id)
    if caller.is_started:
        # The stream ends without its done mark, so no client can take it for complete.
        caller.send_part(b"data: " + body + b"\n\n")
        caller.end_stream()
        return
    headers = [
        ("Content-Type", "application/json"),
        (CODE_HEADER, str(int(item.code))),
        (RAN_HEADER, ran.value),
        (REQUEST_ID_HEADER, request_id),
    ]
    if retry_after_ms is not None:
        headers.append(("Retry-After", str(math.ceil(retry_after_ms / 1000))))
    caller.send_whole(codes.get_status(item.code), headers, body)


def send_json(caller: caller_front.Caller, status: int, value: object) -> None:
    """Answer a request with a JSON value."""
    body = json.dumps(value).encode()
    caller.send_whole(status, [("Content-Type", "application/json")], body)
