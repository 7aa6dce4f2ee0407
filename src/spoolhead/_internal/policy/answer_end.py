"""Decides whether an answer is complete, from its framing, its end and its content.

Performs no I/O. Framing is defined in RFC 9112, section 6.
"""

import enum
import json
from collections.abc import Sequence

BROKEN_OFF_TEXT = "the answer was broken off"
UNKNOWN_TEXT = "the answer may be incomplete: it ended with its connection"
_NO_BODY_STATUSES = (204, 304)
_CHUNKED = "chunked"
_IDENTITY = "identity"
_CONTENT_TYPE = "content-type"
_JSON = "json"
_ESCAPE_LENGTH = 6
_TOKENS = ("true", "false", "null", "-", ".", "e+", "e-", "E+", "E-")
"""What the last, incomplete token of a JSON text may begin."""


class Framing(enum.Enum):
    """What marks the end of an answer's body."""

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"
    """The body ends with the connection; a process that crashes ends it in the same way."""
    INVALID = "invalid"
    """A transfer coding that was not requested."""


class Ending(enum.Enum):
    """How the answer ended."""

    FRAMED = "framed"
    """Where its framing says."""
    CLOSED = "closed"
    """With an orderly end of the connection."""
    BROKEN = "broken"
    """With a reset, a timeout or invalid bytes, or without a head."""


class Content(enum.Enum):
    """What the body shows of its own end."""

    OPAQUE = "opaque"
    """Nothing: it is not a stream of events."""
    NO_EVENT = "no_event"
    """It is a stream of events that has none yet."""
    WHOLE_EVENTS = "whole_events"
    PARTIAL_EVENT = "partial_event"
    """Its last event, or its JSON value, has no end."""
    MARKED_END = "marked_end"
    """Its last event, or its JSON value, marks the end."""


class Evidence(enum.Enum):
    """What a new connection shows of a process whose connection has ended."""

    ALIVE = "alive"
    TERMINATED = "terminated"
    NONE = "none"


class Outcome(enum.Enum):
    """What is known about an answer that has ended."""

    COMPLETE = "complete"
    BROKEN_OFF = "broken_off"
    UNKNOWN = "unknown"
    """Its process may have ended the connection by a crash."""


def decide(framing: Framing, ending: Ending, content: Content) -> Outcome:
    """Decide whether an answer is complete."""
    if ending is Ending.BROKEN or content is Content.PARTIAL_EVENT:
        return Outcome.BROKEN_OFF
    if ending is Ending.FRAMED:
        return Outcome.COMPLETE
    if framing is not Framing.CONNECTION or content is Content.NO_EVENT:
        return Outcome.BROKEN_OFF
    return Outcome.COMPLETE if content is Content.MARKED_END else Outcome.UNKNOWN


def decide_by_evidence(evidence: Evidence, *, may_have_been_stopped: bool) -> Outcome:
    """Decide whether an answer is complete whose end alone shows nothing.

    A process that went on after it ended the connection ended the answer, too, unless it was
    ordered to.

    :param may_have_been_stopped: whether an order to stop the run may have arrived before.
    """
    match evidence:
        case Evidence.ALIVE:
            return Outcome.UNKNOWN if may_have_been_stopped else Outcome.COMPLETE
        case Evidence.TERMINATED:
            return Outcome.BROKEN_OFF
        case Evidence.NONE:
            return Outcome.UNKNOWN


def get_body_content(
    framing: Framing | None, parts: Sequence[bytes], headers: Sequence[tuple[str, str]]
) -> Content:
    """Return what a buffered body shows of its end, if its framing does not show it.

    A whole JSON object or array shows its own end, and the beginning of one that it was cut.

    :param headers: headers of the answer, with names in lower case.
    """
    if framing is not Framing.CONNECTION:
        return Content.OPAQUE
    body = b"".join(parts)
    if not body.lstrip().startswith((b"{", b"[")):
        return Content.OPAQUE
    try:
        json.loads(body)
    except ValueError as error:
        content_type = dict(headers).get(_CONTENT_TYPE, "")
        is_cut = _JSON in content_type.lower() and _is_cut(error)
        return Content.PARTIAL_EVENT if is_cut else Content.OPAQUE
    return Content.MARKED_END


def _is_cut(error: ValueError) -> bool:
    """Return whether a JSON text is invalid only because its end is missing."""
    if isinstance(error, UnicodeDecodeError):
        return error.reason == "unexpected end of data"
    if not isinstance(error, json.JSONDecodeError):
        return False
    if error.msg.startswith("Unterminated string"):
        return True
    rest = error.doc[error.pos :].strip()
    if error.msg.startswith("Invalid \\uXXXX"):
        return len(rest) < _ESCAPE_LENGTH
    return any(token.startswith(rest) for token in _TOKENS)


def get_framing(
    status: int, headers: Sequence[tuple[str, str]], *, has_no_body: bool = False
) -> Framing:
    """Return the framing of an answer.

    :param headers: headers of the answer; names are in lower case.
    :param has_no_body: whether the request was one whose answer has no body.
    """
    if has_no_body or status in _NO_BODY_STATUSES:
        return Framing.NO_BODY
    values = [value for name, value in headers if name == "transfer-encoding"]
    codings = [item.strip().lower() for value in values for item in value.split(",")]
    if codings == [_CHUNKED]:
        return Framing.CHUNKED
    if codings and codings != [_IDENTITY]:
        return Framing.INVALID
    if not codings and any(name == "content-length" for name, _ in headers):
        return Framing.LENGTH
    return Framing.CONNECTION
