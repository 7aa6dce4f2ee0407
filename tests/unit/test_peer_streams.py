"""Streams between processes when the handler of a message raises an exception."""

import pytest

from lib import fakes, gateway_setting
from spoolhead._internal.models import evacuations
from spoolhead._internal.network import (
    handshake,
    messages,
    peer_client,
    peer_server,
    route_messages,
)
from spoolhead._internal.quorum import feed

KEY = "a-shared-key-for-tests"


class _Loop:
    def __init__(self):
        self.scheduler = gateway_setting.FakeTimers()


class _Listener:
    def __init__(self):
        self.received = []
        self.lost = 0

    def on_peer_ready(self):
        pass

    def on_peer_message(self, message):
        if isinstance(message, messages.Current) and message.version == 13:
            raise RuntimeError("cannot be handled")
        self.received.append(message)

    def on_peer_lost(self):
        self.lost += 1


def _connect(client, links):
    link = links.opened[-1]
    challenge = messages.Challenge(protocol=messages.PROTOCOL_VERSION, nonce=b"n" * 16)
    client.on_data(messages.encode(challenge))
    (hello,) = messages.MessageReader().feed(link.sent[-1])
    client.on_data(messages.encode(handshake.make_welcome(KEY, hello, "keeper")))
    return link


@pytest.fixture
def setting():
    links, listener = fakes.FakeLinks(), _Listener()
    client = peer_client.PeerClient(
        _Loop(), links, ["a:1"], role="entry", name="e", shared_key=KEY, listener=listener
    )
    return client, links, listener


def test_a_message_that_cannot_be_handled_ends_the_stream(setting):
    """Later messages build on the lost one; a new stream starts with the complete state."""
    client, links, listener = setting
    link = _connect(client, links)
    data = b"".join(messages.encode(messages.Current(version=version)) for version in (12, 13, 14))
    with pytest.raises(RuntimeError):
        client.on_data(data)
    assert link.is_closed
    assert (listener.lost, client.is_ready) == (1, False)
    assert [message.version for message in listener.received] == [12]
    (reconnection,) = client._scheduler.timers
    assert reconnection.delay_s >= peer_client.DEFAULT_TIMING.max_retry_ms / 2_000


def test_a_rejected_message_ends_the_stream_for_the_maximum_delay(setting):
    client, links, listener = setting
    listener.on_peer_message = lambda _message: client.reject("malformed")
    link = _connect(client, links)
    client.on_data(messages.encode(messages.Current(version=12)))
    assert link.is_closed
    (reconnection,) = client._scheduler.timers
    assert reconnection.delay_s >= peer_client.DEFAULT_TIMING.max_retry_ms / 2_000


class _Service:
    def on_opened(self, session):
        pass

    def on_message(self, session, message):
        raise RuntimeError("cannot be handled")

    def on_closed(self, session):
        pass


class _Server:
    def __init__(self):
        self.closed = []
        self.sent = []
        self.failing = ""

    def send_now(self, sock, data):
        if sock == self.failing:
            raise ValueError("not a socket any more")
        self.sent.append(sock)
        return 0

    def close_now(self, sock):
        self.closed.append(sock)


def _make_server(*socks):
    server = object.__new__(peer_server.PeerServer)
    server._server, server._service = _Server(), _Service()
    server._shared_key, server._name = KEY, "keeper"
    server._sessions = {sock: peer_server.PeerSession(server, sock) for sock in socks}
    for session in server._sessions.values():
        session.role = "entry"
    return server


def test_a_session_whose_message_cannot_be_handled_is_closed():
    """Guards against a session that stays open although its follower was not registered.

    Such a follower would receive no messages and would not reconnect.
    """
    server = _make_server("a")
    with pytest.raises(RuntimeError):
        server._on_read("a", messages.encode(messages.Current(version=1)))
    assert server._server.closed == ["a"]


def test_a_follower_that_cannot_be_sent_to_does_not_keep_the_others_from_being_told():
    server = _make_server("a", "b", "c")
    server._server.failing = "b"
    keeper_feed = feed.Feed(
        gateway_setting.FakeTimers(),
        "h",
        list,
        lambda: feed.CommittedTable(3, b"t", is_confirmed=True),
        evacuations.Evacuations,
    )
    for session in server._sessions.values():
        keeper_feed._followers[session] = route_messages.Subscribe(hall="h", address="x:1")
    keeper_feed.broadcast_version()
    assert server._server.sent == ["a", "c"]
    assert server._server.closed == ["b"]
