"""HTTP client helpers for tests: plain requests, streamed chats and raw bytes."""

import http.client
import json
import socket
from collections.abc import Iterator, Mapping

API_KEY = "sph-key-of-the-trial-workspace"
OTHER_KEY = "sph-key-of-the-other-workspace"
MODEL = "spoolhead-birds"
TIMEOUT_S = 20.0


class Answer:
    """An HTTP answer whose body was read."""

    def __init__(self, answer: http.client.HTTPResponse) -> None:
        self.status = answer.status
        self.headers = answer.headers
        self.body = answer.read()

    @property
    def json(self) -> dict:
        return json.loads(self.body)

    @property
    def error(self) -> dict:
        return self.json["error"]


def connect(address: str) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(address, timeout=TIMEOUT_S)


def send(
    address: str,
    method: str,
    path: str,
    body: object = None,
    *,
    api_key: str = API_KEY,
    headers: Mapping[str, str] | None = None,
) -> Answer:
    connection = connect(address)
    all_headers = {"Authorization": f"Bearer {api_key}", **(headers or {})}
    data = body if isinstance(body, bytes | None) else json.dumps(body)
    connection.request(method, path, data, all_headers)
    answer = Answer(connection.getresponse())
    connection.close()
    return answer


def make_chat(length: int, *, stream: bool = True, **fields: object) -> dict:
    """Return a chat request; the simulated engine generates the given number of tokens."""
    messages = [{"role": "user", "content": f"which bird? [len={length}]"}]
    return {"model": MODEL, "messages": messages, "stream": stream, **fields}


class ChatStream:
    """A streamed chat answer, read event by event.

    With a token, the request resumes an existing stream after ``last_event_id``.

    :ivar generations: ids of the generations that the events belong to.
    :ivar error: error that ended the stream, or None.
    :ivar is_done: whether the end of the stream was received.
    """

    def __init__(
        self,
        address: str,
        body: dict | None = None,
        *,
        api_key: str = API_KEY,
        token: str = "",
        last_event_id: str = "",
    ) -> None:
        self.connection = connect(address)
        headers = {"Authorization": f"Bearer {api_key}"}
        if token:
            headers["Last-Event-ID"] = last_event_id
            self.connection.request("GET", f"/v1/streams/{token}", headers=headers)
        else:
            self.connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
        self.answer = self.connection.getresponse()
        self.token = self.answer.headers.get("x-spoolhead-stream", "")
        self.last_event_id = ""
        self.generations: set[str] = set()
        self.error: dict | None = None
        self.is_done = False

    def __iter__(self) -> Iterator[int]:
        """Yield the tokens of the stream as numbers."""
        for line in self.answer:
            text = line.decode().strip()
            if text.startswith("id: "):
                self.last_event_id = text.removeprefix("id: ")
            elif text == "data: [DONE]":
                self.is_done = True
            elif text.startswith("data: "):
                yield from self._read(json.loads(text.removeprefix("data: ")))

    def read_all(self) -> list[int]:
        return list(self)

    def close(self) -> None:
        self.answer.close()
        self.connection.close()

    def _read(self, event: dict) -> Iterator[int]:
        if "error" in event:
            self.error = event["error"]
            return
        self.generations.add(event["id"])
        for choice in event["choices"]:
            yield int(choice["delta"]["content"])


def send_raw(address: str, data: bytes, *, parts: int = 1) -> bytes:
    """Send bytes in parts and return all received bytes once the server has closed."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
        size = max(1, len(data) // parts)
        try:
            for begin in range(0, len(data), size):
                sock.sendall(data[begin : begin + size])
        except OSError:
            pass
        received = b""
        try:
            while piece := sock.recv(65_536):
                received += piece
        except OSError:
            pass
        return received


def get_counts(address: str) -> dict:
    """Return the counters of a simulated engine."""
    return send(address, "GET", "/counts").json


def get_runs(address: str) -> list[dict]:
    """Return the requests that a simulated service ran, oldest first."""
    return send(address, "GET", "/_runs").json
