"""The difference between two versions of a document, in bytes; no I/O.

A document is cut into pieces after a mark that stands between the entries of its lists. What the
newer version shares with the older one is named by the numbers of its pieces, the rest goes as it
is. So a change of one entry among thousands takes some hundred bytes.
"""

import msgpack
import xxhash

SEPARATOR = b"},"
"""End of an entry in a list of JSON objects; other documents make fewer, longer pieces."""


def get_digest(document: bytes) -> int:
    """Return a number that tells two documents apart."""
    return xxhash.xxh3_64(document).intdigest()


def make(old: bytes, new: bytes) -> bytes:
    """Return what turns one document into another."""
    numbers: dict[bytes, int] = {}
    for number, piece in enumerate(_cut(old)):
        numbers.setdefault(piece, number)
    parts: list[bytes | list[int]] = []
    for piece in _cut(new):
        number = numbers.get(piece)
        if number is None:
            parts.append(piece)
        elif parts and isinstance(parts[-1], list) and parts[-1][0] + parts[-1][1] == number:
            parts[-1][1] += 1
        else:
            parts.append([number, 1])
    return msgpack.packb([get_digest(new), parts])


def apply(old: bytes, delta: bytes) -> bytes:
    """Return the newer document.

    :raises ValueError: if the delta is damaged or was made from another document.
    """
    try:
        digest, parts = msgpack.unpackb(delta)
        pieces = _cut(old)
        made: list[bytes] = []
        for part in parts:
            if isinstance(part, bytes):
                made.append(part)
            else:
                first, count = part
                made.extend(pieces[first : first + count])
        new = b"".join(made)
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError(f"a delta cannot be read: {error}") from error
    if get_digest(new) != digest:
        raise ValueError("a delta was made from another document")
    return new


def _cut(document: bytes) -> list[bytes]:
    pieces = document.split(SEPARATOR)
    return [piece + SEPARATOR for piece in pieces[:-1]] + pieces[-1:]
