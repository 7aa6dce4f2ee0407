"""Kinds of records in the keeper's log and their bytes."""

import enum
from collections.abc import Sequence

import msgpack

from spoolhead.coordination import once_journal, versioned_table


class RecordKind(enum.IntEnum):
    """First element of each record."""

    LOG_ID = 1
    CHANGE = 2
    CLAIM = 3
    FINISH = 4
    RELEASE = 5


def make_log_id(log_id: str) -> bytes:
    """Record that names the log; its first."""
    return msgpack.packb([RecordKind.LOG_ID, log_id])


def make_change(change: versioned_table.Change) -> bytes:
    """Record of an accepted change."""
    return msgpack.packb([RecordKind.CHANGE, change.pack()])


def make_claim(key: str, fingerprint: bytes, owner: str, time_ms: int) -> bytes:
    """Record of a granted claim."""
    return msgpack.packb([RecordKind.CLAIM, key, fingerprint, owner, time_ms])


def make_finish(key: str, owner: str, outcome: once_journal.Outcome | None) -> bytes:
    """Record of a claimed request's end."""
    packed = None if outcome is None else [outcome.status, outcome.content_type, outcome.body]
    return msgpack.packb([RecordKind.FINISH, key, owner, packed])


def make_release(key: str, owner: str) -> bytes:
    """Record of a claim given back because its request was not run."""
    return msgpack.packb([RecordKind.RELEASE, key, owner])


def parse(payload: bytes) -> Sequence[object]:
    """Return a record's elements, its kind first.

    :raises ValueError: if it is not a record of this program.
    """
    elements = msgpack.unpackb(payload)
    if not isinstance(elements, list) or not elements:
        raise ValueError("not a record")
    return [RecordKind(elements[0]), *elements[1:]]


def parse_outcome(packed: Sequence[object] | None) -> once_journal.Outcome | None:
    """Make an outcome from its packed form."""
    return None if packed is None else once_journal.Outcome(*packed)
