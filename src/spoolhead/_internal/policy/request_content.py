"""Names what a request asks, whoever sends it again and under whichever request id."""

import hashlib
from typing import Protocol

DIGEST_BYTES = 16
"""Size of a name: that two contents share one is as good as impossible, also if somebody tries to
have another's requests taken for his own."""


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
    """Return the name of a request's content.

    Requests of different workspaces never have the same content, so that nobody's request is
    judged by what another's did. Headers are left out: they change from one try to the next.

    :param request: the request.
    :param host: host that it is for.
    :param workspace: whose it is; empty on a route without keys.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (request.method, host, request.target, workspace):
        part = text.encode()
        # With its length, so that no part can be taken for the end of the one before.
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(request.body)
    return digest.digest()
