"""A small deployment on loopback addresses: three keepers, two entries and a stand-in platform.

The keepers and entries are the project's own programs, started with the commands of
``deploy/system.toml``. The stand-ins (list of replicas, replicas, operator, clients) live in the
process of the test and use only the standard library.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
API_KEY = "xd9dnn2ctnfzs989anu6"
HOST = "ficu95.example"
PIECE_BYTES = 65_536
"""Bytes that a client with a pace writes at once."""
PAGE_ENTRIES = 50
"""Entries on a page of the list of replicas, as in the site files and in the token ``p-50``."""
CONTRACTS = "base drain config cost retry recover engine stream tenants".split()


def exit_on_sigterm():
    """Let SIGTERM end the test in order, so that it ends the processes that it started."""

    def _exit(*_details):
        sys.exit(2)

    signal.signal(signal.SIGTERM, _exit)


def find_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def make_route(name, kind, service, **changes):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 6000,
        "target_latency_ms": 1500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "session_affinity": kind == "streaming",
        "stream_resume": False,
        **({"gap_aim_ms": 180} if kind == "streaming" else {}),
        **changes,
    }


def make_config(version, routes=None, **changes):
    engine = {
        "slots": 64,
        "kv_capacity": 34545,
        "kv_token_bytes": 18432,
        "link_mbps": 2700.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "most": 12,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": "m"}],
    }
    service = {"health_path": "/healthz", "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": routes
        or [
            make_route("once", "unsafe", "plain"),
            make_route("safe", "safe", "plain"),
            make_route("talk", "streaming", "model", timeout_ms=39000, max_attempts=1),
        ],
        "services": [
            {**service, "name": "plain", "max_connections": 110},
            {**service, "name": "model", "max_connections": 442, "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "huka270", "api_keys": [API_KEY], "priority": 1}],
        **changes,
    }


class Record:
    """What was sent, answered and run, with times in seconds since the start."""

    def __init__(self, path):
        self.start_s = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")

    def write(self, text):
        line = f"{time.monotonic() - self.start_s:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, *, to_end=False):
    """Return the body; raises IncompleteReadError if it is broken off."""
    if headers.get("transfer-encoding") == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


class Replica:
    """A replica. ``handler`` may be replaced by a test; it gets the replica and the connection.

    :ivar runs: ids of the requests that it ran, in order.
    """

    def __init__(self, fleet, name, service, host, zone="hall-a"):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.host = host
        self.zone = zone
        self.state = "ready"
        self.listed = True
        self.runs = []
        self.work_s = 0.09
        self.server = None
        self.writers = set()
        self.address = ""
        self.handler = None
        self.copy_handler = None
        self.slots = 64 if service == "model" else 6
        self.queue = 192 if service == "model" else 24
        self.waiting = 0
        self.places = asyncio.Semaphore(self.slots)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, 0, limit=1 << 24)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"

    def end(self):
        """End as a process that is stopped: it refuses channels, and its open ones end."""
        self.listed = False
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def describe(self):
        entry = {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
        }
        if self.service == "model":
            entry |= {"stage": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}]}
        return entry

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_requests(self, reader, writer):
        # At the end of the test the task is cancelled, which needs no report.
        ended = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                if not await self._answer(request, reader, writer):
                    break

    async def _answer(self, request, reader, writer):
        if request.target == "/healthz":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            send(writer, status, {"X-Replica-Id": self.name, "X-Replica-Load": "0,0,8"}, b"")
            return True
        if request.target.startswith("/spoolhead/report"):
            report = {
                "stage": "hybrid",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy_slots": False,
                "sequence": 0,
                "queue_depth": 0,
                "num_running": 0,
                "kv_used": 0,
                "kv_total": 34545,
                "handles": 0,
            }
            send(writer, "200 OK", {}, json.dumps(report).encode())
            return True
        if request.target == "/spoolhead/kv-move" and self.copy_handler is not None:
            return await self.copy_handler(self, request, writer)
        if request.target.startswith("/spoolhead/"):
            send(writer, "404 Not Found", {}, b"{}")
            return True
        request_id = request.headers.get("x-request-id", "")
        self.fleet.record.write(f"{self.name} gets {request.method} {request.target} {request_id}")
        if request.headers.get("x-expected-replica", self.name) != self.name:
            send(writer, "421 Misdirected Request", {"X-Not-Executed": "1"}, b"")
            return True
        if self.waiting >= self.slots + self.queue:
            self.fleet.record.write(f"{self.name} is full for {request_id}")
            head = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
            send(writer, "503 Service Unavailable", head, b"")
            return True
        self.waiting += 1
        try:
            async with self.places:
                return await self._run(request, request_id, reader, writer)
        finally:
            self.waiting -= 1

    async def _run(self, request, request_id, reader, writer):
        self.runs.append(request_id)
        self.fleet.runs.append((time.monotonic(), self.name, request_id))
        self.fleet.record.write(f"{self.name} runs {request_id}")
        if self.handler is not None:
            return await self.handler(self, request, reader, writer)
        if "x-token-usage" in request.headers:
            return await self.stream(request, writer)
        await asyncio.sleep(self.work_s)
        load = f"{min(self.slots, self.waiting)},{max(0, self.waiting - self.slots)},{self.slots}"
        head = {"X-Request-Id": request_id, "X-Response-Signature": f"s.{request_id}"}
        head["X-Replica-Load"] = load
        send(writer, "200 OK", head, f"{self.name} {request_id}".encode())
        return True

    async def stream(self, request, writer, step_s=0.03):
        request_id = request.headers.get("x-request-id", "")
        count = int(request.headers["x-token-usage"].split(",")[1]) // 4
        head = {"X-Request-Id": request_id, "X-Response-Signature": f"s.{request_id}"}
        lines = [f"{name}: {value}" for name, value in head.items()]
        writer.write(
            "\r\n".join(
                ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *lines]
                + ["Transfer-Encoding: chunked", "", ""]
            ).encode()
        )
        for number in range(1, count + 1):
            event = b"id: %d\ndata: %s-%d\n\n" % (number, request_id.encode(), number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(step_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def send(writer, status, headers, body):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)


class Answer:
    """An answer to a client; status 0 stands for none, ``whole`` for a complete one."""

    def __init__(self, status, headers, body, whole, text=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole
        self.text = text


async def call(address, method, target, headers, body=b"", *, timeout_s=10.0):
    """Make one request on a connection of its own."""
    host, _, port = address.partition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
            writer.write(encode(method, target, headers, body))
            return await read_answer(reader, method)
    except TimeoutError:
        return Answer(0, {}, b"", False, "timeout")
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(0, {}, b"", False, f"{type(error).__name__}")
    finally:
        if writer is not None:
            writer.close()


class Channel:
    """A kept channel of a client."""

    def __init__(self, fleet, entry):
        self._fleet = fleet
        self._entry = entry
        self._reader = None
        self._writer = None

    async def send(
        self, method, target, request_id, body=b"", *, deadline_ms=6000, bytes_per_s=0, **extra
    ):
        """Send a request, on a new channel if the last one has ended.

        :param bytes_per_s: pace at which the client sends; 0 for as fast as it can.
        """
        fleet = self._fleet
        headers = fleet.make_headers(request_id, deadline_ms, extra)
        fleet.record.write(f"client sends {method} {target} {request_id} to {self._entry}")
        data = encode(method, target, headers, body)
        answer = await self._send(method, data, deadline_ms / 1000, bytes_per_s)
        if not answer.whole or answer.headers.get("connection", "").lower() == "close":
            self.close()
        fleet.record.write(f"client gets {answer.status} {answer.text} for {request_id}")
        return answer

    async def _send(self, method, data, timeout_s, bytes_per_s):
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        self._fleet.entries[self._entry], self._fleet.port, limit=1 << 24
                    )
                await self._write(data, bytes_per_s)
                return await read_answer(self._reader, method)
        except TimeoutError:
            return Answer(0, {}, b"", False, "timeout")
        except ConnectionRefusedError:
            return Answer(0, {}, b"", False, "no channel")
        except (OSError, asyncio.IncompleteReadError) as error:
            return Answer(0, {}, b"", False, f"closed ({type(error).__name__})")

    async def _write(self, data, bytes_per_s):
        if not bytes_per_s:
            self._writer.write(data)
            return
        start_s = time.monotonic()
        for begin in range(0, len(data), PIECE_BYTES):
            self._writer.write(data[begin : begin + PIECE_BYTES])
            await self._writer.drain()
            due_s = start_s + (begin + PIECE_BYTES) / bytes_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def encode(method, target, headers, body):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader, method="GET"):
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    try:
        body = b"" if method == "HEAD" else await read_body(reader, headers, to_end=True)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, headers, b"", False, "broken off")
    return Answer(status, headers, body, True)


class Fleet:
    """The processes of a small deployment.

    :param record: what happened.
    :param bounds: changes of ``[bounds]`` of the settings.
    :param limits: changes of ``[limits]`` of the settings of entries.
    """

    def __init__(self, record, *, entries=2, bounds=None, limits=None):
        self.record = record
        self.bounds = bounds or {}
        self.limits = limits or {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = {}
        self.runs = []
        self.replicas = {}
        self.port, self.ready_port, self.peer_port = find_port(), find_port(), find_port()
        self.net = f"127.{60 + self.port % 150}.{1 + self.peer_port % 250}"
        self.keepers = {f"core-{i}": f"{self.net}.{10 + i}" for i in (1, 2, 3)}
        self.entries = {f"front-{i}": f"{self.net}.{20 + i}" for i in range(1, entries + 1)}
        self.cloud_host = f"{self.net}.50"
        self.cloud = ""
        self.version = 0
        self.foreign_entries = []
        self._cloud_server = None
        self._replica_hosts = 60

    async def start(self, replicas):
        """Start everything and wait until all entries are ready.

        :param replicas: pairs of a name and a service.
        """
        self._cloud_server = await asyncio.start_server(self._serve_cloud, self.cloud_host, 0)
        self.cloud = f"{self.cloud_host}:{self._cloud_server.sockets[0].getsockname()[1]}"
        for name, service in replicas:
            await self.add_replica(name, service)
        for name in self.keepers:
            self.start_keeper(name, bootstrap=True)
        for name in self.entries:
            self.start_entry(name, bootstrap=True)
        if not await self.put(make_config(7)):
            raise RuntimeError("no keeper acknowledged the first configuration")
        for name in self.entries:
            await self.wait_ready(name)

    async def add_replica(self, name, service):
        self._replica_hosts += 1
        replica = Replica(self, name, service, f"{self.net}.{self._replica_hosts}")
        await replica.start()
        self.replicas[name] = replica
        return replica

    async def wait_ready(self, name, timeout_s=15.0):
        until_s = time.monotonic() + timeout_s
        address = f"{self.entries[name]}:{self.ready_port}"
        while time.monotonic() < until_s:
            answer = await call(address, "GET", "/spoolhead/readyz", {"Host": "x"}, timeout_s=1.0)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{name} does not become ready")

    async def put(self, config, *, timeout_s=15.0):
        """Send a configuration until it is acknowledged, to one keeper after the other."""
        body = json.dumps(config).encode()
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            for host in self.keepers.values():
                answer = await call(
                    f"{host}:{self.port}",
                    "PUT",
                    "/spoolhead/config",
                    {"Host": "x", "Content-Type": "application/json"},
                    body,
                    timeout_s=2.0,
                )
                self.record.write(f"PUT version {config['version']} to {host}: {answer.status}")
                if answer.status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False

    def make_headers(self, request_id, deadline_ms, extra):
        return {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Request-Deadline": str(deadline_ms),
            "Authorization": f"Bearer {API_KEY}",
            **extra,
        }

    async def send(self, entry, target, request_id, *, method="POST", body=b"", **options):
        timeout_s = options.pop("timeout_s", 10.0)
        headers = self.make_headers(request_id, options.pop("deadline_ms", 6000), options)
        self.record.write(f"client sends {method} {target} {request_id} to {entry}")
        address = f"{self.entries[entry]}:{self.port}"
        answer = await call(address, method, target, headers, body, timeout_s=timeout_s)
        self.record.write(
            f"client gets {answer.status} for {request_id}, whole {answer.whole} {answer.text}"
        )
        return answer

    def start_keeper(self, name, *, bootstrap=False):
        self._start(name, self.keepers[name], "keeper", bootstrap)

    def start_entry(self, name, *, bootstrap=False):
        self._start(name, self.entries[name], "entry", bootstrap)

    def _start(self, name, host, program, bootstrap):
        is_keeper = program == "keeper"
        listen = f'control = "{host}:{self.port}"'
        limits = {"memory_mb": 296, "disk_mb": 128}
        if not is_keeper:
            listen = f'front = "{host}:{self.port}"\nready = "{host}:{self.ready_port}"'
            limits = {"memory_mb": 150, "disk_mb": 0, **self.limits}
        seeds = [f"{seed}:{self.port}" for seed in self.keepers.values()]
        bounds = {
            "contact_ms": 3000,
            "ack_timeout_ms": 4000,
            "drain_timeout_ms": 3000,
            "grace_period_s": 8,
            "config_apply_ms": 2000,
            "retry_budget_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 56,
            "recovery_s": 12,
            **self.bounds,
        }
        data = f'data_dir = "{self.get_data_dir(name)}"\n' if is_keeper else ""
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'node_name = "{name}"\nrole = "{program}"\nzone = "hall-a"\nregion = "munster"\n'
            f'ip = "{host}"\ninternal_ports = [{self.peer_port}, {self.peer_port}]\n'
            f"seeds = {json.dumps(seeds)}\nbootstrap = {json.dumps(bootstrap)}\n{data}"
            f"contracts = {json.dumps(CONTRACTS)}\n"
            f"[listen]\n{listen}\n[limits]\nlink_mbps = 1000.0\nmax_fds = 4100\n"
            + "".join(f"{key} = {value}\n" for key, value in limits.items())
            + "[bounds]\n"
            + "".join(f"{key} = {json.dumps(value)}\n" for key, value in bounds.items())
            + f'[cloud]\naddress = "{self.cloud}"\nrate_per_s = 44.0\nmax_lag_ms = 800\n'
        )
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SPOOLHEAD_NODE_FILE": str(path),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-S", "-m", f"spoolhead.platform.{program}"],
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )
        self.record.write(f"{name} starts")

    def get_data_dir(self, name):
        return self.folder / f"data-{name}"

    def signal(self, name, number):
        self.record.write(f"{name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def kill(self, name):
        process = self.processes.pop(name)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait()
        self.record.write(f"{name} is killed")

    def close(self):
        for name in list(self.processes):
            self.kill(name)
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _make_page(self, target):
        """Return a page of the list of replicas; its token is named as in PROTOCOL.md."""
        listed = [item.describe() for item in self.replicas.values() if item.listed]
        listed += self.foreign_entries
        begin = int(target.partition("page_token=p-")[2] or 0)
        end = begin + PAGE_ENTRIES
        next_token = f"p-{end}" if end < len(listed) else None
        return json.dumps({"instances": listed[begin:end], "next_token": next_token}).encode()

    async def _serve_cloud(self, reader, writer):
        ended = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                page = self._make_page(first.split(" ")[1])
                send(writer, "200 OK", {"Content-Type": "application/json"}, page)
        writer.close()


def read_rss_mb(pid):
    """Return the resident memory of a process now and at its peak, in MB (10^6 bytes)."""
    values = {}
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(("VmRSS:", "VmHWM:")):
            values[line[:5]] = int(line.split()[1]) * 1024 / 1e6
    return values["VmRSS"], values["VmHWM"]
