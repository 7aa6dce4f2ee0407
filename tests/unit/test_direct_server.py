"""The TCP server that accepts callers' connections."""

from spoolhead._internal.network import direct_server


def test_a_connection_that_comes_as_the_listener_is_closed_is_no_exception():
    server = direct_server.DirectServer(("127.0.0.1", 0), channel="callers")
    accepting = server._accept()
    server._sock.close()
    server._sock = None
    assert list(accepting) == []
