"""Messages between spoolhead's own processes, and their form on the wire.

A message is a msgpack array: its tag, then its fields in order. Each class lists its fields
with their types; what does not fit them is refused. Values of rows travel as plain maps.
"""

import dataclasses
import typing

import msgpack

from spoolhead._internal.models import codes
from spoolhead._internal.network import route_messages
from spoolhead.coordination import consensus_messages

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 64 * 1024 * 1024


class MessageError(Exception):
    """Raised when bytes of another process are not a message of this protocol."""


def _message(cls: type) -> type:
    return dataclasses.dataclass(slots=True, kw_only=True)(cls)


@_message
class Challenge:
    """First message of the accepting side: what the other side must sign.

    :ivar protocol: version of this protocol.
    :ivar nonce: random bytes.
    """

    protocol: int
    nonce: bytes


@_message
class Hello:
    """First message of the connecting side.

    :ivar role: ``entry`` or ``operator``.
    :ivar name: its name.
    :ivar nonce: random bytes for the accepting side to sign.
    :ivar proof: keyed digest of the challenge's nonce, the role and the name.
    """

    role: str
    name: str
    nonce: bytes
    proof: bytes


@_message
class Welcome:
    """The accepting side knows the shared key too.

    :ivar name: its name.
    :ivar proof: keyed digest of the hello's nonce and the name.
    """

    name: str
    proof: bytes


@_message
class Heartbeat:
    """Sent when there was nothing else to send for a while."""


@_message
class Follow:
    """An entry asks for the table and every change to come.

    :ivar log_id: log of the copy that it has; empty for none.
    :ivar version: version of that copy.
    """

    log_id: str
    version: int


@_message
class Snapshot:
    """The whole table.

    :ivar log_id: id of the keeper's log.
    :ivar version: version of the table.
    :ivar rows: for each row its sheet, name, version and value.
    """

    log_id: str
    version: int
    rows: list


@_message
class ChangeMade:
    """One accepted change.

    :ivar log_id: id of the keeper's log.
    :ivar change: the packed change.
    """

    log_id: str
    change: list


@_message
class InForce:
    """An entry has a version in force.

    :ivar version: that version.
    """

    version: int


@_message
class Current:
    """The follower has the newest version.

    :ivar version: that version.
    """

    version: int


@_message
class Introduce:
    """An entry tells its keeper where it stands.

    :ivar hall: its hall.
    :ivar address: ``IP:PORT`` at which its neighbours reach it.
    """

    hall: str
    address: str


@_message
class Members:
    """The entries that follow the table.

    :ivar entries: for each its name, hall and address.
    """

    entries: list


@_message
class Reports:
    """Load reports that an entry has fetched, for its neighbours in the hall.

    :ivar items: for each upstream its name, running, waiting, tokens used, tokens in all,
        preemptions, and the report's age in milliseconds.
    """

    items: list


@_message
class Contents:
    """Records of contents that may end upstreams; between an entry and a keeper, either way.

    :ivar items: the records, packed by :mod:`spoolhead._internal.models.content_record`.
    """

    items: list


@_message
class HoldContent:
    """An operator has a content held, or lets it go.

    :ivar request: number that the answer repeats.
    :ivar content_id: name of the content.
    :ivar is_held: it is to be held.
    """

    request: int
    content_id: bytes
    is_held: bool


@_message
class GetContents:
    """An operator asks for the records of contents that may end upstreams.

    :ivar request: number that the answer repeats.
    """

    request: int


@_message
class ContentsAnswer:
    """The records that a keeper knows.

    :ivar request: number of the question.
    :ivar items: the records, as in :class:`Contents`.
    """

    request: int
    items: list


@_message
class Propose:
    """An operator's edit.

    :ivar request: number that the answer repeats.
    :ivar edit_id: the same in every resend.
    :ivar author: who makes the edit.
    :ivar time_ms: when, in milliseconds since 1970.
    :ivar edits: packed row edits.
    """

    request: int
    edit_id: str
    author: str
    time_ms: int
    edits: list


@_message
class ProposeAnswer:
    """What became of an edit.

    :ivar request: number of the question.
    :ivar code: result code.
    :ivar version: version of the change where it was accepted, else of the table.
    :ivar faults: for each fault its path and text.
    :ivar conflicts: for each changed row its sheet, name, version and value.
    """

    request: int
    code: int
    version: int
    faults: list
    conflicts: list


@_message
class GetTable:
    """An operator asks for the rows.

    :ivar request: number that the answer repeats.
    """

    request: int


@_message
class TableAnswer:
    """The rows, as in :class:`Snapshot`.

    :ivar request: number of the question.
    :ivar log_id: id of the keeper's log.
    :ivar version: version of the table.
    :ivar rows: for each row its sheet, name, version and value.
    """

    request: int
    log_id: str
    version: int
    rows: list


@_message
class GetHistory:
    """An operator asks for the last changes.

    :ivar request: number that the answer repeats.
    :ivar limit: how many at most.
    """

    request: int
    limit: int


@_message
class HistoryAnswer:
    """Changes, newest first.

    :ivar request: number of the question.
    :ivar changes: packed changes.
    """

    request: int
    changes: list


@_message
class GetStatus:
    """An operator asks a process how it is.

    :ivar request: number that the answer repeats.
    """

    request: int


@_message
class StatusAnswer:
    """How a process is.

    :ivar request: number of the question.
    :ivar status: fields by name, for people and scripts.
    """

    request: int
    status: dict


@_message
class GetDecision:
    """An operator asks an entry why it decided as it did.

    :ivar request: number that the answer repeats.
    :ivar request_id: id of the caller's request.
    """

    request: int
    request_id: str


@_message
class DecisionAnswer:
    """The decisions on one request; none if the entry remembers none.

    :ivar request: number of the question.
    :ivar decisions: fields of each decision by name, oldest first.
    """

    request: int
    decisions: list


@_message
class ClaimOnce:
    """An entry asks to run a request that may run only once.

    :ivar request: number that the answer repeats.
    :ivar key: the sender's key, unique to its workspace and service.
    :ivar fingerprint: digest of the request.
    """

    request: int
    key: str
    fingerprint: bytes


@_message
class ClaimAnswer:
    """What became of a claim.

    :ivar request: number of the question.
    :ivar state: value of :class:`spoolhead.coordination.once_journal.ClaimState`, or ``failed``.
    :ivar status: HTTP status of the kept answer; 0 for none.
    :ivar content_type: its Content-Type.
    :ivar body: its body.
    """

    request: int
    state: str
    status: int
    content_type: str
    body: bytes


@_message
class FinishOnce:
    """An entry reports the end of a claimed request.

    :ivar key: the key.
    :ivar ran: ``yes``, ``no`` or ``unknown``; ``no`` gives the key back.
    :ivar status: HTTP status of the answer; 0 where it is not kept.
    :ivar content_type: its Content-Type.
    :ivar body: its body.
    """

    key: str
    ran: str
    status: int
    content_type: str
    body: bytes


@_message
class FinishNoted:
    """The end of a claimed request is durable, so the entry need not report it again.

    :ivar key: the key.
    """

    key: str


Message = object

# Fields are checked with isinstance, so their types must be plain classes.
CLASSES: dict[int, type] = {
    1: Challenge,
    2: Hello,
    3: Welcome,
    4: Heartbeat,
    10: Follow,
    11: Snapshot,
    12: ChangeMade,
    13: InForce,
    14: Current,
    15: Members,
    16: Introduce,
    17: Reports,
    18: Contents,
    20: Propose,
    21: ProposeAnswer,
    22: GetTable,
    23: TableAnswer,
    24: GetHistory,
    25: HistoryAnswer,
    26: HoldContent,
    27: GetContents,
    28: ContentsAnswer,
    30: GetStatus,
    31: StatusAnswer,
    32: GetDecision,
    33: DecisionAnswer,
    40: ClaimOnce,
    41: ClaimAnswer,
    42: FinishOnce,
    43: FinishNoted,
    **route_messages.CLASSES,
    **consensus_messages.CLASSES,
}
_TAGS = {cls: tag for tag, cls in CLASSES.items()}
_FIELDS = {cls: typing.get_type_hints(cls) for cls in CLASSES.values()}


def encode(message: Message) -> bytes:
    """Return a message's bytes."""
    cls = type(message)
    fields = [getattr(message, name) for name in _FIELDS[cls]]
    return msgpack.packb([_TAGS[cls], *fields])


def decode(value: object) -> Message:
    """Make a message from an unpacked array.

    :raises MessageError: if it is none of this protocol.
    """
    if not isinstance(value, list) or not value or not isinstance(value[0], int):
        raise MessageError("not a message")
    cls = CLASSES.get(value[0])
    if cls is None:
        raise MessageError(f"unknown tag {value[0]}")
    fields = _FIELDS[cls]
    if len(fields) != len(value) - 1:
        raise MessageError(f"{cls.__name__} with {len(value) - 1} fields")
    for (name, kind), item in zip(fields.items(), value[1:], strict=True):
        if not isinstance(item, kind):
            raise MessageError(f"{cls.__name__}.{name} is a {type(item).__name__}")
    return cls(**dict(zip(fields, value[1:], strict=True)))


class MessageReader:
    """Cuts a stream of bytes into messages."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES, strict_map_key=True)

    def feed(self, data: bytes) -> list[Message]:
        """Take bytes and return the messages they complete.

        :raises MessageError: if they are not of this protocol; the stream is then useless.
        """
        try:
            self._unpacker.feed(data)
            return [decode(value) for value in self._unpacker]
        except (ValueError, msgpack.UnpackException) as error:
            raise MessageError(str(error) or type(error).__name__) from error


def get_code(value: int) -> codes.ResultCode:
    """Return the result code with a number; ``PEER_PROTOCOL`` for a number without one."""
    try:
        return codes.ResultCode(value)
    except ValueError:
        return codes.ResultCode.PEER_PROTOCOL
