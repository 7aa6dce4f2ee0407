"""Binary deltas between two versions of a document. Performs no I/O.

A document is split into pieces after each separator between the entries of its lists. A delta
refers to pieces of the old version by their indexes and contains all other bytes. A change to one
entry among thousands thus takes a few hundred bytes.
"""

import msgpack
import xxhash

SEPARATOR = b"},"
"""End of an entry in a list of JSON objects. Other documents have fewer, longer pieces."""


def get_digest(document: bytes) -> int:
    """Return a 64-bit hash of a document."""
    return xxhash.xxh3_64(document).intdigest()


def make(old: bytes, new: bytes) -> bytes:
    """Return the delta from one document to another.

    It holds the digest of the new document and a list of literal pieces and ranges
    ``[index, count]`` of pieces of the old document.
    """
    indexes: dict[bytes, int] = {}
    for index, piece in enumerate(_split(old)):
        indexes.setdefault(piece, index)
    parts: list[bytes | list[int]] = []
    for piece in _split(new):
        index = indexes.get(piece)
        if index is None:
            parts.append(piece)
        elif parts and isinstance(parts[-1], list) and parts[-1][0] + parts[-1][1] == index:
            parts[-1][1] += 1
        else:
            parts.append([index, 1])
    return msgpack.packb([get_digest(new), parts])


def apply(old: bytes, delta: bytes) -> bytes:
    """Return the new document.

    :raises ValueError: if the delta is damaged or was made from a different old document.
    """
    try:
        digest, parts = msgpack.unpackb(delta)
        pieces = _split(old)
        chunks: list[bytes] = []
        for part in parts:
            if isinstance(part, bytes):
                chunks.append(part)
            else:
                first, count = part
                chunks.extend(pieces[first : first + count])
        new = b"".join(chunks)
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError(f"delta cannot be decoded: {error}") from error
    if get_digest(new) != digest:
        raise ValueError("delta was made from a different document")
    return new


def _split(document: bytes) -> list[bytes]:
    pieces = document.split(SEPARATOR)
    return [piece + SEPARATOR for piece in pieces[:-1]] + pieces[-1:]
