"""Error answers that an entry itself sends for routed requests."""

import json

from spoolhead._internal.models import codes, dialects, fault
from spoolhead._internal.network import forward_server

_NOT_RUN_STATUS = 503
_UNKNOWN_STATUS = 502
_TIMEOUT_STATUS = 504
_TIMEOUT_CODES = frozenset({codes.ResultCode.DEADLINE_DURING_RUN, codes.ResultCode.UPSTREAM_SILENT})


def get_status(item: fault.Fault, ran: codes.Ran) -> int:
    """Return the HTTP status of a refusal or failure.

    Status 503 promises that the request has not run, so it is used only if that is certain.
    """
    status = int(codes.get_status(item.code))
    if int(item.code) < int(codes.ResultCode.QUEUE_FULL):
        return status
    if ran is codes.Ran.NO:
        return _NOT_RUN_STATUS
    return _TIMEOUT_STATUS if item.code in _TIMEOUT_CODES else _UNKNOWN_STATUS


def send(
    caller: forward_server.AnyCaller,
    dialect: dialects.EntryDialect,
    item: fault.Fault,
    *,
    ran: codes.Ran,
    request_id: str,
    retry_after_ms: int | None = None,
) -> int:
    """Send the final error answer, or abort the connection if a stream has begun.

    :param retry_after_ms: sent as Retry-After if the request has not run; None for no header.
    :returns: the HTTP status; 0 for an aborted stream.
    """
    if caller.is_started:
        caller.abort()
        return 0
    status = get_status(item, ran)
    error = {"message": item.text, "result_code": int(item.code), "ran": ran.value}
    wait_ms = retry_after_ms if status == _NOT_RUN_STATUS else None
    caller.record_result(item.code, ran)
    headers = [
        ("Content-Type", "application/json"),
        *dialect.write_refusal(request_id, wait_ms),
    ]
    caller.send_answer(status, headers, json.dumps({"error": error}).encode())
    return status
