"""Record framing and checksums of an append-only log, and the detection of damage.

A record consists of ``length`` (4 bytes), ``checksum`` (8 bytes, xxh3-64 over the length and the
payload) and the payload; integers are little-endian. The module opens no file: the caller appends
the result of :func:`make_record`, syncs the file, and only then acknowledges the write.
"""

import struct

import xxhash

_HEADER = struct.Struct("<IQ")
_LENGTH = struct.Struct("<I")
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024


class Scan:
    """Result of reading a log.

    :ivar payloads: payload of each valid record, in order.
    :ivar good_bytes: length of the prefix that holds the valid records.
    :ivar torn: whether the rest is an incomplete last write; nothing in it was acknowledged.
    :ivar damage: description of the damage, if the rest is damaged rather than an incomplete write;
        None otherwise.
    """

    __slots__ = ("damage", "good_bytes", "payloads", "torn")

    def __init__(self) -> None:
        self.payloads: list[bytes] = []
        self.good_bytes = 0
        self.torn = False
        self.damage: str | None = None


def make_record(payload: bytes) -> bytes:
    """Frame one payload as a record.

    :param payload: 1 to :data:`MAX_PAYLOAD_BYTES` bytes.
    :raises ValueError: if the payload's size is out of bounds.
    """
    if not 0 < len(payload) <= MAX_PAYLOAD_BYTES:
        raise ValueError(f"a record of {len(payload)} bytes is out of bounds")
    return _HEADER.pack(len(payload), _get_checksum(payload)) + payload


def scan(data: bytes) -> Scan:
    """Read all records of a log.

    A crash between write and sync leaves a record that is shorter than its length field says, or
    zeros where the file grew before its content was written. Both count as a torn write. A complete
    record whose checksum does not match is damage: it may have been acknowledged.

    :param data: content of the whole file.
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
    # A corrupt length field can make a record in the middle look cut short. Truncating the log
    # there would remove all acknowledged records after it, so a valid record further on means
    # damage.
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
