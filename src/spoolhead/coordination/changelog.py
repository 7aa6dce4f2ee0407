"""Records of an append-only log: framing, checksums, and what a damaged file means.

A record is ``length`` (4 bytes), ``checksum`` (8 bytes, xxh3-64 over the length and the
payload) and the payload, integers little-endian. The module holds no file: a caller appends
what :func:`make_record` returns, syncs, and only then acknowledges.
"""

import struct

import xxhash

_HEADER = struct.Struct("<IQ")
_LENGTH = struct.Struct("<I")
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024


class Scan:
    """What a log's bytes hold.

    :ivar payloads: payload of each good record, in order.
    :ivar good_bytes: length of the part that holds those records.
    :ivar torn: the rest is a last write that was cut short; nothing in it was acknowledged.
    :ivar damage: why the rest is not a torn write but damage; None where it is not.
    """

    __slots__ = ("damage", "good_bytes", "payloads", "torn")

    def __init__(self) -> None:
        self.payloads: list[bytes] = []
        self.good_bytes = 0
        self.torn = False
        self.damage: str | None = None


def make_record(payload: bytes) -> bytes:
    """Frame one payload.

    :param payload: at most :data:`MAX_PAYLOAD_BYTES` bytes, at least one.
    :raises ValueError: if its size is out of bounds.
    """
    if not 0 < len(payload) <= MAX_PAYLOAD_BYTES:
        raise ValueError(f"a record of {len(payload)} bytes is out of bounds")
    return _HEADER.pack(len(payload), _get_checksum(payload)) + payload


def scan(data: bytes) -> Scan:
    """Read every record of a log.

    A crash between write and sync leaves a record that stops short of its length, or zeros
    where the file grew before its content arrived. Both are a torn write. A record that is all
    there but does not fit its checksum is damage: it may have been acknowledged.

    :param data: the whole file.
    """
    result = Scan()
    offset = 0
    while offset < len(data):
        if len(data) - offset < _HEADER.size:
            result.torn = True
            break
        length, checksum = _HEADER.unpack_from(data, offset)
        if length == 0 and not data[offset:].strip(b"\0"):
            result.torn = True
            break
        if not 0 < length <= MAX_PAYLOAD_BYTES:
            result.damage = f"a record claims {length} bytes"
            break
        payload = data[offset + _HEADER.size : offset + _HEADER.size + length]
        if len(payload) < length:
            _classify_short_record(result, data, offset)
            break
        if _get_checksum(payload) != checksum:
            _classify_bad_checksum(
                result, payload, is_last=offset + _HEADER.size + length == len(data)
            )
            break
        result.payloads.append(payload)
        offset += _HEADER.size + length
        result.good_bytes = offset
    return result


def _classify_short_record(result: Scan, data: bytes, offset: int) -> None:
    # A rotten length field makes a record in the middle look cut short, and cutting there
    # would drop every acknowledged record behind it. So a good record further on means damage.
    for start in range(offset + 1, len(data) - _HEADER.size):
        length, checksum = _HEADER.unpack_from(data, start)
        end = start + _HEADER.size + length
        if length > 0 and end <= len(data):
            payload = data[start + _HEADER.size : end]
            if _get_checksum(payload) == checksum:
                result.damage = f"a good record follows at byte {start}"
                return
    result.torn = True


def _classify_bad_checksum(result: Scan, payload: bytes, *, is_last: bool) -> None:
    if is_last and payload.endswith(b"\0" * min(len(payload), 512)):
        result.torn = True
        return
    result.damage = "a record does not fit its checksum"


def _get_checksum(payload: bytes) -> int:
    digest = xxhash.xxh3_64(_LENGTH.pack(len(payload)))
    digest.update(payload)
    return digest.intdigest()
