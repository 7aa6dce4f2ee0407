"""Messages between spoolhead's processes, and their encoding.

A message is encoded as a msgpack array: its tag, then its fields in order. Each class lists its
fields with their types; messages with other types are refused. Values of rows are sent as plain
maps.
"""

import dataclasses
import typing

import msgpack

from spoolhead._internal.models import codes
from spoolhead._internal.network import route_messages
from spoolhead.coordination import consensus_messages

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
MAX_HANDSHAKE_BYTES = 16_384
"""Maximum number of bytes that a process may send before it has proved the shared key."""


class MessageError(Exception):
    """Raised when bytes from another process are not a message of this protocol."""


def _message(cls: type) -> type:
    return dataclasses.dataclass(slots=True, kw_only=True)(cls)


@_message
class Challenge:
    """First message of the accepting side.

    :ivar protocol: version of this protocol.
    :ivar nonce: random bytes for the connecting side to sign.
    """

    protocol: int
    nonce: bytes


@_message
class Hello:
    """First message of the connecting side.

    :ivar role: ``entry`` or ``operator``.
    :ivar name: name of the connecting process.
    :ivar nonce: random bytes for the accepting side to sign.
    :ivar proof: HMAC of the challenge's nonce, this nonce, the role and the name.
    """

    role: str
    name: str
    nonce: bytes
    proof: bytes


@_message
class Welcome:
    """Answer to a valid hello; proves that the accepting side knows the shared key too.

    :ivar name: name of the accepting process.
    :ivar proof: HMAC of the hello's nonce and the name.
    """

    name: str
    proof: bytes


@_message
class Heartbeat:
    """Sent at intervals, so that the other side detects a broken connection."""


@_message
class Follow:
    """An entry subscribes to the table and its changes.

    :ivar log_id: id of the log that its copy of the table comes from; empty for none.
    :ivar version: version of that copy.
    """

    log_id: str
    version: int


@_message
class Snapshot:
    """The complete table.

    :ivar log_id: id of the keeper's log.
    :ivar version: version of the table.
    :ivar rows: for each row its sheet, name, version and value.
    """

    log_id: str
    version: int
    rows: list


@_message
class ChangeMade:
    """A committed change of the table.

    :ivar log_id: id of the keeper's log.
    :ivar change: the packed change.
    """

    log_id: str
    change: list


@_message
class InForce:
    """An entry reports the version of the table that is in force there.

    :ivar version: the version.
    """

    version: int


@_message
class Current:
    """Confirms to a follower that it has received the newest version.

    :ivar version: the version.
    """

    version: int


@_message
class Introduce:
    """An entry sends its location to its keeper.

    :ivar hall: hall of the entry.
    :ivar address: ``IP:PORT`` where the other entries of the hall can reach it.
    """

    hall: str
    address: str


@_message
class Members:
    """The entries that follow the table.

    :ivar entries: for each entry its name, hall and address.
    """

    entries: list


@_message
class Reports:
    """Load reports that an entry has fetched, sent to the other entries of its hall.

    :ivar items: for each upstream its name, running and waiting requests, used and total tokens,
        preemptions, and the age of the report in milliseconds.
    """

    items: list


@_message
class Contents:
    """Records of contents that may crash upstreams; sent by entries and by keepers.

    :ivar items: the records, packed by :mod:`spoolhead._internal.models.content_record`.
    """

    items: list


@_message
class HoldContent:
    """An operator's order to hold a content or to release it.

    :ivar request: number that the answer repeats.
    :ivar content_id: id of the content.
    :ivar is_held: True to hold the content, False to release it.
    """

    request: int
    content_id: bytes
    is_held: bool


@_message
class GetContents:
    """An operator's request for the records of contents that may crash upstreams.

    :ivar request: number that the answer repeats.
    """

    request: int


@_message
class ContentsAnswer:
    """Answer to :class:`GetContents`.

    :ivar request: number of the question.
    :ivar items: the records that the keeper has, as in :class:`Contents`.
    """

    request: int
    items: list


@_message
class Propose:
    """An operator's edit.

    :ivar request: number that the answer repeats.
    :ivar edit_id: id of the edit; the same in each retry.
    :ivar author: author of the edit.
    :ivar time_ms: Unix time of the edit, in milliseconds since 1970.
    :ivar edits: packed row edits.
    """

    request: int
    edit_id: str
    author: str
    time_ms: int
    edits: list


@_message
class ProposeAnswer:
    """Answer to :class:`Propose`.

    :ivar request: number of the question.
    :ivar code: result code.
    :ivar version: version of the change if it was accepted, else of the table.
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
    """An operator's request for the table.

    :ivar request: number that the answer repeats.
    """

    request: int


@_message
class TableAnswer:
    """Answer to :class:`GetTable`: the complete table, as in :class:`Snapshot`.

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
    """An operator's request for the latest changes.

    :ivar request: number that the answer repeats.
    :ivar limit: maximum number of changes.
    """

    request: int
    limit: int


@_message
class HistoryAnswer:
    """Answer to :class:`GetHistory`.

    :ivar request: number of the question.
    :ivar changes: packed changes, newest first.
    """

    request: int
    changes: list


@_message
class GetStatus:
    """An operator's request for the status of a process.

    :ivar request: number that the answer repeats.
    """

    request: int


@_message
class StatusAnswer:
    """Answer to :class:`GetStatus`.

    :ivar request: number of the question.
    :ivar status: status fields by name, for people and scripts.
    """

    request: int
    status: dict


@_message
class GetDecision:
    """An operator's request for an entry's decisions on a caller's request.

    :ivar request: number that the answer repeats.
    :ivar request_id: id of the caller's request.
    """

    request: int
    request_id: str


@_message
class DecisionAnswer:
    """Answer to :class:`GetDecision`.

    :ivar request: number of the question.
    :ivar decisions: fields of each decision by name, oldest first; empty if the entry has none on
        record.
    """

    request: int
    decisions: list


@_message
class ClaimOnce:
    """An entry claims a request that may run only once, before it runs it.

    :ivar request: number that the answer repeats.
    :ivar key: the caller's idempotency key, made unique to its workspace and service.
    :ivar fingerprint: digest of the request.
    """

    request: int
    key: str
    fingerprint: bytes


@_message
class ClaimAnswer:
    """Answer to :class:`ClaimOnce`.

    :ivar request: number of the question.
    :ivar state: value of :class:`spoolhead.coordination.once_journal.ClaimState`, or ``failed``.
    :ivar status: HTTP status of the stored answer; 0 for none.
    :ivar content_type: Content-Type of the stored answer.
    :ivar body: body of the stored answer.
    """

    request: int
    state: str
    status: int
    content_type: str
    body: bytes


@_message
class FinishOnce:
    """An entry reports the end of a claimed request.

    :ivar key: key of the claim.
    :ivar ran: whether the request ran: ``yes``, ``no`` or ``unknown``; ``no`` releases the key.
    :ivar status: HTTP status of the answer; 0 if it is not to be stored.
    :ivar content_type: Content-Type of the answer.
    :ivar body: body of the answer.
    """

    key: str
    ran: str
    status: int
    content_type: str
    body: bytes


@_message
class FinishNoted:
    """Acknowledges a :class:`FinishOnce` that is durable, so the entry need not send it again.

    :ivar key: key of the claim.
    """

    key: str


Message = object

# Types of fields must be plain classes, since values are checked with isinstance.
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
    """Return the encoded form of a message."""
    cls = type(message)
    fields = [getattr(message, name) for name in _FIELDS[cls]]
    return msgpack.packb([_TAGS[cls], *fields])


def decode(value: object) -> Message:
    """Return the message that an unpacked array encodes.

    :raises MessageError: if it is not a message of this protocol.
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
    """Incremental decoder for a stream of messages."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES, strict_map_key=True)

    def feed(self, data: bytes) -> list[Message]:
        """Add bytes and return the messages that they complete.

        :raises MessageError: if the bytes are not of this protocol; the stream must then be
            closed.
        """
        try:
            self._unpacker.feed(data)
            return [decode(value) for value in self._unpacker]
        except (ValueError, msgpack.UnpackException) as error:
            raise MessageError(str(error) or type(error).__name__) from error


def get_code(value: int) -> codes.ResultCode:
    """Return the result code for a number; ``PEER_PROTOCOL`` if there is none."""
    try:
        return codes.ResultCode(value)
    except ValueError:
        return codes.ResultCode.PEER_PROTOCOL
