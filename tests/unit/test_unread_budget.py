"""The budget of the unread bytes of a process, how they are counted, and what a drop ends."""

import dataclasses
import errno
import logging
import socket

import pytest

from lib import gateway_setting
from spoolhead._internal.gateway import refusals
from spoolhead._internal.models import codes, fault, route_table
from spoolhead._internal.network import caller_front, direct_server, loop
from spoolhead._internal.policy import unread_budget
from spoolhead.platform import dialect


def make_budget(budget_bytes, **unread_bytes):
    budget = unread_budget.UnreadBudget(budget_bytes)
    for key, count in unread_bytes.items():
        budget.add(key, count, 0.0)
    return budget


@pytest.mark.parametrize("budget_bytes", [0, 300])
def test_nobody_is_dropped_without_a_budget_or_within_it(budget_bytes):
    assert make_budget(budget_bytes, a=100, b=200).pop_drops(9.0) == []


def test_no_more_are_dropped_than_it_takes():
    budget = make_budget(300, a=100, b=200, c=150)
    (drop,) = budget.pop_drops(2.0)
    assert (drop.key, drop.unread_bytes, drop.unread_s, drop.total_bytes) == ("b", 200, 2.0, 450)
    assert (budget.total_bytes, len(budget)) == (250, 2)


def test_a_caller_that_reads_is_kept_although_it_has_most_unread():
    budget = make_budget(300, reader=1_000, stopped=200, other=100)
    budget.record_read("reader", 800, 4.9)
    assert [drop.key for drop in budget.pop_drops(5.0)] == ["stopped"]


def test_a_large_backlog_of_a_reader_stays_before_a_small_one_of_a_stopped_caller():
    budget = make_budget(3_000, reader=3_000, stopped=100)
    budget.record_kernel_bytes("reader", 90, 4.0)
    budget.record_kernel_bytes("reader", 80, 4.8)
    assert [drop.key for drop in budget.pop_drops(5.0)] == ["stopped"]


def test_a_read_that_shows_only_in_the_kernel_counts():
    budget = make_budget(300, reader=210, stopped=200)
    for key, kernel_bytes in (("reader", 90), ("stopped", 90), ("reader", 80), ("stopped", 90)):
        budget.record_kernel_bytes(key, kernel_bytes, 4.9)
    assert [drop.key for drop in budget.pop_drops(5.0)] == ["stopped"]


def test_what_was_read_or_closed_no_longer_counts():
    budget = make_budget(300, a=100, b=200, c=150)
    budget.record_read("a", 100, 1.0)
    budget.remove("c")
    budget.remove("c")
    budget.record_read("c", 50, 1.0)
    assert (budget.total_bytes, list(budget)) == (200, ["b"])


class FakePoller:
    def addWriter(self, source, sock):  # noqa: N802
        pass

    def isWriting(self, sock):  # noqa: N802
        return False

    def discard(self, sock):
        pass


class FakeSocket:
    """Socket whose send buffer accepts a number of bytes."""

    def __init__(self):
        self.free = 0
        self.sent = b""
        self.is_closed = False
        self.is_reset = False

    def fileno(self):
        return -1 if self.is_closed else 5

    def shutdown(self, how):
        pass

    def close(self):
        self.is_closed = True

    def send(self, data):
        if self.is_reset:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        if not self.free:
            raise BlockingIOError(11, "full")
        count = min(self.free, len(data))
        self.free -= count
        self.sent += data[:count]
        return count


def test_the_server_counts_the_bytes_that_it_holds():
    budget = unread_budget.UnreadBudget(0)
    server = direct_server.DirectServer(("127.0.0.1", 0), channel="callers", unread=budget)
    server._poller, sock = FakePoller(), FakeSocket()
    server._clients.append(sock)
    parts = [b"a" * 100, b"b" * 40_000, b"c" * 30, b"d" * 30, b"e" * 20_000]
    sock.free = 70
    for part in parts:
        server.send_now(sock, part)
    held = server._buffers[sock]
    while held:
        assert budget.total_bytes == sum(map(len, held)) == server.get_unsent_bytes(sock)
        assert all(len(piece) == direct_server.PIECE_BYTES for piece in list(held)[1:-1])
        sock.free = 5_000
        server._on_write(sock)
    assert sock.sent == b"".join(parts)
    assert (budget.total_bytes, len(budget)) == (0, 0)
    server._sock.close()


@pytest.mark.parametrize("is_reset", [False, True])
def test_nothing_is_stored_of_a_connection_that_is_closed_before_its_bytes_were_sent(is_reset):
    """Guards against a memory that grows with each caller that is dropped or leaves."""
    server = direct_server.DirectServer(("127.0.0.1", 0), channel="callers")
    server._poller, sock = FakePoller(), FakeSocket()
    server._clients.append(sock)
    server.send_now(sock, b"a" * 100)
    server.close_after_send(sock)
    sock.is_reset = is_reset
    if is_reset:
        server._on_write(sock)
    else:
        server.close_now(sock)
    assert sock.is_closed
    assert (list(server._closeq), list(server._buffers)) == ([], [])
    server._sock.close()


def test_a_drop_frees_the_engine_at_once():
    setting = gateway_setting.Setting(route_table.RequestKind.STREAM)
    setting.last.answer(200, gateway_setting.SIGNED, gateway_setting.make_events(1, 3), whole=False)
    setting.caller.on_drop("unread")
    assert setting.last.is_over and setting.caller.is_finished
    assert not any(upstream.in_flight for upstream in setting.registry.get_all())
    assert setting.ended == [setting.exchange]


@pytest.mark.parametrize("kind", [route_table.RequestKind.STREAM, route_table.RequestKind.ONCE])
def test_a_drop_while_the_end_is_sent_is_a_failure_and_no_answer(kind, caplog):
    caplog.set_level(logging.INFO)
    setting = gateway_setting.Setting(kind)
    for name in ("end_stream", "send_answer"):
        setattr(setting.caller, name, lambda *_answer: setting.caller.on_drop("unread"))
    setting.caller.is_started = kind is not route_table.RequestKind.STREAM
    setting.last.answer(200, gateway_setting.SIGNED, gateway_setting.make_events(1, 3))
    texts = [record.getMessage() for record in caplog.records]
    assert "failed" in texts and "answered" not in texts


REQUEST = b"POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"
ANSWER_BYTES = 8_000_000
"""Size of an answer of which the kernel buffers only a part."""
MAX_TICKS = 1_000


class Front:
    """A server for callers, whose first request is answered with many bytes."""

    def __init__(self):
        self.callers, self.drops = [], []
        self.unread = unread_budget.UnreadBudget(10**9)
        config = dataclasses.replace(gateway_setting.make_settings(), host="127.0.0.1", port=0)
        self.loop = loop.Loop(lambda: None)
        # The library polls only while it runs.
        self.loop._running = True
        self.front = caller_front.CallerFront(
            self.loop,
            config,
            on_request=self._handle_request,
            on_bad_request=lambda *_request: None,
            unread=self.unread,
            on_drop=lambda *drop: self.drops.append(drop),
        ).register(self.loop)

    def _handle_request(self, caller):
        self.callers.append(caller)
        if len(self.callers) == 1:
            caller.send_answer(200, [], bytes(ANSWER_BYTES))

    def connect(self, data, *, callers):
        """Send bytes on a new connection, until there were so many requests."""
        sock = socket.create_connection(("127.0.0.1", self.front.port))
        sock.sendall(data)
        for _ in range(MAX_TICKS):
            if len(self.callers) >= callers:
                return sock
            self.loop.tick(0.01)
        raise AssertionError("the requests did not arrive")


def test_a_refusal_to_a_dropped_caller_is_not_buffered(monkeypatch):
    """Guards against a second drop, of this or another caller, because of the refusal."""
    monkeypatch.setattr(loop.signal, "signal", lambda *_handler: None)
    front = Front()
    stopped = front.connect(REQUEST * 2, callers=2)
    other = front.connect(REQUEST, callers=3)
    waiting = front.callers[1]
    item = fault.Fault(codes.ResultCode.CALLER_TOO_SLOW, "too slow")
    waiting.on_drop = lambda _reason: refusals.send(
        waiting, dialect.Dialect(), item, ran=codes.Ran.NO, request_id="r-2"
    )
    front.unread.budget_bytes = 1
    front.callers[2].send_answer(200, [], b"whole")
    assert [is_running for _, _, is_running in front.drops] == [True]
    assert (front.unread.total_bytes, waiting.is_finished) == (0, True)
    assert other.recv(1_000).endswith(b"whole")
    for sock in (stopped, other):
        sock.close()
    front.front.close_when_idle()
