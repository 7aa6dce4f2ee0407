"""Computes the id of a request's content, which does not depend on the caller or the request id."""

import hashlib
from typing import Protocol

DIGEST_BYTES = 16
"""Size of a content id: collisions are practically impossible, even if a caller tries to construct
one with another caller's request."""


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
    for text in (request.method, host, request.target, workspace):
        part = text.encode()
        # The length prefix keeps different splits of the same bytes apart.
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(request.body)
    return digest.digest()
