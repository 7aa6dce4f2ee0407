"""Blocking client by which the command line sends requests to other spoolhead processes."""

import secrets
import socket
from collections.abc import Sequence
from typing import TypeVar

from spoolhead._internal import exceptions
from spoolhead._internal.models import codes, settings
from spoolhead._internal.network import handshake, messages
from spoolhead._internal.utils import clocks, endpoints

ROLE = "operator"
READ_BYTES = 65_536

_MessageT = TypeVar("_MessageT")


class PeerCall:
    """A connection to a process, for one request at a time.

    :param address: ``IP:PORT`` of the process.
    :param config: settings with the shared key and the timeout.
    :raises exceptions.PeerError: if the process cannot be reached or does not know the shared key.
    """

    def __init__(self, address: str, config: settings.OperatorSettings) -> None:
        self.address = address
        self._timeout_s = config.timeout_ms / 1000
        self._reader = messages.MessageReader()
        self._received: list[messages.Message] = []
        try:
            self._sock = socket.create_connection(endpoints.split(address), self._timeout_s)
        except OSError as error:
            raise self._make_error(codes.ResultCode.PEER_UNREACHABLE, str(error)) from error
        self._perform_handshake(config.shared_key)

    def __enter__(self) -> "PeerCall":
        return self

    def __exit__(self, *_details: object) -> None:
        self._sock.close()

    def request(self, question: messages.Message, kind: type[_MessageT]) -> _MessageT:
        """Send a question and return its answer.

        :param kind: class of the answer.
        :raises exceptions.PeerError: if no answer of this class arrives within the timeout.
        """
        self._send(question)
        return self._receive(kind)

    def _perform_handshake(self, shared_key: str) -> None:
        challenge = self._receive(messages.Challenge)
        nonce = secrets.token_bytes(handshake.NONCE_BYTES)
        hello = handshake.make_hello(
            shared_key, challenge, role=ROLE, name=socket.gethostname(), nonce=nonce
        )
        self._send(hello)
        try:
            welcome = self._receive(messages.Welcome)
        except exceptions.PeerError as error:
            text = "closed the connection after the handshake; is the shared key right?"
            raise self._make_error(codes.ResultCode.PEER_REFUSED, text) from error
        if not handshake.check_welcome(shared_key, nonce, welcome):
            raise self._make_error(codes.ResultCode.PEER_REFUSED, "does not know the shared key")

    def _send(self, message: messages.Message) -> None:
        try:
            self._sock.sendall(messages.encode(message))
        except OSError as error:
            raise self._make_error(codes.ResultCode.PEER_UNREACHABLE, str(error)) from error

    def _receive(self, kind: type[_MessageT]) -> _MessageT:
        deadline_s = clocks.get_s() + self._timeout_s
        while True:
            while self._received:
                message = self._received.pop(0)
                if isinstance(message, kind):
                    return message
                if not isinstance(message, messages.Heartbeat):
                    text = f"sent {type(message).__name__} instead of {kind.__name__}"
                    raise self._make_error(codes.ResultCode.PEER_PROTOCOL, text)
            self._read(deadline_s)

    def _read(self, deadline_s: float) -> None:
        try:
            self._sock.settimeout(max(0.001, deadline_s - clocks.get_s()))
            data = self._sock.recv(READ_BYTES)
        except OSError as error:
            raise self._make_error(codes.ResultCode.PEER_UNREACHABLE, str(error)) from error
        if not data:
            text = "closed the connection"
            raise self._make_error(codes.ResultCode.PEER_UNREACHABLE, text)
        try:
            self._received.extend(self._reader.feed(data))
        except messages.MessageError as error:
            raise self._make_error(codes.ResultCode.PEER_PROTOCOL, str(error)) from error

    def _make_error(self, code: codes.ResultCode, text: str) -> exceptions.PeerError:
        return exceptions.PeerError(code, f"{self.address}: {text}")


def open_to_any(addresses: Sequence[str], config: settings.OperatorSettings) -> PeerCall:
    """Connect to the first of several equivalent processes that answers.

    :raises exceptions.PeerError: if none answers; the error is that of the last one.
    """
    for address in addresses[:-1]:
        try:
            return PeerCall(address, config)
        except exceptions.PeerError:
            continue
    return PeerCall(addresses[-1], config)
