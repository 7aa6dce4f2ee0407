"""Kinds of records in the keeper's log, and their serialization."""

import enum
from collections.abc import Sequence

import msgpack

from spoolhead.coordination import once_journal, versioned_table


class RecordKind(enum.IntEnum):
    """Kind of a record; the first element of its serialized form."""

    LOG_ID = 1
    CHANGE = 2
    CLAIM = 3
    FINISH = 4
    RELEASE = 5


def make_log_id(log_id: str) -> bytes:
    """Return the record of the log's id, which is the first record of a log."""
    return msgpack.packb([RecordKind.LOG_ID, log_id])


def make_change(change: versioned_table.Change) -> bytes:
    """Return the record of an accepted change."""
    return msgpack.packb([RecordKind.CHANGE, change.pack()])


def make_claim(key: str, fingerprint: bytes, owner: str, time_ms: int) -> bytes:
    """Return the record of a granted claim."""
    return msgpack.packb([RecordKind.CLAIM, key, fingerprint, owner, time_ms])


def make_finish(key: str, owner: str, outcome: once_journal.Outcome | None) -> bytes:
    """Return the record of the end of a claimed request."""
    packed = None if outcome is None else [outcome.status, outcome.content_type, outcome.body]
    return msgpack.packb([RecordKind.FINISH, key, owner, packed])


def make_release(key: str, owner: str) -> bytes:
    """Return the record of a released claim, whose request was not run."""
    return msgpack.packb([RecordKind.RELEASE, key, owner])


def parse(payload: bytes) -> Sequence[object]:
    """Return the elements of a record; the first is its kind.

    :raises ValueError: if the payload is not a record of this program.
    """
    elements = msgpack.unpackb(payload)
    if not isinstance(elements, list) or not elements:
        raise ValueError("a record must be a list that begins with its kind")
    return [RecordKind(elements[0]), *elements[1:]]


def parse_outcome(packed: Sequence[object] | None) -> once_journal.Outcome | None:
    """Return the outcome from its serialized form."""
    return None if packed is None else once_journal.Outcome(*packed)
