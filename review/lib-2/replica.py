"""Stand-in for a replica; standard library only.

Usage: replica.py IP:PORT BOOT_ID RUNS_FILE [--unframed] [--step-ms N] [--parts N] [--json-lines N]. It writes a line of JSON to
RUNS_FILE for each run that begins and for each part or event that it has sent. The number of events
of a stream is a quarter of the tokens that the request may generate. With ``--parts``, the body of
a plain answer is made and sent in that many parts; with ``--json-lines``, in that many lines of
JSON, each a value of its own.
"""

import argparse
import http.server
import json
import socketserver
import threading
import time


def parse_options():
    """Parse the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("boot_id")
    parser.add_argument("runs")
    parser.add_argument("--unframed", action="store_true")
    parser.add_argument("--step-ms", type=float, default=50.0)
    parser.add_argument("--parts", type=int, default=0)
    parser.add_argument("--json-lines", type=int, default=0)
    parser.add_argument("--work-ms", type=float, default=50.0)
    return parser.parse_args()


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """A server with a thread for each channel."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, *_details):
        """Write nothing: a client that leaves is no error."""


class Handler(http.server.BaseHTTPRequestHandler):
    """Serves one channel."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_arguments):
        """Write no log."""

    def _note(self, **fields):
        with self.server.lock:
            fields = {"boot": self.server.options.boot_id, "at": time.time(), **fields}
            self.server.runs.write(json.dumps(fields) + "\n")
            self.server.runs.flush()

    def _send(self, status, body=b"", **headers):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("X-Replica-Load", f"{self.server.running},0,64")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _serve(self):
        options = self.server.options
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        if self.path == "/healthz":
            self._send(200, X_Replica_Id=options.boot_id)
            return
        if self.path.startswith("/spoolhead/"):
            self._send(404)
            return
        request_id = self.headers.get("X-Request-Id")
        if self.headers.get("X-Expected-Replica") not in (None, options.boot_id):
            self._send(421, X_Not_Executed="1", X_Request_Id=request_id)
            return
        self._note(id=request_id, event="begins", path=self.path)
        with self.server.lock:
            self.server.running += 1
        try:
            if self.headers.get("X-Token-Usage"):
                self._stream(request_id)
            else:
                self._answer(request_id, body)
        finally:
            with self.server.lock:
                self.server.running -= 1

    do_GET = do_POST = do_PUT = do_DELETE = _serve

    def _answer(self, request_id, body):
        options = self.server.options
        if options.parts:
            parts = make_parts(request_id, options.parts)
            self._send_parts(request_id, parts, "application/octet-stream")
            return
        if options.json_lines:
            lines = make_json_lines(request_id, options.json_lines)
            self._send_parts(request_id, lines, "application/x-ndjson")
            return
        time.sleep(self.server.options.work_ms / 1000)
        self._send(200, b"done " + body, X_Request_Id=request_id, X_Response_Signature="sig")
        self._note(id=request_id, event="answered")

    def _send_parts(self, request_id, parts, content_type):
        options = self.server.options
        self.send_response(200)
        self.send_header("Content-Type", content_type)
        self.send_header("X-Request-Id", request_id)
        self.send_header("X-Response-Signature", "sig")
        if options.unframed:
            self.send_header("Connection", "close")
            self.close_connection = True
        else:
            self.send_header("Content-Length", str(sum(len(part) for part in parts)))
        self.end_headers()
        for number, part in enumerate(parts, 1):
            time.sleep(options.step_ms / 1000)
            self.wfile.write(part)
            self._note(id=request_id, event="sent", number=number, of=len(parts))
        self._note(id=request_id, event="whole")

    def _stream(self, request_id):
        options = self.server.options
        count = int(self.headers["X-Token-Usage"].split(",")[1]) // 4
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("X-Request-Id", request_id)
        self.send_header("X-Response-Signature", "sig")
        if options.unframed:
            self.send_header("Connection", "close")
            self.close_connection = True
        else:
            self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(1, count + 1):
            time.sleep(options.step_ms / 1000)
            event = b"id: %d\ndata: piece %d of %d\n\n" % (number, number, count)
            self.wfile.write(event if options.unframed else b"%x\r\n%b\r\n" % (len(event), event))
            self._note(id=request_id, event="sent", number=number, of=count)
        if not options.unframed:
            self.wfile.write(b"0\r\n\r\n")
        self._note(id=request_id, event="whole")


def make_parts(request_id, count):
    """Return the parts of the body of a plain answer."""
    return [f"{request_id} part {i:04d} of {count:04d}\n".encode() * 20 for i in range(1, count + 1)]


def make_json_lines(request_id, count):
    """Return the lines of the body of a plain answer, one value of JSON each."""
    values = [{"request": request_id, "row": i, "rows": count} for i in range(1, count + 1)]
    return [json.dumps(value).encode() + b"\n" for value in values]


def main():
    """Serve until killed."""
    options = parse_options()
    host, port = options.address.split(":")
    server = Server((host, int(port)), Handler)
    server.options = options
    server.lock = threading.Lock()
    server.running = 0
    server.runs = open(options.runs, "a", encoding="utf-8")
    server.serve_forever()


if __name__ == "__main__":
    main()
