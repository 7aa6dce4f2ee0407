"""Computes the keys of a request, which do not depend on the request id."""

import hashlib
from collections.abc import Iterable
from typing import Protocol

DIGEST_BYTES = 16
"""Size of a content id: collisions are practically impossible, even if a caller tries to construct
one with another caller's request."""


MAX_PARTS = 128
"""Maximum number of parts of a prompt that get a key; further parts are left out."""


class ContentSource(Protocol):
    """A request.

    :ivar method: its method.
    :ivar target: path and query.
    :ivar body: its body.
    """

    method: str
    target: str
    body: bytes


def get_content_id(request: ContentSource, host: str, workspace: str) -> bytes:
    """Return the id of a request's content.

    Requests of different workspaces never share an id, so that a request is never held because of
    another workspace's request. Headers are left out: they change between attempts.

    :param request: the request.
    :param host: host that it is for.
    :param workspace: its workspace; empty on a route without keys.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(_pack_texts(request.method, host, request.target, workspace))
    digest.update(request.body)
    return digest.digest()


def get_part_keys(service: str, model: str, part_ids: Iterable[str]) -> dict[bytes, str]:
    """Return the keys of the parts of a prompt, and for each the id of its part.

    The same part has the same key in all workspaces: it is the same text for the same engines, and
    what one workspace's requests show about it holds for the others. It has another key at another
    service or model, whose engines may not crash.

    :param service: service whose engines run the request.
    :param model: name of the model.
    :param part_ids: ids of the parts that other requests may share.
    """
    prefix = _pack_texts(service, model)
    distinct_ids = list(dict.fromkeys(part_ids))[:MAX_PARTS]
    return {
        hashlib.blake2b(prefix + _pack_texts(part_id), digest_size=DIGEST_BYTES).digest(): part_id
        for part_id in distinct_ids
    }


def _pack_texts(*texts: str) -> bytes:
    """Return the bytes of some texts; a length prefix keeps different splits apart."""
    parts = [text.encode() for text in texts]
    return b"".join(len(part).to_bytes(4, "big") + part for part in parts)
