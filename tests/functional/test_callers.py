"""The API as callers use it: models through the OpenAI client library, and plain services."""

import json
import re
import socket

import openai
import pytest

from lib import calls


@pytest.fixture
def client(shared):
    return openai.OpenAI(
        base_url=f"http://{shared.addresses['entry-1']}/v1", api_key=calls.API_KEY, max_retries=0
    )


def test_client_library_streams_chat(client):
    body = calls.make_chat(12)
    chunks = list(client.chat.completions.create(**body))
    text = "".join(choice.delta.content for chunk in chunks for choice in chunk.choices)
    assert text.split() == [str(number) for number in range(12)]
    assert len({chunk.id for chunk in chunks}) == 1


def test_client_library_streams_usage(client):
    body = calls.make_chat(5, stream_options={"include_usage": True})
    chunks = list(client.chat.completions.create(**body))
    assert chunks[-1].usage.completion_tokens == 5


def test_client_library_gets_whole_chat(client):
    answer = client.chat.completions.create(**calls.make_chat(7, stream=False))
    assert answer.choices[0].message.content.split() == [str(number) for number in range(7)]
    assert answer.usage.completion_tokens == 7


def test_client_library_completes_text(client):
    whole = client.completions.create(model=calls.MODEL, prompt="bird [len=4]")
    assert whole.choices[0].text.split() == ["0", "1", "2", "3"]
    stream = client.completions.create(model=calls.MODEL, prompt="bird [len=4]", stream=True)
    assert "".join(chunk.choices[0].text for chunk in stream).split() == ["0", "1", "2", "3"]


def test_client_library_lists_models(client):
    assert [model.id for model in client.models.list()] == [calls.MODEL]
    assert client.models.retrieve(calls.MODEL).id == calls.MODEL


def test_client_library_raises_its_own_errors(shared, client):
    with pytest.raises(openai.NotFoundError) as caught:
        client.chat.completions.create(**{**calls.make_chat(1), "model": "no-such"})
    assert caught.value.body["result_code"] == 1201
    assert caught.value.body["ran"] == "no"
    stranger = openai.OpenAI(base_url=client.base_url, api_key="sph-wrong", max_retries=0)
    with pytest.raises(openai.AuthenticationError) as caught:
        stranger.models.list()
    assert caught.value.body["result_code"] == 1102


def test_answer_is_no_longer_than_the_row_allows(shared):
    body = calls.make_chat(60, stream=False, max_tokens=9)
    answer = calls.send(shared.addresses["entry-1"], "POST", "/v1/chat/completions", body)
    assert answer.json["usage"]["completion_tokens"] == 9


@pytest.mark.parametrize("method", ["GET", "PUT", "PATCH", "DELETE", "OPTIONS"])
def test_plain_call_goes_through_whole(shared, method):
    body = b"three curlews" if method in ("PUT", "PATCH") else None
    answer = calls.send(
        shared.addresses["entry-1"],
        method,
        "/countdesk/sites/12%2F3?day=2&x=a%20b",
        body,
        headers={"X-Field": "kept"},
    )
    assert answer.status == 200
    assert answer.json["method"] == method
    assert (answer.json["path"], answer.json["query"]) == ("/sites/12%2F3", "day=2&x=a%20b")
    assert answer.json["echo"] == (body or b"").decode()
    seen = calls.get_runs(shared.addresses["countdesk-1"])[answer.json["run"]]["headers"]
    assert seen["x-field"] == "kept"
    assert "authorization" not in seen


def test_head_has_length_but_no_body(shared):
    connection = calls.connect(shared.addresses["entry-1"])
    headers = {"Authorization": f"Bearer {calls.API_KEY}"}
    for _ in range(2):
        connection.request("HEAD", "/countdesk/sites", headers=headers)
        answer = connection.getresponse()
        assert answer.status == 200
        assert answer.read() == b""


def test_large_body_both_ways(shared):
    body = b"f" * 2_000_000
    answer = calls.send(shared.addresses["entry-1"], "PUT", "/countdesk/notes?bytes=3000000", body)
    assert len(answer.body) == 3_000_000
    assert len(calls.get_runs(shared.addresses["countdesk-1"])[-1]["body"]) == 2_000_000


def test_chunked_request_body_is_taken(shared):
    connection = calls.connect(shared.addresses["entry-1"])
    headers = {"Authorization": f"Bearer {calls.API_KEY}"}
    parts = [b"three ", b"curlews"]
    connection.request("PUT", "/countdesk/x", iter(parts), headers, encode_chunked=True)
    assert calls.Answer(connection.getresponse()).json["echo"] == "three curlews"


def test_pipelined_requests_are_answered_in_order(shared):
    head = f"Host: x\r\nAuthorization: Bearer {calls.API_KEY}\r\n"
    data = "".join(f"GET /countdesk/p{n} HTTP/1.1\r\n{head}\r\n" for n in range(3))
    data += f"GET /countdesk/last HTTP/1.1\r\n{head}Connection: close\r\n\r\n"
    received = calls.send_raw(shared.addresses["entry-1"], data.encode())
    paths = re.findall(rb'"path": "([^"]*)"', received)
    assert paths == [b"/p0", b"/p1", b"/p2", b"/last"]


def test_connection_is_used_again(shared):
    connection = calls.connect(shared.addresses["entry-1"])
    headers = {"Authorization": f"Bearer {calls.API_KEY}"}
    for _ in range(3):
        body = json.dumps(calls.make_chat(3))
        connection.request("POST", "/v1/chat/completions", body, headers)
        sock = connection.sock
        assert b"[DONE]" in connection.getresponse().read()
        assert connection.sock is sock


def test_http_1_0_gets_a_stream_ended_by_closing(shared):
    body = json.dumps(calls.make_chat(3))
    data = (
        f"POST /v1/chat/completions HTTP/1.0\r\nAuthorization: Bearer {calls.API_KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    )
    received = calls.send_raw(shared.addresses["entry-1"], data.encode())
    assert b"transfer-encoding" not in received.lower()
    assert received.endswith(b"data: [DONE]\n\n")


def test_stream_head_states_no_length(shared):
    stream = calls.ChatStream(shared.addresses["entry-1"], calls.make_chat(2))
    assert "content-length" not in stream.answer.headers
    assert stream.answer.headers["content-type"] == "text/event-stream"
    assert stream.read_all() == [0, 1]


def test_expect_continue_is_answered(shared):
    host, _, port = shared.addresses["entry-1"].rpartition(":")
    with socket.create_connection((host, int(port)), 10) as sock:
        head = f"PUT /countdesk/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {calls.API_KEY}\r\n"
        sock.sendall((head + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n").encode())
        assert sock.recv(100).startswith(b"HTTP/1.1 100")
        sock.sendall(b"abc")
        assert sock.recv(100).startswith(b"HTTP/1.1 200")


def test_probes_need_no_key(shared):
    for path, field in (("/livez", "live"), ("/readyz", "ready")):
        answer = calls.send(shared.addresses["entry-1"], "GET", path, api_key="")
        assert (answer.status, answer.json[field]) == (200, True)
