"""Starts a small deployment as separate processes: keepers, entries, replicas and the list.

The keepers and entries are the project's own programs, started with the commands of the deploy file
on loopback addresses of their own. Uses the standard library only.
"""

import errno
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http import server as http_server

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIB = pathlib.Path(__file__).resolve().parent
START_TIMEOUT_S = 20.0
API_KEY = "key-of-tenant-1"
HOST = "a.example"


class CannotRunError(Exception):
    """Raised when the deployment does not come up, so that the case says nothing."""


def find_port(host="127.0.0.1"):
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to the record of the case."""

    def __init__(self, path):
        self._stream = open(path, "w", encoding="utf-8")
        self._start_s = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        """Write one line with the time since the start."""
        with self._lock:
            line = f"{time.monotonic() - self._start_s:8.3f} s  {text}"
            self._stream.write(line + "\n")
            self._stream.flush()
            print(line, flush=True)


class ReplicaProcess:
    """A replica at one address, which may be started several times.

    :ivar listed: its entries for the list: boot id, time it is listed from and until.
    """

    program = "replica.py"

    def __init__(self, deployment, name, service, zone, *options, address=None):
        self.deployment = deployment
        self.name = name
        self.service = service
        self.zone = zone
        self.options = options
        host = deployment.new_host()
        self.listens = f"{host}:{find_port(host)}"
        self.address = address or self.listens
        self.boots = 0
        self.process = None
        self.listed = []
        self.state = "ready"
        self.runs_path = deployment.folder / f"runs-{name}.jsonl"

    @property
    def boot_id(self):
        """Id of the present boot."""
        return f"i-{self.name}-{self.boots}"

    def start(self, wait=True):
        """Start a new boot; it is listed ``max_lag_ms`` later."""
        self.boots += 1
        arguments = [sys.executable, "-S", str(LIB / self.program), self.listens, self.boot_id]
        arguments += [str(self.runs_path), *self.options]
        self.process = self.deployment.spawn(f"replica {self.boot_id}", arguments, {})
        if wait:
            host, port = self.listens.split(":")
            deployment_wait(
                lambda: accepts((host, int(port))), f"replica {self.name} does not listen"
            )
        lag_s = self.deployment.list_lag_s if self.boots > 1 else 0.0
        self.listed.append([self.boot_id, time.monotonic() + lag_s, float("inf")])

    def kill(self, listed_for_s=2.0):
        """Kill the present boot, which stays on the list for some seconds."""
        self.process.kill()
        self.process.wait()
        self.listed[-1][2] = time.monotonic() + listed_for_s

    def read_runs(self):
        """Return the records of what it has run."""
        if not self.runs_path.exists():
            return []
        lines = self.runs_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]

    def describe(self, now_s):
        """Return its entries in the list."""
        return [
            {
                "id": boot_id,
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 64,
                "state": self.state,
                "cold_remaining_ms": 0,
            }
            for boot_id, from_s, until_s in self.listed
            if from_s <= now_s < until_s
        ]


def accepts(address):
    """Return whether a connection to a host and port is accepted."""
    try:
        socket.create_connection(address, 0.2).close()
    except OSError:
        return False
    return True


def deployment_wait(condition, text, timeout_s=START_TIMEOUT_S):
    """Wait until a condition holds.

    :raises CannotRunError: if it does not hold in time.
    """
    until_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until_s:
            raise CannotRunError(text)
        time.sleep(0.03)


class WaitingDaemon:
    """A process of a keeper or an entry that has loaded its code and waits for its settings file.

    The file is a pipe until then, so that the start does not take the time to load the code.
    """

    def __init__(self, deployment, name, process, path):
        self._deployment = deployment
        self._name = name
        self._process = process
        self._pipe = None
        self._path = path

    def wait_until_it_reads(self):
        """Wait until it has opened the file."""
        deployment_wait(self._open, f"{self._name} does not read its settings")

    def begin(self):
        """Let it read its settings, as the present process of that name."""
        os.write(self._pipe, self._deployment.make_settings(self._name).encode())
        os.close(self._pipe)
        self._deployment.processes[self._name] = self._process

    def end(self):
        """End it unread."""
        self._process.kill()
        self._process.wait()
        if self._pipe is not None:
            os.close(self._pipe)
        self._path.unlink()

    def _open(self):
        try:
            self._pipe = os.open(self._path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise
            return False
        return True


class _ListHandler(http_server.BaseHTTPRequestHandler):
    def do_GET(self):
        now_s = time.monotonic()
        entries = [
            entry
            for replica in list(self.server.deployment.replicas.values())
            for entry in replica.describe(now_s)
        ]
        body = json.dumps({"instances": entries, "next_token": None}).encode()
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_arguments):
        """Write no log."""


class Deployment:
    """Keepers, entries, replicas and the platform's list; used as a context."""

    def __init__(self, keepers=3, entries=2, list_lag_s=0.8):
        self._folder = tempfile.TemporaryDirectory(prefix="review-2-")
        self.folder = pathlib.Path(self._folder.name)
        self.list_lag_s = list_lag_s
        self.net = f"127.{random.randrange(101, 250)}.{random.randrange(1, 250)}"
        self._next_host = 100
        self.port = find_port()
        self.ready_port = find_port()
        self.peer_port = find_port()
        self.processes = {}
        self._all = []
        self._prepared = 0
        self.replicas = {}
        self.hosts = {f"keeper-{i}": f"{self.net}.{10 + i}" for i in range(1, keepers + 1)}
        self.hosts |= {f"entry-{i}": f"{self.net}.{30 + i}" for i in range(1, entries + 1)}
        self._list = http_server.ThreadingHTTPServer((f"{self.net}.9", 0), _ListHandler)
        self._list.daemon_threads = True
        self._list.deployment = self
        self.list_address = f"{self.net}.9:{self._list.server_address[1]}"
        threading.Thread(target=self._list.serve_forever, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *_details):
        for process in self._all:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self._list.shutdown()
        self._folder.cleanup()

    def new_host(self):
        """Return a loopback address that nothing else uses."""
        self._next_host += 1
        return f"{self.net}.{self._next_host}"

    def spawn(self, name, arguments, environment):
        """Start a process whose output goes to a file of its own."""
        path = self.folder / f"{name.replace(' ', '-')}.log"
        with path.open("ab") as log:
            process = subprocess.Popen(
                arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], **environment},
            )
        self._all.append(process)
        return process

    def start(self, replicas, table, first="keeper-1"):
        """Start everything and put the first configuration in force."""
        for replica in replicas:
            self.replicas[replica.name] = replica
            replica.start()
        for name in self.hosts:
            self.start_daemon(name, bootstrap=True)
        self.put_until_accepted(table, first)
        for name in self.hosts:
            if name.startswith("entry"):
                deployment_wait(lambda name=name: self.is_ready(name), f"{name} is not ready")
        time.sleep(1.5)

    def start_daemon(self, name, bootstrap=False):
        """Start a keeper or an entry."""
        path = self.folder / f"{name}.toml"
        path.write_text(self.make_settings(name, bootstrap))
        self.processes[name] = self._spawn_daemon(name, path)

    def prepare_daemon(self, name):
        """Return a process for a keeper or an entry that waits for its settings file."""
        self._prepared += 1
        path = self.folder / f"{name}-{self._prepared}.toml"
        os.mkfifo(path)
        return WaitingDaemon(self, name, self._spawn_daemon(name, path), path)

    def _spawn_daemon(self, name, path):
        module = f"spoolhead.platform.{'keeper' if name.startswith('keeper') else 'entry'}"
        environment = {"SPOOLHEAD_NODE_FILE": str(path), "PYTHONPATH": "target/deps"}
        return self.spawn(name, [sys.executable, "-S", "-m", module], environment)

    def make_settings(self, name, bootstrap=False):
        """Return the text of the settings file of a keeper or an entry."""
        host = self.hosts[name]
        is_keeper = name.startswith("keeper")
        seeds = [f"{h}:{self.port}" for n, h in self.hosts.items() if n.startswith("keeper")][:3]
        listen = f'control = "{host}:{self.port}"\n'
        if not is_keeper:
            listen = f'front = "{host}:{self.port}"\nready = "{host}:{self.ready_port}"\n'
        data_dir = self.folder / f"data-{name}"
        return (
            f'node_name = "{name}"\n'
            f'role = "{"keeper" if is_keeper else "entry"}"\n'
            f'machine_class = "{"core" if is_keeper else "front"}"\n'
            f'serves = ["{"control" if is_keeper else "front"}"]\n'
            f'ip = "{host}"\nzone = "hall-a"\nregion = "munster"\n'
            f"internal_ports = [{self.peer_port},{self.peer_port + 15}]\n"
            f"seeds = {json.dumps(seeds)}\n"
            f"bootstrap = {json.dumps(bootstrap)}\nloss_counts = {json.dumps(is_keeper)}\n"
            'discovery = "cloud"\nentry = "vip"\nheartbeat_ms = 1200\n'
            'contracts = ["base","drain","config","cost","retry","recover","engine","stream",'
            '"tenants"]\nconfig_mode = "highest"\n'
            + (f'data_dir = "{data_dir}"\n' if is_keeper else "")
            + f'[zones]\nhall-a = "munster"\nhall-b = "munster"\n[listen]\n{listen}'
            "[limits]\ncpu_share = 0.537\ncores = 2\nmemory_mb = 300\nmax_fds = 4100\n"
            f"link_mbps = 1000.0\ndisk_mb = {128 if is_keeper else 0}\n"
            "[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
            "[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_timeout_ms = 4000\n"
            "catch_up_s = 4\ndrain_timeout_ms = 3000\ngrace_period_s = 8\nloss_slack_ms = 200\n"
            "config_apply_ms = 2000\nrollback_slack_ms = 250\nouter_ms = 5000\n"
            "strict_revoke = false\nrevoke_timeout_ms = 5000\nretry_budget_ratio = 0.2\n"
            "retry_window_s = 10\nretry_slack = 56\nrecovery_s = 12\npass_ms = 120\nagain_s = 5.4\n"
            f'[cloud]\naddress = "{self.list_address}"\nrate_per_s = 44.0\nduties = []\n'
            "max_lag_ms = 800\n"
        )

    def signal(self, name, number):
        """Send a signal to a keeper or an entry."""
        self.processes[name].send_signal(number)

    def read_log(self, name):
        """Return what a process has written."""
        return (self.folder / f"{name.replace(' ', '-')}.log").read_text(errors="replace")

    def call_control(self, name, method, body=None, timeout_s=3.0):
        """Call a keeper's interface for the operator; return status (0: no answer) and body."""
        connection = http.client.HTTPConnection(self.hosts[name], self.port, timeout=timeout_s)
        try:
            headers = {"Content-Type": "application/json"}
            connection.request(method, "/spoolhead/config", body, headers)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def put_until_accepted(self, table, first="keeper-1"):
        """Send a configuration until it is acknowledged."""
        document = json.dumps(table).encode()
        deployment_wait(
            lambda: self.call_control(first, "PUT", document)[0] == 200,
            "no keeper acknowledged the configuration",
        )

    def is_ready(self, name):
        """Return whether an entry says that it is ready."""
        connection = http.client.HTTPConnection(self.hosts[name], self.ready_port, timeout=1.0)
        try:
            connection.request("GET", "/spoolhead/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()


def make_table(version, **changes):
    """Return a configuration with a route of each kind."""
    route = {
        "host": HOST,
        "timeout_ms": 30000,
        "target_latency_ms": 1800,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
        "session_affinity": False,
        "stream_resume": False,
    }
    engine = {
        "slots": 64,
        "kv_capacity": 34459,
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
    service = {"health_path": "/healthz", "max_connections": 432, "protocol": "h1", "tls": False}
    routes = [
        {**route, "name": "once", "path_prefix": "/once/", "kind": "unsafe", "service": "app"},
        {**route, "name": "safe", "path_prefix": "/safe/", "kind": "safe", "service": "app"},
        {
            **route,
            "name": "talk",
            "path_prefix": "/talk/",
            "kind": "streaming",
            "service": "model",
            "max_attempts": 1,
            "gap_aim_ms": 180,
        },
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{**service, "name": "app"}, {**service, "name": "model", "engine": engine}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": [API_KEY], "priority": 1}],
        **changes,
    }


class Answer:
    """What a client has seen of an answer.

    :ivar status: its status; 0 if no answer came.
    :ivar body: the bytes of its body.
    :ivar is_complete: whether the framing showed its end.
    :ivar reason: why it ended otherwise.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.reason = ""
        self.events = []
        self.done = threading.Event()


class Client:
    """Sends one request on a channel of its own, in a thread."""

    def __init__(self, address, method, path, headers, body=b"", timeout_s=60.0):
        self.answer = Answer()
        self._address = address
        self._request = (method, path, headers, body)
        self._timeout_s = timeout_s
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        method, path, headers, body = self._request
        answer = self.answer
        host, port = self._address
        try:
            connection = http.client.HTTPConnection(host, port, timeout=self._timeout_s)
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            answer.headers = {name.lower(): value for name, value in response.getheaders()}
            answer.status = response.status
            while data := response.read1(65536):
                answer.body += data
            length = answer.headers.get("content-length")
            answer.is_complete = length is None or int(length) == len(answer.body)
        except (OSError, http.client.HTTPException) as error:
            answer.reason = f"{type(error).__name__}: {error}"
        finally:
            answer.done.set()


def make_headers(request_id, deadline_ms=25000, **extra):
    """Return the headers of a client's request."""
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {API_KEY}",
        "X-Request-Id": request_id,
        "X-Request-Deadline": str(deadline_ms),
    }
    return headers | {name.replace("_", "-"): value for name, value in extra.items()}


def make_stream_headers(request_id, events, **extra):
    """Return the headers of a client's request for a stream of events."""
    return make_headers(
        request_id,
        X_Model="m",
        X_Token_Usage=f"200,{events * 4}",
        X_Prompt_Prefix=f"{random.randrange(1 << 30):x}:200",
        **extra,
    )


def main(run_case):
    """Run a case and exit with its code: 1 broken, 0 held, 2 could not run."""
    folder = pathlib.Path(sys.argv[1]).resolve()
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {'yes' if has_trouble else 'no'}")
    # An end by a signal leaves the context of the deployment, too, which ends its processes.
    signal.signal(signal.SIGTERM, lambda *_details: sys.exit(2))
    try:
        is_broken = run_case(record, has_trouble)
    except Exception as error:
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    record.write("RULE BROKEN" if is_broken else "rule held")
    sys.exit(1 if is_broken else 0)
