"""Outgoing connections: what their ends are taken for."""

import errno
import os
import socket

from spoolhead._internal.network import links, loop


class _Listener:
    def __init__(self):
        self.reasons = []

    def on_connected(self):
        pass

    def on_data(self, data):
        pass

    def on_lost(self, reason):
        self.reasons.append(reason)


class _BrokenSocket:
    """A socket whose reset was reported to a write; reads then return the end of the stream."""

    def __init__(self, sock):
        self._sock = sock

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def __hash__(self):
        return hash(self._sock)

    def __eq__(self, other):
        return other is self or other is self._sock

    def send(self, data):
        raise OSError(errno.ECONNRESET, "reset")

    def recv(self, size):
        return b""


# Guards against a reset that is read as an orderly end because a write has taken its error.
def test_a_reset_that_a_write_has_met_is_not_an_orderly_end():
    program = loop.Loop(lambda: None)
    outgoing = links.Links(program, channel="links").register(program)
    listener = _Listener()
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        link = outgoing.open(address, listener, connect_ms=1_000)
        outgoing.set_write_interest(link, False)
        link.sock = _BrokenSocket(link.sock)
        link.is_connected = True
        link.send(b"request")
        outgoing._on_read(link.sock)
    assert listener.reasons == [os.strerror(errno.ECONNRESET)]


def test_a_paused_connection_is_not_known_to_be_established():
    """Guards against a connection whose end is not read, taken for evidence of a process."""
    program = loop.Loop(lambda: None)
    outgoing = links.Links(program, channel="links").register(program)
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        link = outgoing.open(address, _Listener(), connect_ms=1_000)
        assert not outgoing.has_established(address)
        outgoing._finish_connecting(link)
        assert outgoing.has_established(address)
        assert not outgoing.has_established("127.0.0.1:1")
        link.pause_reading()
        assert not outgoing.has_established(address)
        link.resume_reading()
        assert outgoing.has_established(address)
        link.close()
        assert not outgoing.has_established(address)
