"""Stand-in for a model replica whose runs can be moved; standard library only.

Usage: engine.py IP:PORT BOOT_ID RUNS_FILE [--copy-ms N] [--stall-ms N] [replica's options]. It obeys
``POST /spoolhead/kv-move``, also with ``last``, and goes on with a request that names a copy and
``Last-Event-Id``. Copies are made one after the other and take ``--copy-ms`` each; the update that an
order with ``last`` makes takes none. It works on a request whose channel was closed. On SIGUSR1, as
it leaves, it stops listening and serves its open channels on; its runs are held up for
``--stall-ms`` then.
"""

import argparse
import json
import signal
import threading
import time

import replica


def parse_options():
    """Parse the command line."""
    parser = argparse.ArgumentParser()
    for name in ("address", "boot_id", "runs"):
        parser.add_argument(name)
    parser.add_argument("--copy-ms", type=float, default=100.0)
    parser.add_argument("--stall-ms", type=float, default=0.0)
    parser.add_argument("--step-ms", type=float, default=50.0)
    return parser.parse_args()


class Handler(replica.Handler):
    """Serves one channel."""

    def _serve(self):
        if self.path == "/spoolhead/kv-move":
            self._move(json.loads(self.rfile.read(int(self.headers["Content-Length"]))))
        elif self.path.startswith("/spoolhead/kv-handle/"):
            self._send(200)
        else:
            super()._serve()

    do_GET = do_POST = do_PUT = do_DELETE = _serve

    def _move(self, order):
        server = self.server
        request_id = order["id"]
        self._note(id=request_id, event="ordered", last=bool(order.get("last")))
        run = server.runs_by_id.get(request_id)
        if run is None:
            self._answer_order(404, {})
            return
        if order.get("last"):
            run.is_stopped = True
            run.ended.wait()
        else:
            with server.link:
                time.sleep(server.options.copy_ms / 1000)
        self._note(id=request_id, event="copied", last=bool(order.get("last")))
        self._answer_order(200, {"handle": f"h-{request_id}", "made": run.made})

    def _answer_order(self, status, value):
        self._send(status, json.dumps(value).encode(), Content_Type="application/json")

    def _stream(self, request_id):
        options = self.server.options
        count = int(self.headers["X-Token-Usage"].split(",")[1]) // 4
        first = 1
        if self.headers.get("Kv-From"):
            first = int(self.headers.get("Last-Event-Id") or 0) + 1
            self._note(id=request_id, event="goes on", number=first)
        run = self.server.runs_by_id[request_id] = Run(first - 1)
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("X-Request-Id", request_id)
        self.send_header("X-Response-Signature", "sig")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(first, count + 1):
            time.sleep(options.step_ms / 1000)
            time.sleep(max(0.0, self.server.held_up_until_s - time.monotonic()))
            if run.is_stopped:
                break
            run.made = number
            event = b"id: %d\ndata: piece %d of %d\n\n" % (number, number, count)
            self._write(b"%x\r\n%b\r\n" % (len(event), event))
            self._note(id=request_id, event="sent", number=number, of=count)
        del self.server.runs_by_id[request_id]
        run.ended.set()
        self.close_connection = True
        if not run.is_stopped:
            self._write(b"0\r\n\r\n")
            self._note(id=request_id, event="whole")

    def _write(self, data):
        try:
            self.wfile.write(data)
        except OSError:
            # The channel was closed; the run is worked on.
            pass


class Run:
    """A request that is worked on.

    :ivar made: number of events so far.
    :ivar is_stopped: it was ordered to stop.
    :ivar ended: set once it has ended.
    """

    def __init__(self, made):
        self.made = made
        self.is_stopped = False
        self.ended = threading.Event()


def main():
    """Serve until killed."""
    options = parse_options()
    host, port = options.address.split(":")
    server = replica.Server((host, int(port)), Handler)
    server.options = options
    server.lock = threading.Lock()
    server.link = threading.Lock()
    server.running = 0
    server.runs_by_id = {}
    server.held_up_until_s = 0.0
    server.runs = open(options.runs, "a", encoding="utf-8")
    is_leaving = threading.Event()
    signal.signal(signal.SIGUSR1, lambda *_details: is_leaving.set())
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True).start()
    while not is_leaving.wait(0.05):
        pass
    server.held_up_until_s = time.monotonic() + options.stall_ms / 1000
    server.shutdown()
    server.socket.close()
    threading.Event().wait()


if __name__ == "__main__":
    main()
