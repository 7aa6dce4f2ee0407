"""Numbered result codes, shared by programs, logs and documentation.

Every answer other than a plain success has one of these codes. The table in
``docs/RESULT_CODES.md`` is generated from this module by ``tools/write_result_codes.py``; a test
checks that it is up to date.
"""

import enum
from http import HTTPStatus


class Ran(enum.StrEnum):
    """Whether an upstream ran a caller's request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ResultCode(enum.IntEnum):
    """Result of a request, an edit or a command; the thousands give the category."""

    OK = 0

    MALFORMED_REQUEST = 1001
    CONFLICTING_LENGTHS = 1002
    HEAD_TOO_LARGE = 1003
    BODY_TOO_LARGE = 1004
    REQUEST_TOO_SLOW = 1005
    MALFORMED_JSON = 1006
    WRONG_FIELD = 1007
    UNKNOWN_PATH = 1008
    METHOD_NOT_ALLOWED = 1009
    TOO_MANY_PIPELINED = 1010

    KEY_MISSING = 1101
    KEY_UNKNOWN = 1102
    NOT_PERMITTED = 1103

    UNKNOWN_MODEL = 1201
    UNKNOWN_SERVICE = 1202

    QUEUE_FULL = 2001
    DEADLINE_BEFORE_START = 2002
    OVER_LIMIT = 2003
    STOPPING = 2004
    NO_UPSTREAM = 2005
    NO_TABLE = 2006
    DEADLINE_UNREACHABLE = 2007
    ONCE_CLAIM_UNAVAILABLE = 2008
    ENTRY_FULL = 2009
    TABLE_UNCONFIRMED = 2010
    REQUEST_HELD = 2011

    UPSTREAM_UNREACHABLE = 3001
    UPSTREAM_LOST = 3002
    GENERATION_LOST = 3003
    STREAM_OUT_OF_ORDER = 3004
    DEADLINE_DURING_RUN = 3005
    UPSTREAM_REFUSED = 3006
    ONCE_OUTCOME_UNKNOWN = 3007
    ONCE_KEY_REUSED = 3008
    ONCE_IN_PROGRESS = 3009
    CALLER_TOO_SLOW = 3010
    UPSTREAM_SILENT = 3011
    ANSWER_TOO_LARGE = 3012

    EDIT_INVALID = 4001
    EDIT_CONFLICT = 4002
    EDIT_ID_REUSED = 4003
    EDIT_OUTCOME_UNKNOWN = 4004

    SETTINGS_UNREADABLE = 5001
    SETTINGS_INVALID = 5002

    LOG_DAMAGED = 6001
    DISK_FAILED = 6002
    PEER_UNREACHABLE = 6003
    PEER_REFUSED = 6004
    PEER_PROTOCOL = 6005
    DECISION_NOT_FOUND = 6006
    INTERNAL = 6999


TABLE_REFUSALS = frozenset(
    {
        ResultCode.KEY_UNKNOWN,
        ResultCode.NOT_PERMITTED,
        ResultCode.UNKNOWN_MODEL,
        ResultCode.UNKNOWN_SERVICE,
    }
)
"""Refusals that depend on the table; a newer table may accept the request."""


class CodeInfo:
    """Description of a result code.

    :ivar status: HTTP status of an answer with the code; None if callers never receive it.
    :ivar meaning: one sentence for people.
    """

    __slots__ = ("meaning", "status")

    def __init__(self, status: HTTPStatus | None, meaning: str) -> None:
        self.status = status
        self.meaning = meaning


_S = HTTPStatus

CODE_INFO: dict[ResultCode, CodeInfo] = {
    ResultCode.OK: CodeInfo(_S.OK, "The request or edit succeeded."),
    ResultCode.MALFORMED_REQUEST: CodeInfo(_S.BAD_REQUEST, "The bytes are not valid HTTP."),
    ResultCode.CONFLICTING_LENGTHS: CodeInfo(
        _S.BAD_REQUEST, "The length of the body is stated twice, wrongly or in two ways."
    ),
    ResultCode.HEAD_TOO_LARGE: CodeInfo(
        _S.REQUEST_HEADER_FIELDS_TOO_LARGE, "Request line and headers exceed the limit."
    ),
    ResultCode.BODY_TOO_LARGE: CodeInfo(
        _S.REQUEST_ENTITY_TOO_LARGE, "The request body exceeds the limit."
    ),
    ResultCode.REQUEST_TOO_SLOW: CodeInfo(
        _S.REQUEST_TIMEOUT, "The request did not arrive whole within its time."
    ),
    ResultCode.MALFORMED_JSON: CodeInfo(_S.BAD_REQUEST, "The body is not a JSON object."),
    ResultCode.WRONG_FIELD: CodeInfo(
        _S.BAD_REQUEST, "A field or header is missing or of a wrong type or value."
    ),
    ResultCode.UNKNOWN_PATH: CodeInfo(_S.NOT_FOUND, "No such path."),
    ResultCode.METHOD_NOT_ALLOWED: CodeInfo(
        _S.METHOD_NOT_ALLOWED, "The path does not take this method."
    ),
    ResultCode.TOO_MANY_PIPELINED: CodeInfo(
        _S.BAD_REQUEST, "Too many requests were sent ahead on one connection."
    ),
    ResultCode.KEY_MISSING: CodeInfo(_S.UNAUTHORIZED, "The request has no API key."),
    ResultCode.KEY_UNKNOWN: CodeInfo(_S.UNAUTHORIZED, "The API key belongs to no workspace."),
    ResultCode.NOT_PERMITTED: CodeInfo(
        _S.FORBIDDEN, "The workspace may not use this model or service."
    ),
    ResultCode.UNKNOWN_MODEL: CodeInfo(_S.NOT_FOUND, "No such model is served."),
    ResultCode.UNKNOWN_SERVICE: CodeInfo(_S.NOT_FOUND, "No such service is served."),
    ResultCode.QUEUE_FULL: CodeInfo(
        _S.TOO_MANY_REQUESTS, "The workspace has as many requests waiting as its row allows."
    ),
    ResultCode.DEADLINE_BEFORE_START: CodeInfo(
        _S.SERVICE_UNAVAILABLE, "The deadline passed while the request was waiting."
    ),
    ResultCode.OVER_LIMIT: CodeInfo(
        _S.TOO_MANY_REQUESTS, "The workspace's row admits no request at all just now."
    ),
    ResultCode.STOPPING: CodeInfo(
        _S.SERVICE_UNAVAILABLE, "This entry is stopping and takes nothing new."
    ),
    ResultCode.NO_UPSTREAM: CodeInfo(
        _S.SERVICE_UNAVAILABLE, "No upstream of the service is in use."
    ),
    ResultCode.NO_TABLE: CodeInfo(
        _S.SERVICE_UNAVAILABLE, "This entry has not yet received the table."
    ),
    ResultCode.DEADLINE_UNREACHABLE: CodeInfo(
        _S.SERVICE_UNAVAILABLE, "The expected wait is longer than the deadline."
    ),
    ResultCode.ONCE_CLAIM_UNAVAILABLE: CodeInfo(
        _S.SERVICE_UNAVAILABLE,
        "The record of keys that may run only once cannot be reached, so nothing was run.",
    ),
    ResultCode.ENTRY_FULL: CodeInfo(
        _S.SERVICE_UNAVAILABLE,
        "This entry holds as many requests, or bytes, as its settings allow.",
    ),
    ResultCode.TABLE_UNCONFIRMED: CodeInfo(
        _S.SERVICE_UNAVAILABLE,
        "The table lets the request nowhere, but this entry cannot tell whether it is the newest.",
    ),
    ResultCode.REQUEST_HELD: CodeInfo(
        _S.SERVICE_UNAVAILABLE,
        "Instances ended under this request or a part of its prompt; see CALLERS.md.",
    ),
    ResultCode.UPSTREAM_UNREACHABLE: CodeInfo(
        _S.BAD_GATEWAY, "No connection to an upstream could be made."
    ),
    ResultCode.UPSTREAM_LOST: CodeInfo(
        _S.BAD_GATEWAY, "The upstream was lost before its answer was whole."
    ),
    ResultCode.GENERATION_LOST: CodeInfo(
        _S.BAD_GATEWAY, "The generation was lost after tokens had been delivered."
    ),
    ResultCode.STREAM_OUT_OF_ORDER: CodeInfo(
        _S.BAD_GATEWAY, "The upstream skipped tokens or changed the generation."
    ),
    ResultCode.DEADLINE_DURING_RUN: CodeInfo(
        _S.GATEWAY_TIMEOUT, "The deadline passed while the request was running."
    ),
    ResultCode.UPSTREAM_REFUSED: CodeInfo(
        _S.SERVICE_UNAVAILABLE, "Every upstream that was asked refused the request."
    ),
    ResultCode.ONCE_OUTCOME_UNKNOWN: CodeInfo(
        _S.CONFLICT, "The same key was sent before and its outcome is not known."
    ),
    ResultCode.ONCE_KEY_REUSED: CodeInfo(
        _S.UNPROCESSABLE_ENTITY, "The same key was sent before with a different request."
    ),
    ResultCode.ONCE_IN_PROGRESS: CodeInfo(
        _S.CONFLICT, "The same key was sent before and that request is still running."
    ),
    ResultCode.CALLER_TOO_SLOW: CodeInfo(
        None, "The caller read so slowly that its buffer reached the limit."
    ),
    ResultCode.UPSTREAM_SILENT: CodeInfo(
        _S.GATEWAY_TIMEOUT, "The upstream sent nothing for longer than allowed."
    ),
    ResultCode.ANSWER_TOO_LARGE: CodeInfo(
        _S.BAD_GATEWAY, "The upstream's answer exceeds the limit for whole answers."
    ),
    ResultCode.EDIT_INVALID: CodeInfo(_S.BAD_REQUEST, "The edit has faults; nothing was changed."),
    ResultCode.EDIT_CONFLICT: CodeInfo(
        None, "A row has changed since it was read; nothing was changed."
    ),
    ResultCode.EDIT_ID_REUSED: CodeInfo(
        None, "The edit id was used before for another edit; nothing was changed."
    ),
    ResultCode.EDIT_OUTCOME_UNKNOWN: CodeInfo(
        _S.SERVICE_UNAVAILABLE,
        "The answer was lost; send the same edit again with the same edit id.",
    ),
    ResultCode.SETTINGS_UNREADABLE: CodeInfo(None, "A file cannot be read or parsed."),
    ResultCode.SETTINGS_INVALID: CodeInfo(None, "A settings file has faults."),
    ResultCode.LOG_DAMAGED: CodeInfo(
        None, "The table's log is damaged before its end; the keeper does not start."
    ),
    ResultCode.DISK_FAILED: CodeInfo(None, "Writing or syncing failed; the edit is not accepted."),
    ResultCode.PEER_UNREACHABLE: CodeInfo(None, "The other process cannot be reached."),
    ResultCode.PEER_REFUSED: CodeInfo(None, "The other process did not accept the shared key."),
    ResultCode.PEER_PROTOCOL: CodeInfo(None, "The other process sent an unexpected message."),
    ResultCode.DECISION_NOT_FOUND: CodeInfo(
        None, "No entry that was asked remembers a decision for this request id."
    ),
    ResultCode.INTERNAL: CodeInfo(
        _S.INTERNAL_SERVER_ERROR, "A fault in spoolhead itself; see the log."
    ),
}


def get_status(code: ResultCode) -> int:
    """Return the HTTP status of a code.

    :param code: a result code.
    :returns: the status; 500 for a code that callers never receive.
    """
    status = CODE_INFO[code].status
    return int(status if status is not None else _S.INTERNAL_SERVER_ERROR)
