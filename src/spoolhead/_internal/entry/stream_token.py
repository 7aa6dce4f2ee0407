"""Tokens by which a caller goes on with its own generation through any entry.

A token names the workspace, the service, the upstream and the generation, and is signed with
the fleet's shared key. So no entry needs to remember it, and nobody else's token will do.
"""

import base64
import binascii
import hashlib
import hmac

import msgpack

_SIGNATURE_BYTES = 16


class StreamToken:
    """Content of a token.

    :ivar workspace: workspace whose answer it is.
    :ivar service: model.
    :ivar upstream: upstream that runs the generation.
    :ivar generation: id of the generation there.
    """

    __slots__ = ("generation", "service", "upstream", "workspace")

    def __init__(self, *, workspace: str, service: str, upstream: str, generation: str) -> None:
        self.workspace = workspace
        self.service = service
        self.upstream = upstream
        self.generation = generation


def make_token(shared_key: str, content: StreamToken) -> str:
    """Return a token as text that fits a path."""
    fields = [content.workspace, content.service, content.upstream, content.generation]
    payload = msgpack.packb(fields)
    data = _sign(shared_key, payload) + payload
    return base64.urlsafe_b64encode(data).decode("ascii").rstrip("=")


def parse_token(shared_key: str, text: str) -> StreamToken | None:
    """Return a token's content, or None for one that this fleet has not made."""
    try:
        data = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return None
    signature, payload = data[:_SIGNATURE_BYTES], data[_SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(shared_key, payload)):
        return None
    workspace, service, upstream, generation = msgpack.unpackb(payload)
    return StreamToken(
        workspace=workspace, service=service, upstream=upstream, generation=generation
    )


def _sign(shared_key: str, payload: bytes) -> bytes:
    digest = hmac.new(shared_key.encode(), b"stream-token" + payload, hashlib.sha256)
    return digest.digest()[:_SIGNATURE_BYTES]
