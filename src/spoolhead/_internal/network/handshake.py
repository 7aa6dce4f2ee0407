"""Proof of the shared key at the start of a connection between spoolhead's processes.

Each side signs the other's random bytes with HMAC-SHA-256. The key never travels, and an old
exchange cannot be played again. The rest of the stream is neither hidden nor signed: it is for
networks where others can connect but not alter packets.
"""

import hashlib
import hmac

from spoolhead._internal.network import messages

NONCE_BYTES = 16


def make_hello(
    shared_key: str, challenge: messages.Challenge, *, role: str, name: str, nonce: bytes
) -> messages.Hello:
    """Answer a challenge.

    :param nonce: fresh random bytes.
    """
    proof = _sign(shared_key, b"hello", challenge.nonce, nonce, role.encode(), name.encode())
    return messages.Hello(role=role, name=name, nonce=nonce, proof=proof)


def check_hello(shared_key: str, nonce: bytes, hello: messages.Hello) -> bool:
    """Tell whether a hello proves the shared key for the nonce it was sent."""
    parts = (nonce, hello.nonce, hello.role.encode(), hello.name.encode())
    return hmac.compare_digest(_sign(shared_key, b"hello", *parts), hello.proof)


def make_welcome(shared_key: str, hello: messages.Hello, name: str) -> messages.Welcome:
    """Answer a hello that was right."""
    proof = _sign(shared_key, b"welcome", hello.nonce, name.encode())
    return messages.Welcome(name=name, proof=proof)


def check_welcome(shared_key: str, nonce: bytes, welcome: messages.Welcome) -> bool:
    """Tell whether a welcome proves the shared key for the nonce it was sent."""
    proof = _sign(shared_key, b"welcome", nonce, welcome.name.encode())
    return hmac.compare_digest(proof, welcome.proof)


def _sign(shared_key: str, *parts: bytes) -> bytes:
    digest = hmac.new(shared_key.encode(), digestmod=hashlib.sha256)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()
