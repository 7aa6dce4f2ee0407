"""Invalid requests get a 4xx answer with a result code and run nothing."""

import json
import socket

import pytest

import fleet
from lib import calls, fleets


def _make_head(request_line: str, *headers: str, key: str = calls.API_KEY) -> bytes:
    lines = [request_line, "Host: x", f"Authorization: Bearer {key}", *headers, "", ""]
    return "\r\n".join(lines).encode("latin-1")


CHAT_REQUEST_LINE = "POST /v1/chat/completions HTTP/1.1"
LENGTH_CONFLICTS = {
    "two ways": (b"0\r\n\r\n", "Content-Length: 3", "Transfer-Encoding: chunked"),
    "two ways, other order": (b"0\r\n\r\n", "Transfer-Encoding: chunked", "Content-Length: 3"),
    "twice": (b"abc", "Content-Length: 3", "Content-Length: 3"),
    "not a number": (b"abc", "Content-Length: abc"),
    "a sign": (b"abc", "Content-Length: +3"),
    "unknown coding": (b"abc", "Transfer-Encoding: gzip"),
    "coding that looks alike": (b"0\r\n\r\n", "Transfer-Encoding: xchunked"),
    "too many digits": (b"", "Content-Length: 99999999999999999999999999"),
}


def _get_error(received: bytes) -> tuple[int, dict]:
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)["error"]


@pytest.mark.parametrize("case", LENGTH_CONFLICTS)
def test_conflicting_lengths_are_refused(shared, case):
    body, *headers = LENGTH_CONFLICTS[case]
    received = calls.send_raw(
        shared.addresses["entry-1"], _make_head(CHAT_REQUEST_LINE, *headers) + body
    )
    status, error = _get_error(received)
    assert (status, error["result_code"], error["ran"]) == (400, 1002, "no")


def test_a_refused_caller_is_not_read_for_ever(shared):
    """Guards against an entry that keeps reading what a refused caller sends."""
    host, _, port = shared.addresses["entry-1"].rpartition(":")
    chunk = b"x" * 1_048_576
    sent = 0
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(b"GET /livez HTTP/1.1\r\nHost: x\r\nA: ")
        with pytest.raises(OSError):
            while sent < 512:
                sock.sendall(chunk)
                sent += 1
    assert sent < 32


MALFORMED = {
    "no http": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    "unknown method": b"FETCH / HTTP/1.1\r\nHost: x\r\n\r\n",
    "no host": b"GET /livez HTTP/1.1\r\n\r\n",
    "two hosts": b"GET /livez HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
    "folded header": b"GET /livez HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n",
    "space before colon": b"GET /livez HTTP/1.1\r\nHost : x\r\n\r\n",
    "bare control byte": b"GET /livez HTTP/1.1\r\nHost: x\r\nA: \x01\r\n\r\n",
    "http/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "upgrade": b"GET / HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
    "connect": b"CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n",
}


@pytest.mark.parametrize("case", MALFORMED)
def test_malformed_requests_are_refused(shared, case):
    status, error = _get_error(calls.send_raw(shared.addresses["entry-1"], MALFORMED[case]))
    assert (status, error["result_code"], error["ran"]) == (400, 1001, "no")


def test_escapes_in_headers_stay_what_they_are(shared):
    trick = "a\\r\\nX-Injected: yes"
    calls.send(shared.addresses["entry-1"], "GET", "/countdesk/e", headers={"X-Trick": trick})
    seen = calls.get_runs(shared.addresses["countdesk-1"])[-1]["headers"]
    assert seen["x-trick"] == trick
    assert "x-injected" not in seen


@pytest.mark.parametrize("shape", ["one header", "many headers", "long target", "no end"])
def test_long_heads_are_refused(shared, shape):
    lines = {
        "one header": _make_head("GET /livez HTTP/1.1", "X: " + "a" * 20_000),
        "many headers": _make_head("GET /livez HTTP/1.1", *(f"X{n}: a" for n in range(3_000))),
        "long target": _make_head("GET /" + "a" * 20_000 + " HTTP/1.1"),
        "no end": b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 3_000_000,
    }
    received = calls.send_raw(shared.addresses["entry-1"], lines[shape], parts=20)
    status, error = _get_error(received)
    assert (status, error["result_code"]) == (431, 1003)


@pytest.mark.parametrize("chunked", [False, True])
def test_large_bodies_are_refused(shared, chunked):
    size = 5_000_000
    if chunked:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (size, b"x" * size)
        data = _make_head(CHAT_REQUEST_LINE, "Transfer-Encoding: chunked") + body
    else:
        data = _make_head(CHAT_REQUEST_LINE, f"Content-Length: {size}") + b"x" * size
    status, error = _get_error(calls.send_raw(shared.addresses["entry-1"], data, parts=50))
    assert (status, error["result_code"], error["ran"]) == (413, 1004, "no")


def test_too_many_pipelined_requests_are_refused(shared):
    data = _make_head("GET /livez HTTP/1.1") * 40
    received = calls.send_raw(shared.addresses["entry-1"], data)
    assert b'"result_code": 1010' in received


BAD_BODIES = {
    "not json": (b"{", 1006),
    "not an object": (b"[1]", 1006),
    "empty": (b"", 1006),
    "deep": (b"[" * 100_000, 1006),
    "not utf-8": (b'{"model": "\xff"}', 1006),
    "no model": (json.dumps({"messages": [{"role": "user", "content": "x"}]}).encode(), 1007),
    "model of a wrong type": (json.dumps({**calls.make_chat(1), "model": 7}).encode(), 1007),
    "no messages": (json.dumps({"model": calls.MODEL}).encode(), 1007),
    "empty messages": (json.dumps({"model": calls.MODEL, "messages": []}).encode(), 1007),
    "message without role": (
        json.dumps({"model": calls.MODEL, "messages": [{"content": "x"}]}).encode(),
        1007,
    ),
    "stream of a wrong type": (json.dumps({**calls.make_chat(1), "stream": "yes"}).encode(), 1007),
    "limit below one": (json.dumps(calls.make_chat(1, max_tokens=0)).encode(), 1007),
    "limit of a wrong type": (json.dumps(calls.make_chat(1, max_tokens="9")).encode(), 1007),
    "temperature of a wrong type": (json.dumps(calls.make_chat(1, temperature="x")).encode(), 1007),
}


@pytest.mark.parametrize("case", BAD_BODIES)
def test_bad_bodies_are_refused(shared, case):
    body, code = BAD_BODIES[case]
    answer = calls.send(shared.addresses["entry-1"], "POST", "/v1/chat/completions", body)
    assert (answer.status, answer.error["result_code"], answer.error["ran"]) == (400, code, "no")
    assert answer.headers["x-spoolhead-result-code"] == str(code)


PATHS = {
    "no such service": ("GET", "/nothing/here", 404, 1202),
    "root": ("GET", "/", 404, 1008),
    "no such path": ("GET", "/v1/nothing", 404, 1008),
    "wrong method": ("GET", "/v1/chat/completions", 405, 1009),
    "wrong method on models": ("POST", "/v1/models", 405, 1009),
    "wrong method on probe": ("POST", "/livez", 405, 1009),
    "model as a service": ("GET", f"/{calls.MODEL}/x", 404, 1202),
    "no such stream": ("GET", "/v1/streams/abc", 404, 1008),
}


@pytest.mark.parametrize("case", PATHS)
def test_unknown_paths_and_methods_are_refused(shared, case):
    method, path, status, code = PATHS[case]
    answer = calls.send(shared.addresses["entry-1"], method, path)
    assert (answer.status, answer.error["result_code"], answer.error["ran"]) == (status, code, "no")


@pytest.mark.parametrize(
    ("header", "code"),
    [("", 1101), ("Basic abc", 1101), ("Bearer ", 1101), ("Bearer no-such-key", 1102)],
)
def test_keys_are_checked(shared, header, code):
    headers = {"Authorization": header}
    answer = calls.send(shared.addresses["entry-1"], "GET", "/v1/models", headers=headers)
    assert (answer.status, answer.error["result_code"]) == (401, code)


def test_service_that_is_not_allowed_is_refused(shared):
    answer = calls.send(shared.addresses["entry-1"], "GET", "/countdesk/x", api_key=calls.OTHER_KEY)
    assert (answer.status, answer.error["result_code"]) == (403, 1103)


def test_bad_once_marks_are_refused(shared):
    address = shared.addresses["entry-1"]
    for headers in ({"X-Spoolhead-Once": "maybe"}, {"Idempotency-Key": "k" * 300}):
        answer = calls.send(address, "GET", "/countdesk/x", headers=headers)
        assert (answer.status, answer.error["result_code"]) == (400, 1007)


def test_keys_are_never_logged(shared):
    calls.send(shared.addresses["entry-1"], "GET", "/v1/models", api_key="sph-wrong-secret")
    for process in shared.processes.values():
        assert calls.API_KEY not in process.get_output()
        assert "sph-wrong-secret" not in process.get_output()


def test_nothing_of_this_was_an_exception(shared):
    status = json.loads(shared.run_operator("status", "--json").stdout)
    assert [item["exceptions"] for item in status if item["role"] == "entry"] == [0, 0]


def test_slow_senders_are_refused(running):
    limits = {"callers": {"head_ms": 300, "body_ms": 300, "idle_ms": 300}}
    fleets.start_fleet(running, engines=("engine-1",), entries=("entry-1",), entry_changes=limits)
    host, _, port = running.addresses["entry-1"].rpartition(":")
    starts = {
        b"GET /livez HTTP/1.1\r\nHost:": 408,
        _make_head("PUT /countdesk/x HTTP/1.1", "Content-Length: 9") + b"abc": 408,
        b"": None,
    }
    for start, expected in starts.items():
        with socket.create_connection((host, int(port)), 10) as sock:
            sock.sendall(start)
            received = b""
            while piece := sock.recv(65_536):
                received += piece
        if expected is None:
            assert received == b""
        else:
            status, error = _get_error(received)
            assert (status, error["result_code"], error["ran"]) == (expected, 1005, "no")


def test_slow_reader_is_cut_off_and_others_go_on(running):
    changes = {"callers": {"unread_bytes": 20_000}}
    fleets.start_fleet(
        running,
        engines=("engine-1",),
        entries=("entry-1",),
        entry_changes=changes,
        engine_options=("--step-ms", "0.2", "--kv-tokens", "100000"),
        workspace={"max_output_tokens": 60_000},
    )
    address = running.addresses["entry-1"]
    host, _, port = address.rpartition(":")
    body = json.dumps(calls.make_chat(50_000)).encode()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect((host, int(port)))
        sock.sendall(_make_head(CHAT_REQUEST_LINE, f"Content-Length: {len(body)}") + body)
        entry = running.processes["entry-1"]
        fleet.wait_for(
            lambda: [item for item in entry.get_records() if item.get("result_code") == 3010],
            "the slow reader to be cut off",
        )
        assert calls.ChatStream(address, calls.make_chat(5)).read_all() == [0, 1, 2, 3, 4]
    counts = fleet.wait_for(
        lambda: calls.get_counts(running.addresses["engine-1"]).get("cancelled"),
        "its generation to be cancelled",
    )
    assert counts == 1
