"""Client side of a stream to another spoolhead process; reconnects automatically."""

import logging
import random
import secrets
from collections.abc import Sequence
from typing import Protocol

from spoolhead._internal.network import handshake, links, messages
from spoolhead._internal.network import loop as loops
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)


class PeerTiming:
    """Timeouts and intervals of a stream.

    :ivar connect_ms: timeout for connecting.
    :ivar initial_retry_ms: delay before the first reconnection attempt; it doubles with each.
    :ivar max_retry_ms: maximum delay between reconnection attempts.
    :ivar heartbeat_ms: interval between heartbeats.
    :ivar silence_ms: time without received bytes after which the stream is closed; a few
        heartbeats.
    """

    __slots__ = (
        "connect_ms",
        "initial_retry_ms",
        "heartbeat_ms",
        "max_retry_ms",
        "silence_ms",
    )

    def __init__(
        self,
        *,
        connect_ms: int = 1_000,
        initial_retry_ms: int = 100,
        max_retry_ms: int = 2_000,
        heartbeat_ms: int = 1_000,
        silence_ms: int = 5_000,
    ) -> None:
        self.connect_ms = connect_ms
        self.initial_retry_ms = initial_retry_ms
        self.max_retry_ms = max_retry_ms
        self.heartbeat_ms = heartbeat_ms
        self.silence_ms = silence_ms


DEFAULT_TIMING = PeerTiming()


class PeerClientListener(Protocol):
    """Callbacks of the component that uses a client."""

    def on_peer_ready(self) -> None:
        """Called when the handshake is complete."""

    def on_peer_message(self, message: messages.Message) -> None:
        """Called with each received message."""

    def on_peer_lost(self) -> None:
        """Called when the stream has ended; the client reconnects, maybe to another address."""


class PeerClient:
    """A stream to one of several equivalent processes.

    The addresses are tried in turn, starting with a random one, so that the clients of a fleet
    are spread over the processes.

    :param loop: event loop of the program.
    :param outgoing: outgoing connections of the program.
    :param addresses: ``IP:PORT`` of each process.
    :param role: role of this process.
    :param name: name of this process.
    :param shared_key: secret that the fleet's processes share.
    :param listener: receives the callbacks.
    :param timing: timeouts and intervals of the stream.
    """

    def __init__(
        self,
        loop: loops.Loop,
        outgoing: links.Links,
        addresses: Sequence[str],
        *,
        role: str,
        name: str,
        shared_key: str,
        listener: PeerClientListener,
        timing: PeerTiming = DEFAULT_TIMING,
    ) -> None:
        self._timing = timing
        self._scheduler = loop.scheduler
        self._outgoing = outgoing
        self._addresses = list(addresses)
        self._role = role
        self._name = name
        self._shared_key = shared_key
        self._listener = listener
        self._rng = random.Random()
        self._address_index = self._rng.randrange(len(self._addresses))
        self._retry_s = timing.initial_retry_ms / 1000
        self._link: links.Link | None = None
        self._reader = messages.MessageReader()
        self._received_bytes = 0
        self._nonce = b""
        self._heard_s = clocks.get_s()
        self.is_ready = False
        self._is_closed = False
        self._heartbeat_timer = self._scheduler.call_every(
            timing.heartbeat_ms / 1000, self._keep_alive
        )
        self._connect()

    @property
    def address(self) -> str:
        """``IP:PORT`` of the process that it is connected or connecting to; empty for none."""
        return self._link.address if self._link is not None else ""

    @property
    def heard_s(self) -> float:
        """Monotonic time at which the last bytes were received, in seconds."""
        return self._heard_s

    def close(self) -> None:
        """Close the stream without reconnecting."""
        self._is_closed = True
        self.is_ready = False
        self._heartbeat_timer.cancel()
        if self._link is not None:
            self._link.close()
            self._link = None

    def send(self, message: messages.Message) -> bool:
        """Send a message.

        :returns: False if there is no stream, so that nothing was sent.
        """
        if not self.is_ready or self._link is None:
            return False
        self._link.send(messages.encode(message))
        return True

    def reconnect(self, reason: str) -> None:
        """Close the current stream and connect to the next address."""
        if self._link is not None:
            self._outgoing.abort(self._link, reason)

    def reject(self, reason: str) -> None:
        """Close the current stream because of a message, and reconnect after the maximum delay.

        Later messages of the stream depend on that one; a new stream begins with the complete
        state. The delay avoids frequent reconnections if the message fails each time.
        """
        self._retry_s = self._timing.max_retry_ms / 1000
        self.reconnect(reason)

    def on_connected(self) -> None:
        """Start the silence timeout; the other side sends the first message."""
        self._heard_s = clocks.get_s()

    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""
        self._heard_s = clocks.get_s()
        try:
            for message in self._reader.feed(data):
                if not self._is_closed:
                    self._handle_message(message)
            self._received_bytes += len(data)
            if not self.is_ready and self._received_bytes > messages.MAX_HANDSHAKE_BYTES:
                raise messages.MessageError("too many bytes before the handshake is complete")
        except messages.MessageError as error:
            self.reconnect(str(error))
        except Exception:
            self.reject("a message could not be handled")
            raise

    def on_lost(self, reason: str) -> None:
        """Schedule a reconnection, with exponential backoff and jitter."""
        logger.info("stream to %s lost: %s", self.address, reason)
        was_ready, self.is_ready = self.is_ready, False
        self._link = None
        self._address_index += 1
        delay_s = self._retry_s * self._rng.uniform(0.5, 1.0)
        self._retry_s = min(self._retry_s * 2, self._timing.max_retry_ms / 1000)
        self._scheduler.call_later(delay_s, self._connect)
        if was_ready:
            self._listener.on_peer_lost()

    def _connect(self) -> None:
        if self._is_closed:
            return
        self._reader = messages.MessageReader()
        self._received_bytes = 0
        address = self._addresses[self._address_index % len(self._addresses)]
        self._heard_s = clocks.get_s()
        self._link = self._outgoing.open(address, self, connect_ms=self._timing.connect_ms)

    def _handle_message(self, message: messages.Message) -> None:
        if self.is_ready:
            if not isinstance(message, messages.Heartbeat):
                self._listener.on_peer_message(message)
        elif isinstance(message, messages.Challenge):
            self._answer_challenge(message)
        elif isinstance(message, messages.Welcome):
            self._handle_welcome(message)
        else:
            raise messages.MessageError("message before the handshake is complete")

    def _answer_challenge(self, challenge: messages.Challenge) -> None:
        if challenge.protocol != messages.PROTOCOL_VERSION:
            raise messages.MessageError(f"unsupported protocol version {challenge.protocol}")
        self._nonce = secrets.token_bytes(handshake.NONCE_BYTES)
        hello = handshake.make_hello(
            self._shared_key, challenge, role=self._role, name=self._name, nonce=self._nonce
        )
        assert self._link is not None
        self._link.send(messages.encode(hello))

    def _handle_welcome(self, welcome: messages.Welcome) -> None:
        if not handshake.check_welcome(self._shared_key, self._nonce, welcome):
            raise messages.MessageError("welcome does not prove the shared key")
        self.is_ready = True
        self._retry_s = self._timing.initial_retry_ms / 1000
        self._listener.on_peer_ready()

    def _keep_alive(self) -> None:
        if self._link is None or not self._link.is_connected:
            return
        if clocks.get_s() - self._heard_s > self._timing.silence_ms / 1000:
            self.reconnect("silent for too long")
        else:
            self.send(messages.Heartbeat())
