"""A small deployment on loopback addresses, with stand-ins for platform, replicas and clients."""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
ENGINE = {
    "slots": 64, "kv_capacity": 34459, "kv_token_bytes": 18432, "link_mbps": 2700.0,
    "moves": True, "backups": True, "stride": 4, "most": 12, "pin_ms": 4000.0,
    "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}],
}


def find_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def make_route(name, prefix, kind, service, **changes):
    route = {
        "name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 3000,
        "target_latency_ms": 300, "priority": 2, "service": service, "max_attempts": 1,
        "public": False, "session_affinity": kind == "streaming", "stream_resume": False,
    }
    if kind == "streaming":
        route |= {"timeout_ms": 39000, "target_latency_ms": 1800, "gap_aim_ms": 180}
    return route | changes


def make_table(version, **changes):
    routes = [
        make_route("r-once", "/once/", "unsafe", "app"),
        make_route("r-safe", "/safe/", "safe", "app", max_attempts=2),
        make_route("r-talk", "/talk/", "streaming", "model"),
    ]
    plain = {"health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}
    table = {
        "version": version, "routes": routes,
        "services": [
            {"name": "app", **plain},
            {"name": "model", **plain, "max_connections": 442, "engine": ENGINE},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "huka270", "api_keys": [KEY], "priority": 1}],
    }
    return table | changes


class CannotRun(Exception):
    """The case could not run; it shows nothing."""


class Record:
    def __init__(self, path):
        self._file = open(path, "w")
        self._start = time.monotonic()

    def __call__(self, text):
        print(f"{time.monotonic() - self._start:8.3f} {text}", file=self._file, flush=True)


class Replica:
    """One replica; ``answer(replica, request, reader, writer)`` answers each request."""

    def __init__(self, name, service, host, answer, record, zone="hall-a", slots=64):
        self.name, self.service, self.host, self.zone = name, service, host, zone
        self.answer, self.record, self.slots = answer, record, slots
        self.state = "ready"
        self.listed = True
        self.server = None
        self.address = ""
        self.seen = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, 0, limit=1 << 23)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"

    def describe(self):
        entry = {"id": self.name, "service": self.service, "address": self.address,
                 "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                 "cold_remaining_ms": 0}
        return entry

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                if request.path.startswith("/healthz"):
                    status = "200 OK" if self.state == "ready" else "503 X"
                    writer.write(f"HTTP/1.1 {status}\r\nX-Replica-Id: {self.name}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    continue
                expected = request.headers.get("x-expected-replica", self.name)
                if expected != self.name:
                    writer.write(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.seen.append(request)
                await self.answer(self, request, reader, writer)
                if request.must_close:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()


class Head:
    def __init__(self, first, lines):
        parts = first.split(" ", 2)
        self.method, self.path = parts[0], parts[1] if len(parts) > 1 else ""
        self.first = first
        self.raw = lines
        self.headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()
        self.must_close = False
        self.body = b""

    @property
    def id(self):
        return self.headers.get("x-request-id", "")


async def read_head(reader):
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    return Head(first, lines)


async def read_body(head, reader):
    if "chunked" in head.headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        head.body = body
    elif "content-length" in head.headers:
        head.body = await reader.readexactly(int(head.headers["content-length"]))
    return head.body


def make_answer(request, body=b"done", status="200 OK", **headers):
    lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {request.id}",
             "X-Response-Signature: 3e1b.07.5a2", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Fleet:
    def __init__(self, record, *, entries=2, memory_mb=150, zones=("hall-a",), bounds=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        a, b = random.randrange(70, 250), random.randrange(1, 250)
        self.net = f"127.{a}.{b}"
        self.control, self.front, self.ready = find_port(), find_port(), find_port()
        self.peer = find_port()
        self.keepers = {f"core-{i}": f"{self.net}.{10 + i}" for i in (1, 2, 3)}
        self.entries = {f"front-{i}": f"{self.net}.{20 + i}" for i in range(1, entries + 1)}
        self.zones = zones
        self.memory_mb = memory_mb
        self.bounds = bounds or {}
        self.replicas = []
        self.processes = {}
        self.list_address = ""
        self.extra = {}
        self.proxies = {}

    def zone_of(self, name):
        return self.zones[(int(name.rpartition("-")[2]) - 1) % len(self.zones)]

    async def add_replica(self, name, service, answer, **options):
        host = f"{self.net}.{100 + len(self.replicas)}"
        replica = Replica(name, service, host, answer, self.record, **options)
        await replica.start()
        self.replicas.append(replica)
        return replica

    async def start_list(self, last_octet, describe=None):
        """Start a server of the platform's list on a free port; return it and its address."""
        return await self.start_list_at(f"{self.net}.{last_octet}", 0, describe)

    async def start_list_at(self, host, port, describe=None):
        """Start a server of the platform's list; return it and its address.

        :param describe: returns the entries; by default those of all listed replicas.
        """
        describe = describe or self.describe_replicas

        async def _serve(reader, writer):
            with contextlib.suppress(Exception):
                while await read_head(reader) is not None:
                    body = json.dumps({"instances": describe(), "next_token": None}).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                 + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            with contextlib.suppress(Exception):
                writer.close()

        server = await asyncio.start_server(_serve, host, port)
        return server, f"{host}:{server.sockets[0].getsockname()[1]}"

    def describe_replicas(self):
        return [item.describe() for item in self.replicas if item.listed]

    async def start(self):
        self.list_server, self.list_address = await self.start_list(5)
        for name in self.keepers:
            self.start_process(name, bootstrap=True)
        for name in self.entries:
            self.start_process(name, bootstrap=True)

    async def start_serving(self, table=None):
        await self.start()
        status = 0
        until = time.monotonic() + 20
        while status != 200 and time.monotonic() < until:
            status = await self.put(table or make_table(3), *self.keepers)
            await asyncio.sleep(0.1)
        if status != 200:
            raise CannotRun("no keeper acknowledged the first configuration")
        for name in self.entries:
            while not await self.is_ready(name):
                if time.monotonic() > until:
                    raise CannotRun(f"{name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)

    def write_settings(self, name, *, bootstrap=False):
        is_keeper = name in self.keepers
        host = self.keepers.get(name) or self.entries[name]
        zone = self.zone_of(name)
        seeds = json.dumps([f"{item}:{self.control}" for item in self.keepers.values()])
        bounds = {"grace_period_s": 8, "retry_budget_ratio": 0.2, "retry_window_s": 10,
                  "retry_slack": 56, **self.bounds}
        lines = [
            f'node_name = "{name}"', f'role = "{"keeper" if is_keeper else "entry"}"',
            f'machine_class = "{"core" if is_keeper else "front"}"',
            f'serves = ["{"control" if is_keeper else "front"}"]',
            f'ip = "{host}"', f'zone = "{zone}"', 'region = "munster"',
            f"internal_ports = [{self.peer},{self.peer + 15}]", f"seeds = {seeds}",
            f"bootstrap = {str(bootstrap).lower()}", "loss_counts = " + str(is_keeper).lower(),
            'discovery = "cloud"', 'entry = "vip"',
            'contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]',
            'config_mode = "highest"',
        ]
        if is_keeper:
            lines.append(f'data_dir = "{self.folder / ("data-" + name)}"')
        lines.append("[zones]")
        lines += [f'{item} = "munster"' for item in self.zones]
        lines.append("[listen]")
        if is_keeper:
            lines.append(f'control = "{host}:{self.control}"')
        else:
            lines += [f'front = "{host}:{self.front}"', f'ready = "{host}:{self.ready}"']
        memory = 296 if is_keeper else self.memory_mb
        lines += ["[limits]", "cpu_share = 0.537", "cores = 2", f"memory_mb = {memory}",
                  "max_fds = 4100", "link_mbps = 1000.0", f"disk_mb = {128 if is_keeper else 0}",
                  "[bounds]"]
        lines += [f"{key} = {value}" for key, value in bounds.items()]
        lines += ["[cloud]", f'address = "{self.list_address}"', "rate_per_s = 44.0"]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start_process(self, name, *, bootstrap=False):
        path = self.write_settings(name, bootstrap=bootstrap)
        module = "keeper" if name in self.keepers else "entry"
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {"SPOOLHEAD_NODE_FILE": str(path),
                        "PYTHONPATH": str(ROOT / "target" / "deps"), **self.extra}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-S", "-m", f"spoolhead.platform.{module}"],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record(f"{name} gets {signal.Signals(number).name}")

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def wipe(self, name):
        shutil.rmtree(self.folder / f"data-{name}")

    def stop(self):
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def log_lines(self, name, *texts):
        out = []
        for line in (self.folder / f"{name}.log").read_text().splitlines():
            if not texts or any(text in line for text in texts):
                out.append(line)
        return out

    async def put(self, table, *names, timeout=3.0):
        body = table if isinstance(table, bytes) else json.dumps(table).encode()
        for name in names:
            answer = await call(f"{self.keepers[name]}:{self.control}", "PUT", "/spoolhead/config",
                                body, {"Content-Type": "application/json"}, timeout)
            if answer.status == 200:
                return 200
        return answer.status

    async def get(self, name, timeout=3.0):
        address = f"{self.keepers[name]}:{self.control}"
        return await call(address, "GET", "/spoolhead/config", b"", {}, timeout)

    async def is_ready(self, name):
        address = f"{self.entries[name]}:{self.ready}"
        return (await call(address, "GET", "/spoolhead/readyz", b"", {}, 1.0)).status == 200

    def entry_address(self, name):
        return f"{self.entries[name]}:{self.front}"

    async def send(self, entry, request_id, path="/once/x", *, method="POST", body=b"hello",
                   timeout=5.0, deadline_ms=3000, **headers):
        fields = {"Host": HOST, "X-Request-Id": request_id, "X-Request-Deadline": str(deadline_ms),
                  "Authorization": f"Bearer {KEY}"}
        fields |= {key.replace("_", "-"): value for key, value in headers.items()}
        return await call(self.entry_address(entry), method, path, body, fields, timeout)


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.problem = ""

    def __repr__(self):
        return f"{self.status} {self.body[:60]!r} complete={self.is_complete} {self.problem}"


async def call(address, method, path, body, headers, timeout):
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 23)
            lines = [f"{method} {path} HTTP/1.1"]
            if "Host" not in headers:
                lines.append(f"Host: {address}")
            lines += [f"{key}: {value}" for key, value in headers.items()]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            await read_answer(reader, answer, method)
    except TimeoutError:
        answer.problem = "timeout"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.problem = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


async def read_answer(reader, answer, method="GET"):
    head = await read_head(reader)
    if head is None:
        answer.problem = "closed"
        return
    answer.status = int(head.first.split(" ")[1])
    answer.headers = head.headers
    if method == "HEAD" or answer.status in (204, 304):
        answer.is_complete = True
        return
    if "chunked" in head.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"x", 16)
            if size == 0:
                await reader.readline()
                break
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in head.headers:
        answer.body = await reader.readexactly(int(head.headers["content-length"]))
    else:
        answer.body = await reader.read()
    answer.is_complete = True


def run_case(folder, main, limit_s=110):
    """Run ``main(record, trouble)`` and exit with 1 if it returns a text, the broken rule.

    Exit status 0 says that the rule held, 2 that the case could not run.
    """
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record(f"trouble: {trouble}")

    async def _run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, _context: None)
        async with asyncio.timeout(limit_s):
            return await main(record, trouble)

    try:
        broken = asyncio.run(_run())
    except Exception as error:
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    record(f"broken: {broken}" if broken else "the rule held")
    print(f"broken: {broken}" if broken else "the rule held")
    sys.exit(1 if broken else 0)
