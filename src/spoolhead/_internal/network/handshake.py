"""Mutual authentication with a shared key at the start of a connection between processes.

Each side signs the other's nonce with HMAC-SHA-256. The key is never sent, and an old exchange
cannot be replayed. The rest of the stream is neither encrypted nor signed: it is meant for networks
where others can connect but cannot modify packets.
"""

import hashlib
import hmac

from spoolhead._internal.network import messages

NONCE_BYTES = 16


def make_hello(
    shared_key: str, challenge: messages.Challenge, *, role: str, name: str, nonce: bytes
) -> messages.Hello:
    """Return the answer to a challenge.

    :param nonce: fresh random bytes for the accepting side to sign.
    """
    proof = _sign(shared_key, b"hello", challenge.nonce, nonce, role.encode(), name.encode())
    return messages.Hello(role=role, name=name, nonce=nonce, proof=proof)


def check_hello(shared_key: str, nonce: bytes, hello: messages.Hello) -> bool:
    """Return whether a hello proves knowledge of the shared key.

    :param nonce: nonce of the challenge that it answers.
    """
    parts = (nonce, hello.nonce, hello.role.encode(), hello.name.encode())
    return hmac.compare_digest(_sign(shared_key, b"hello", *parts), hello.proof)


def make_welcome(shared_key: str, hello: messages.Hello, name: str) -> messages.Welcome:
    """Return the answer to a valid hello."""
    proof = _sign(shared_key, b"welcome", hello.nonce, name.encode())
    return messages.Welcome(name=name, proof=proof)


def check_welcome(shared_key: str, nonce: bytes, welcome: messages.Welcome) -> bool:
    """Return whether a welcome proves knowledge of the shared key.

    :param nonce: nonce of the hello that it answers.
    """
    proof = _sign(shared_key, b"welcome", nonce, welcome.name.encode())
    return hmac.compare_digest(proof, welcome.proof)


def _sign(shared_key: str, *parts: bytes) -> bytes:
    digest = hmac.new(shared_key.encode(), digestmod=hashlib.sha256)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()
