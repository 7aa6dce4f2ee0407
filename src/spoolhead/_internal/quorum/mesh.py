"""Streams from one keeper to the other keepers, opened on first use."""

from collections.abc import Callable

from spoolhead._internal.network import links, messages, peer_client
from spoolhead._internal.network import loop as loops
from spoolhead._internal.utils import clocks

ROLE = "keeper"
TIMING = peer_client.PeerTiming(
    connect_ms=500, initial_retry_ms=50, max_retry_ms=500, heartbeat_ms=250, silence_ms=1_000
)
"""A cut connection and its recovery must be detected well within the second or so for which
operators wait. All times are about ten to a hundred round trips between halls."""
IDLE_TIMEOUT_S = 10.0
"""Time after which a stream on which nothing was sent is closed: far longer than an election."""


class _Peer:
    """Stream to one other keeper; implements the callbacks of its client."""

    def __init__(self, mesh: "Mesh", address: str) -> None:
        self._mesh = mesh
        self.address = address
        self.last_used_s = clocks.get_s()
        self.client = mesh.make_client(address, self)

    def on_peer_ready(self) -> None:
        self._mesh.handle_ready(self.address)

    def on_peer_message(self, message: messages.Message) -> None:
        self._mesh.handle_message(message)

    def on_peer_lost(self) -> None:
        self._mesh.handle_lost(self.address)


class Mesh:
    """This keeper's streams to other keepers.

    :param loop: event loop of the program.
    :param outgoing: the program's outgoing connections.
    :param name: name of this keeper.
    :param shared_key: secret shared by all processes of the fleet.
    :param on_message: called with each message that other keepers send on these streams.
    :param on_stream_change: called with an address and whether its stream has opened (True) or
        closed (False).
    """

    def __init__(
        self,
        loop: loops.Loop,
        outgoing: links.Links,
        *,
        name: str,
        shared_key: str,
        on_message: Callable[[messages.Message], None],
        on_stream_change: Callable[[str, bool], None],
    ) -> None:
        self._loop = loop
        self._outgoing = outgoing
        self._name = name
        self._shared_key = shared_key
        self._on_message = on_message
        self._on_stream_change = on_stream_change
        self._peers: dict[str, _Peer] = {}
        loop.scheduler.call_every(IDLE_TIMEOUT_S / 2, self._close_idle)

    def send(self, address: str, message: messages.Message) -> bool:
        """Send a message.

        :param address: ``IP:PORT`` of the other keeper.
        :returns: False if no stream is open yet; the message is then dropped.
        """
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = _Peer(self, address)
        peer.last_used_s = clocks.get_s()
        return peer.client.send(message)

    def make_client(self, address: str, peer: _Peer) -> peer_client.PeerClient:
        """Return a new client for the stream to an address."""
        return peer_client.PeerClient(
            self._loop,
            self._outgoing,
            [address],
            role=ROLE,
            name=self._name,
            shared_key=self._shared_key,
            listener=peer,
            timing=TIMING,
        )

    def handle_ready(self, address: str) -> None:
        """Report that a stream has opened."""
        self._on_stream_change(address, True)

    def handle_lost(self, address: str) -> None:
        """Report that a stream has closed."""
        self._on_stream_change(address, False)

    def handle_message(self, message: messages.Message) -> None:
        """Pass on a message that was received."""
        self._on_message(message)

    def _close_idle(self) -> None:
        idle_since_s = clocks.get_s() - IDLE_TIMEOUT_S
        for address, peer in list(self._peers.items()):
            if peer.last_used_s < idle_since_s:
                peer.client.close()
                del self._peers[address]
