"""Encoding of requests that one entry forwards to another.

A forwarded request is the body of an HTTP request on the peer port, signed with the shared key. The
answer is the caller's answer; if the other entry itself made it, a header states its result code
and whether the request has run.
"""

import dataclasses
import hashlib
import hmac
import struct

import msgpack

from spoolhead._internal.models import codes
from spoolhead._internal.network import request_reader, upstream_calls

PATH = "/forward"
PROOF_HEADER = "spoolhead-proof"
RESULT_HEADER = "spoolhead-result"
_BINARY_32 = 0xC6
_BINARY_HEADER = struct.Struct(">BI")
FORMAT_VERSION = 1
"""Version of the encoding; requests of other versions are rejected before they run."""


@dataclasses.dataclass(slots=True, kw_only=True)
class ForwardedRequest:
    """A caller's request that another entry received.

    :ivar sender: name of the entry that received it from the caller.
    :ivar request: the caller's request, with its headers as received.
    :ivar remaining_ms: time until the request's deadline.
    :ivar attempts: number of attempts at instances that count against the route's limit.
    :ivar is_counted: the sender has counted the request for its retry allowance.
    """

    sender: str
    request: request_reader.WireRequest
    remaining_ms: int
    attempts: int
    is_counted: bool


class PeerResult:
    """Result of a request that an entry answered itself, without an upstream's answer.

    :ivar code: result code.
    :ivar ran: whether an upstream ran the request.
    """

    __slots__ = ("code", "ran")

    def __init__(self, code: codes.ResultCode, ran: codes.Ran) -> None:
        self.code = code
        self.ran = ran


def encode(item: ForwardedRequest) -> bytes:
    """Return the encoded request."""
    return b"".join(encode_parts(item))


def encode_parts(item: ForwardedRequest) -> list[bytes | bytearray]:
    """Return the encoded request in parts, one of which is the body itself, not a copy."""
    wire = item.request
    fields_before = [
        FORMAT_VERSION,
        item.sender,
        wire.method,
        wire.target,
        [list(header) for header in wire.headers],
    ]
    fields_after = [item.remaining_ms, item.attempts, item.is_counted]
    packer = msgpack.Packer(autoreset=False)
    packer.pack_array_header(len(fields_before) + 1 + len(fields_after))
    for field in fields_before:
        packer.pack(field)
    # The format's header of binary data with a length of 32 bits.
    start = packer.bytes() + _BINARY_HEADER.pack(_BINARY_32, len(wire.body))
    return [start, wire.body, b"".join(msgpack.packb(field) for field in fields_after)]


def decode(data: bytes | bytearray) -> ForwardedRequest:
    """Decode a request.

    :raises ValueError: if the data is not a request of this version.
    """
    try:
        version, sender, method, target, headers, body, remaining_ms, attempts, is_counted = (
            msgpack.unpackb(data)
        )
        if version != FORMAT_VERSION:
            raise ValueError(f"unknown format version {version!r}")
        wire = request_reader.WireRequest()
        wire.method = str(method)
        wire.target = str(target)
        wire.headers = [(str(name), str(value)) for name, value in headers]
        wire.body = bytes(body)
        wire.keep_alive = False
        return ForwardedRequest(
            sender=str(sender),
            request=wire,
            remaining_ms=max(0, int(remaining_ms)),
            attempts=max(0, int(attempts)),
            is_counted=bool(is_counted),
        )
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError(f"not a forwarded request: {error}") from error


def sign(shared_key: str, *parts: bytes | bytearray) -> str:
    """Return the proof that a process with the shared key encoded a request."""
    proof = hmac.new(shared_key.encode(), digestmod=hashlib.sha256)
    for part in parts:
        proof.update(part)
    return proof.hexdigest()


def is_signed(shared_key: str, data: bytes | bytearray, proof: str) -> bool:
    """Return whether a proof is valid."""
    return hmac.compare_digest(sign(shared_key, data), proof)


def format_result(code: codes.ResultCode, ran: codes.Ran) -> str:
    """Return the value of the header with a result."""
    return f"{int(code)} {ran.value}"


def read_result(headers: upstream_calls.Headers) -> PeerResult | None:
    """Return the result that an answer states, or None for the answer of an upstream.

    :raises ValueError: if the header is not valid.
    """
    value = dict(headers).get(RESULT_HEADER)
    if value is None:
        return None
    code, _, ran = value.partition(" ")
    return PeerResult(codes.ResultCode(int(code)), codes.Ran(ran))
