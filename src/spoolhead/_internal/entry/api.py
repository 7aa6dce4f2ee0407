"""Parses and validates callers' HTTP requests: paths, headers and bodies.

Models are served through the OpenAI HTTP API, plain services under ``/NAME/``. Performs no I/O;
the current time is passed in.
"""

import hashlib
import json
import re
import urllib.parse
from collections.abc import Callable

import expression

from spoolhead._internal.entry import stream_token
from spoolhead._internal.models import codes, fault, requests, rows
from spoolhead._internal.network import request_reader
from spoolhead._internal.policy import request_content
from spoolhead._internal.table import view

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"
STREAMS_PATH = "/v1/streams/"
LIVE_PATH = "/livez"
READY_PATH = "/readyz"

ONCE_HEADER = "x-spoolhead-once"
ONCE_KEY_HEADER = "idempotency-key"
STREAM_HEADER = "x-spoolhead-stream"
REQUEST_ID_HEADER = "x-request-id"
LAST_EVENT_HEADER = "last-event-id"

MAX_ONCE_KEY_LENGTH = 255
BYTES_PER_TOKEN = 4
MAX_PRIORITY = 9

_TRUE_WORDS = frozenset({"1", "true", "yes"})
_FALSE_WORDS = frozenset({"0", "false", "no"})
_HOP_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        ONCE_HEADER,
        REQUEST_ID_HEADER,
    }
)
_LAST_EVENT = re.compile(r"^(?:(?P<generation>[^\s]+):)?(?P<index>\d{1,9})$")

Parsed = expression.Result[requests.CallerRequest, fault.Fault]


class ParseContext:
    """Values that the entry supplies for parsing one request.

    :ivar request_id: id assigned to the request.
    :ivar now_s: monotonic time of arrival, in seconds.
    :ivar shared_key: the fleet's secret, which signs stream tokens.
    """

    __slots__ = ("now_s", "request_id", "shared_key")

    def __init__(self, *, request_id: str, now_s: float, shared_key: str) -> None:
        self.request_id = request_id
        self.now_s = now_s
        self.shared_key = shared_key


def get_path(wire: request_reader.WireRequest) -> str:
    """Return the path of a request without its query string."""
    return wire.target.partition("?")[0]


def get_workspace(
    wire: request_reader.WireRequest, table: view.TableView
) -> expression.Result[str, fault.Fault]:
    """Return the workspace that owns the request's API key.

    :returns: the workspace, or a fault with ``KEY_MISSING`` or ``KEY_UNKNOWN``.
    """
    header = wire.get_header("authorization")
    scheme, _, api_key = (header or "").partition(" ")
    if scheme.lower() != "bearer" or not api_key.strip():
        text = "send the API key as 'Authorization: Bearer KEY'"
        return _refuse(codes.ResultCode.KEY_MISSING, text)
    workspace = table.get_workspace_of(api_key.strip())
    if workspace is None:
        return _refuse(codes.ResultCode.KEY_UNKNOWN, "the API key belongs to no workspace")
    return expression.Ok(workspace)


def parse(
    wire: request_reader.WireRequest, workspace: str, table: view.TableView, context: ParseContext
) -> Parsed:
    """Parse and validate a request of an authenticated workspace.

    :returns: the request, or a fault for the first problem found.
    """
    path = get_path(wire)
    if path in (CHAT_PATH, COMPLETIONS_PATH):
        return _parse_generation(wire, path, workspace, table, context)
    if path.startswith(STREAMS_PATH):
        return _parse_resume(wire, path, workspace, table, context)
    if path == "/v1" or path.startswith("/v1/"):
        return _refuse(codes.ResultCode.UNKNOWN_PATH, f"no such path: {path}")
    return _parse_plain(wire, workspace, table, context)


def _parse_generation(
    wire: request_reader.WireRequest,
    path: str,
    workspace: str,
    table: view.TableView,
    context: ParseContext,
) -> Parsed:
    if wire.method != "POST":
        return _refuse(codes.ResultCode.METHOD_NOT_ALLOWED, f"{path} takes POST")
    try:
        body = json.loads(wire.body)
    except (ValueError, RecursionError) as error:
        return _refuse(codes.ResultCode.MALFORMED_JSON, f"the body is not JSON: {error}")
    if not isinstance(body, dict):
        return _refuse(codes.ResultCode.MALFORMED_JSON, "the body is not a JSON object")
    problem = _check_body(path, body)
    if problem is not None:
        return expression.Error(problem)
    service = _get_service(table, workspace, body["model"], rows.ServiceKind.MODEL)
    if service.is_error():
        return expression.Error(service.error)
    row = table.workspaces[workspace]
    limit = _apply_output_limit(body, row)
    body["priority"] = MAX_PRIORITY - row.priority
    request = requests.CallerRequest(
        request_id=context.request_id,
        workspace=workspace,
        service_name=body["model"],
        service=service.ok,
        method="POST",
        target=path,
        headers=[("content-type", "application/json"), ("accept", "*/*")],
        body=json.dumps(body).encode(),
        arrived_s=context.now_s,
        deadline_s=context.now_s + row.deadline_ms / 1000,
    )
    request.wants_stream = body.get("stream") is True
    request.prompt_tokens = max(1, len(wire.body) // BYTES_PER_TOKEN)
    request.limit_tokens = limit
    request.part_ids = _get_part_ids(body)
    return expression.Ok(request)


def _parse_resume(
    wire: request_reader.WireRequest,
    path: str,
    workspace: str,
    table: view.TableView,
    context: ParseContext,
) -> Parsed:
    if wire.method != "GET":
        return _refuse(codes.ResultCode.METHOD_NOT_ALLOWED, f"{STREAMS_PATH} takes GET")
    token = stream_token.parse_token(context.shared_key, path.removeprefix(STREAMS_PATH))
    # A token of another workspace gets the same answer as an invalid token, so that callers
    # cannot probe for streams of other workspaces.
    if token is None or token.workspace != workspace or token.service not in table.services:
        return _refuse(codes.ResultCode.UNKNOWN_PATH, "no such stream")
    match = _LAST_EVENT.match(wire.get_header(LAST_EVENT_HEADER) or "")
    if match is None or match["generation"] not in (None, token.generation):
        text = "Last-Event-ID must be the id of the last event received"
        return _refuse(codes.ResultCode.WRONG_FIELD, text, path=LAST_EVENT_HEADER)
    row = table.workspaces[workspace]
    request = requests.CallerRequest(
        request_id=context.request_id,
        workspace=workspace,
        service_name=token.service,
        service=table.services[token.service],
        method="GET",
        target=path,
        headers=[],
        body=b"",
        arrived_s=context.now_s,
        deadline_s=context.now_s + row.deadline_ms / 1000,
    )
    request.wants_stream = True
    request.limit_tokens = row.max_output_tokens
    request.resume = requests.ResumePoint(token.upstream, token.generation, int(match["index"]) + 1)
    return expression.Ok(request)


def _parse_plain(
    wire: request_reader.WireRequest, workspace: str, table: view.TableView, context: ParseContext
) -> Parsed:
    name, slash, rest = wire.target.removeprefix("/").partition("/")
    name, question, query = name.partition("?")
    if not wire.target.startswith("/") or not name:
        return _refuse(codes.ResultCode.UNKNOWN_PATH, "the path names no service")
    name = urllib.parse.unquote(name)
    service = _get_service(table, workspace, name, rows.ServiceKind.PLAIN)
    if service.is_error():
        return expression.Error(service.error)
    once = _get_once_flag(wire, service.ok)
    if once.is_error():
        return expression.Error(once.error)
    once_key = wire.get_header(ONCE_KEY_HEADER) or ""
    if len(once_key) > MAX_ONCE_KEY_LENGTH:
        text = f"longer than {MAX_ONCE_KEY_LENGTH} characters"
        return _refuse(codes.ResultCode.WRONG_FIELD, text, path=ONCE_KEY_HEADER)
    row = table.workspaces[workspace]
    target = f"/{rest}" if slash else f"/{question}{query}"
    request = requests.CallerRequest(
        request_id=context.request_id,
        workspace=workspace,
        service_name=name,
        service=service.ok,
        method=wire.method,
        target=target,
        headers=[item for item in wire.headers if _may_forward(wire, item[0])],
        body=wire.body,
        arrived_s=context.now_s,
        deadline_s=context.now_s + row.deadline_ms / 1000,
    )
    request.is_once = once.ok or bool(once_key)
    request.once_key = once_key
    return expression.Ok(request)


def _check_body(path: str, body: dict[str, object]) -> fault.Fault | None:
    for name, check in _get_checks(path).items():
        problem = check(body.get(name))
        if problem:
            return fault.Fault(codes.ResultCode.WRONG_FIELD, f"{name} {problem}", path=name)
    return None


def _check_model(value: object) -> str:
    return "" if isinstance(value, str) and value else "must be a string that names a model"


def _check_stream(value: object) -> str:
    return "" if value is None or isinstance(value, bool) else "must be true or false"


def _check_limit(value: object) -> str:
    is_number = isinstance(value, int) and not isinstance(value, bool) and value > 0
    return "" if value is None or is_number else "must be a whole number above 0"


def _check_number(value: object) -> str:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return "" if value is None or is_number else "must be a number"


def _check_messages(value: object) -> str:
    if not isinstance(value, list) or not value:
        return "must be a list of at least one message"
    for item in value:
        if not isinstance(item, dict) or not isinstance(item.get("role"), str):
            return "must hold objects that each have a role"
        if not isinstance(item.get("content"), str | list | None):
            return "must hold messages whose content is a string, a list or null"
    return ""


def _get_part_ids(body: dict[str, object]) -> tuple[str, ...]:
    """Return an id for each message that other chats may share: all but the last.

    The ids are of the messages themselves, wherever they stand in a chat.
    """
    messages = body.get("messages")
    if not isinstance(messages, list):
        return ()
    return tuple(
        f"{message['role']} {_get_digest(message)}"
        for message in messages[: request_content.MAX_PARTS + 1][:-1]
    )


def _get_digest(message: dict[str, object]) -> str:
    data = json.dumps(message, sort_keys=True).encode()
    return hashlib.blake2b(data, digest_size=request_content.DIGEST_BYTES).hexdigest()


def _check_prompt(value: object) -> str:
    return "" if isinstance(value, str | list) and value else "must be a string or a list"


_LIMIT_NAMES = ("max_tokens", "max_completion_tokens")

_COMMON_CHECKS: dict[str, Callable[[object], str]] = {
    "model": _check_model,
    "stream": _check_stream,
    "max_tokens": _check_limit,
    "max_completion_tokens": _check_limit,
    "n": _check_limit,
    "temperature": _check_number,
    "top_p": _check_number,
}


def _get_checks(path: str) -> dict[str, Callable[[object], str]]:
    if path == CHAT_PATH:
        return {**_COMMON_CHECKS, "messages": _check_messages}
    return {**_COMMON_CHECKS, "prompt": _check_prompt}


def _apply_output_limit(body: dict[str, object], row: rows.WorkspaceRow) -> int:
    """Cap the output limit in the body at the workspace's maximum; return the limit in tokens."""
    names = [name for name in _LIMIT_NAMES if isinstance(body.get(name), int)]
    limit = min([row.max_output_tokens, *(body[name] for name in names)])
    for name in names or _LIMIT_NAMES[:1]:
        body[name] = limit
    return limit


def _get_service(
    table: view.TableView, workspace: str, name: str, kind: rows.ServiceKind
) -> expression.Result[rows.ServiceRow, fault.Fault]:
    row = table.services.get(name)
    if kind is rows.ServiceKind.MODEL:
        unknown, allowed = codes.ResultCode.UNKNOWN_MODEL, table.workspaces[workspace].models
    else:
        unknown, allowed = codes.ResultCode.UNKNOWN_SERVICE, table.workspaces[workspace].services
    if row is None or row.kind is not kind:
        return _refuse(unknown, f"no {kind.value} service is named {name}", path="model")
    if name not in allowed:
        text = f"workspace {workspace} may not use {name}"
        return _refuse(codes.ResultCode.NOT_PERMITTED, text)
    return expression.Ok(row)


def _get_once_flag(
    wire: request_reader.WireRequest, service: rows.ServiceRow
) -> expression.Result[bool, fault.Fault]:
    """Return whether a request must run at most once.

    The request's header can only add this requirement: a caller must not override an operator's
    setting that requests of a method must not be repeated.
    """
    word = (wire.get_header(ONCE_HEADER) or "no").lower()
    if word not in _TRUE_WORDS | _FALSE_WORDS:
        return _refuse(codes.ResultCode.WRONG_FIELD, "must be yes or no", path=ONCE_HEADER)
    return expression.Ok(word in _TRUE_WORDS or wire.method in service.once_methods)


def _may_forward(wire: request_reader.WireRequest, name: str) -> bool:
    listed = (wire.get_header("connection") or "").lower()
    return name not in _HOP_HEADERS and name not in {part.strip() for part in listed.split(",")}


def _refuse(
    code: codes.ResultCode, text: str, *, path: str = ""
) -> expression.Result[object, fault.Fault]:
    return expression.Error(fault.Fault(code, text, path=path))
