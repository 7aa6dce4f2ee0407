"""Server side of the streams between spoolhead's processes."""

import logging
import secrets
import socket
from typing import Protocol

import circuits

from spoolhead._internal.network import direct_server, handshake, messages
from spoolhead._internal.network import loop as loops
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

HELLO_TIMEOUT_S = 5.0
HEARTBEAT_INTERVAL_S = 1.0
SILENCE_TIMEOUT_S = 5.0
MAX_UNSENT_BYTES = 64 * 1024 * 1024


class PeerSession:
    """An accepted connection.

    :ivar role: role of the peer, from its hello; empty until it has proved the shared key.
    :ivar name: name of the peer.
    :ivar heard_s: monotonic time at which the last bytes were received, in seconds.
    :ivar received_bytes: number of bytes received so far.
    """

    __slots__ = ("_server", "heard_s", "name", "nonce", "reader", "received_bytes", "role", "sock")

    def __init__(self, server: "PeerServer", sock: socket.socket) -> None:
        self._server = server
        self.sock = sock
        self.reader = messages.MessageReader()
        self.nonce = secrets.token_bytes(handshake.NONCE_BYTES)
        self.role = ""
        self.name = ""
        self.heard_s = clocks.get_s()
        self.received_bytes = 0

    def send(self, message: messages.Message) -> None:
        """Send a message; dropped if the connection is closed."""
        self._server.send(self, messages.encode(message))

    def send_encoded(self, data: bytes) -> None:
        """Send an encoded message, which avoids encoding a broadcast once for each session."""
        self._server.send(self, data)


class PeerService(Protocol):
    """Callbacks of the component that serves the peers."""

    def on_opened(self, session: PeerSession) -> None:
        """Called when a peer has proved the shared key."""

    def on_message(self, session: PeerSession, message: messages.Message) -> None:
        """Called with each received message."""

    def on_closed(self, session: PeerSession) -> None:
        """Called when a session has ended."""


class PeerServer(circuits.BaseComponent):
    """Listens for other spoolhead processes.

    :param loop: event loop of the program.
    :param bind: IP address and port to listen on.
    :param name: name of this process.
    :param shared_key: secret that the fleet's processes share.
    :param service: receives the callbacks.
    """

    channel = "peers"

    def __init__(
        self,
        loop: loops.Loop,
        bind: tuple[str, int],
        *,
        name: str,
        shared_key: str,
        service: PeerService,
    ) -> None:
        super().__init__()
        self._server = direct_server.DirectServer(bind, channel=self.channel).register(self)
        self._scheduler = loop.scheduler
        self._name = name
        self._shared_key = shared_key
        self._service = service
        self._sessions: dict[socket.socket, PeerSession] = {}
        self._scheduler.call_every(HEARTBEAT_INTERVAL_S, self._keep_alive)

    @property
    def address(self) -> str:
        """``IP:PORT`` that it listens on."""
        return f"{self._server.host}:{self._server.port}"

    def send(self, session: PeerSession, data: bytes) -> None:
        """Send bytes on a session; the connection of a peer that does not read is closed."""
        if session.sock not in self._sessions:
            return
        try:
            unsent_bytes = self._server.send_now(session.sock, data)
        except Exception:
            # A failure with one peer must not prevent a broadcast to the other peers. The failed
            # peer reconnects and requests the current state.
            logger.exception("cannot send to peer %s; its connection is closed", session.name)
            self._server.close_now(session.sock)
            return
        if unsent_bytes > MAX_UNSENT_BYTES:
            logger.warning("peer %s does not read; its connection is closed", session.name)
            self._server.close_now(session.sock)

    @circuits.handler("connect")
    def _on_connect(self, sock: socket.socket, *_address: object) -> None:
        session = PeerSession(self, sock)
        self._sessions[sock] = session
        session.send(messages.Challenge(protocol=messages.PROTOCOL_VERSION, nonce=session.nonce))

    @circuits.handler("disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        session = self._sessions.pop(sock, None)
        if session is not None and session.role:
            self._service.on_closed(session)

    @circuits.handler("read")
    def _on_read(self, sock: socket.socket, data: bytes) -> None:
        session = self._sessions.get(sock)
        if session is None:
            return
        session.heard_s = clocks.get_s()
        try:
            for message in session.reader.feed(data):
                self._handle_message(session, message)
            session.received_bytes += len(data)
            if not session.role and session.received_bytes > messages.MAX_HANDSHAKE_BYTES:
                raise messages.MessageError("too many bytes before the handshake is complete")
        except messages.MessageError as error:
            logger.warning("peer %s: %s; its connection is closed", session.name or "?", error)
            self._server.close_now(sock)
        except Exception:
            # Otherwise a follower whose registration failed would stay connected and receive
            # nothing.
            self._server.close_now(sock)
            raise

    def _handle_message(self, session: PeerSession, message: messages.Message) -> None:
        if session.role:
            if not isinstance(message, messages.Heartbeat):
                self._service.on_message(session, message)
            return
        if not isinstance(message, messages.Hello):
            raise messages.MessageError("first message is not a hello")
        if not handshake.check_hello(self._shared_key, session.nonce, message):
            raise messages.MessageError("hello does not prove the shared key")
        session.role = message.role
        session.name = message.name
        session.send(handshake.make_welcome(self._shared_key, message, self._name))
        self._service.on_opened(session)

    def _keep_alive(self) -> None:
        now_s = clocks.get_s()
        heartbeat = messages.encode(messages.Heartbeat())
        for session in list(self._sessions.values()):
            timeout_s = SILENCE_TIMEOUT_S if session.role else HELLO_TIMEOUT_S
            if now_s - session.heard_s > timeout_s and session.role != "operator":
                logger.warning("peer %s is silent; its connection is closed", session.name or "?")
                self._server.close_now(session.sock)
            elif session.role:
                self.send(session, heartbeat)
