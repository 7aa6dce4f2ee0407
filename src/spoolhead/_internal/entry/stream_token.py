"""Signed tokens with which a caller resumes its own generation through any entry.

A token contains the workspace, service, upstream and generation, and is signed with the fleet's
shared key. Entries therefore store no tokens, and callers cannot forge them.
"""

import base64
import binascii
import hashlib
import hmac

import msgpack

_SIGNATURE_BYTES = 16


class StreamToken:
    """Content of a token.

    :ivar workspace: workspace that owns the answer.
    :ivar service: name of the model.
    :ivar upstream: name of the upstream that runs the generation.
    :ivar generation: id of the generation at the upstream.
    """

    __slots__ = ("generation", "service", "upstream", "workspace")

    def __init__(self, *, workspace: str, service: str, upstream: str, generation: str) -> None:
        self.workspace = workspace
        self.service = service
        self.upstream = upstream
        self.generation = generation


def make_token(shared_key: str, content: StreamToken) -> str:
    """Return a signed token as text that is safe in a URL path."""
    fields = [content.workspace, content.service, content.upstream, content.generation]
    payload = msgpack.packb(fields)
    data = _sign(shared_key, payload) + payload
    return base64.urlsafe_b64encode(data).decode("ascii").rstrip("=")


def parse_token(shared_key: str, text: str) -> StreamToken | None:
    """Return a token's content, or None if it was not signed with this fleet's key."""
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
