"""Answers that the entry produces itself: errors in the OpenAI API's format, and plain JSON."""

import json
import math

from spoolhead._internal.models import codes, fault
from spoolhead._internal.network import caller_front

RAN_HEADER = "x-spoolhead-ran"
CODE_HEADER = "x-spoolhead-result-code"
REQUEST_ID_HEADER = "x-request-id"

_TYPES = {1: "invalid_request_error", 2: "overloaded_error", 3: "upstream_error"}


def make_error_body(cause: fault.Fault, ran: codes.Ran, request_id: str) -> bytes:
    """Return the JSON body of an error in the OpenAI API's format.

    The fields ``result_code``, ``ran`` and ``request_id`` are added to it.
    """
    error = {
        "message": cause.text,
        "type": _TYPES.get(int(cause.code) // 1000, "server_error"),
        "param": cause.path or None,
        "code": cause.code.name.lower(),
        "result_code": int(cause.code),
        "ran": ran.value,
        "request_id": request_id,
    }
    return json.dumps({"error": error}).encode()


def send_error(
    caller: caller_front.Caller,
    cause: fault.Fault,
    *,
    ran: codes.Ran,
    request_id: str,
    retry_after_ms: int | None = None,
) -> None:
    """Answer a request with an error; a stream that has already started ends with the error.

    :param caller: connection that receives the error.
    :param cause: the error.
    :param ran: whether the request ran.
    :param retry_after_ms: value of ``Retry-After`` in milliseconds, rounded up to whole seconds;
        None omits the header.
    """
    body = make_error_body(cause, ran, request_id)
    if caller.is_started:
        # The stream ends without [DONE], so no client can mistake it for complete.
        caller.send_body_part(b"data: " + body + b"\n\n")
        caller.end_stream()
        return
    headers = [
        ("Content-Type", "application/json"),
        (CODE_HEADER, str(int(cause.code))),
        (RAN_HEADER, ran.value),
        (REQUEST_ID_HEADER, request_id),
    ]
    if retry_after_ms is not None:
        headers.append(("Retry-After", str(math.ceil(retry_after_ms / 1000))))
    caller.send_answer(codes.get_status(cause.code), headers, body)


def send_json(caller: caller_front.Caller, status: int, value: object) -> None:
    """Answer a request with a JSON value."""
    body = json.dumps(value).encode()
    caller.send_answer(status, [("Content-Type", "application/json")], body)
