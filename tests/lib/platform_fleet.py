"""Starts real keepers and entries with the settings of the platform, and a simulated platform."""

import contextlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import time

from lib import cut_links, separable_entry

TESTS = pathlib.Path(__file__).parents[1]
TOOLS = pathlib.Path(__file__).parents[2] / "tools"
API_KEY = "key-of-w1"
TIMEOUT_S = 12.0
INSTANCES = (
    "m-1:model:hall-a",
    "m-2:model:hall-a",
    "m-3:model:hall-a",
    "p-1:plain:hall-a",
    "p-2:plain:hall-a",
)


def _find_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def make_table(version, **changes):
    route = {
        "host": "a.example",
        "timeout_ms": 8000,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 1,
        "public": False,
    }
    routes = [
        {**route, "name": "once", "path_prefix": "/once/", "kind": "unsafe", "service": "plain"},
        {**route, "name": "safe", "path_prefix": "/safe/", "kind": "safe", "service": "plain"},
        {
            **route,
            "name": "talk",
            "path_prefix": "/talk/",
            "kind": "streaming",
            "service": "model",
            "gap_aim_ms": 180,
        },
    ]
    engine = {"slots": 8, "kv_capacity": 34_000, "moves": True, "backups": True, "stride": 1}
    service = {"health_path": "/healthz", "max_connections": 100, "protocol": "h1"}
    return {
        "version": version,
        "routes": routes,
        "services": [{**service, "name": "plain"}, {**service, "name": "model", "engine": engine}],
        "tenants": [{"name": "w1", "api_keys": [API_KEY], "priority": 1}],
        **changes,
    }


class Answer:
    def __init__(self, answer):
        self.status = answer.status
        self.headers = dict(answer.headers)
        self.body = answer.read()


class PlatformFleet:
    """Three keepers, some entries and a simulated platform, each on its own loopback address.

    :param folder: folder for settings, logs and data.
    :param entries: number of entries.
    :param limits: limits on each process, for its settings file.
    :param contracts: contracts of the deployment, for the settings files.
    :param retry_slack: repeats that all entries together may make beyond a fifth of the requests.
    """

    def __init__(self, folder, *, entries=2, limits=None, contracts=(), retry_slack=50):
        self.folder = folder
        self.limits = limits or {}
        self.contracts = list(contracts)
        self.retry_slack = retry_slack
        self.processes = {}
        self.links = {}
        self.peer_port = _find_port()
        self.port = _find_port()
        self.ready_port = _find_port()
        # Fleets of concurrent tests must not share an address, because some ports are the same
        # for all fleets.
        net = f"127.{100 + self.port % 100}.{self.peer_port % 250}"
        self.keeper_hosts = {f"keeper-{i}": f"{net}.{10 + i}" for i in (1, 2, 3)}
        self.entry_hosts = {f"entry-{i}": f"{net}.{20 + i}" for i in range(1, entries + 1)}

    def __enter__(self):
        return self

    def __exit__(self, *_details):
        for name in list(self.processes):
            self.kill(name)
        for links in self.links.values():
            links.close()

    def start(self, entries=None, step_ms=10, keepers=None, separable=(), instances=INSTANCES):
        """Start the processes.

        :param separable: entries whose connections to instances can be cut, see ``links``.
        """
        arguments = [sys.executable, "-m", "standins.platform", "--step-ms", str(step_ms)]
        for instance in instances:
            arguments += ["--instance", instance]
        environment = {**os.environ, "PYTHONPATH": str(TOOLS)}
        process = subprocess.Popen(
            arguments, stdout=subprocess.PIPE, env=environment, cwd=TOOLS, text=True
        )
        self.processes["platform"] = process
        line = process.stdout.readline()
        self.list_address = f"127.0.0.1:{line.strip().partition('port=')[2]}"
        self.links = {
            name: cut_links.CutLinks(self.list_address, self.folder / f"{name}-forwarders.json")
            for name in separable
        }
        for name in self.keeper_hosts if keepers is None else keepers:
            self.start_keeper(name, is_first_start=True)
        for name in self.entry_hosts if entries is None else entries:
            self.start_entry(name)

    def start_serving(self, **options):
        """Start all processes, apply a first table and wait until all entries serve by it."""
        self.start(**options)
        self.put_until_accepted("keeper-1", make_table(3))
        self.wait_until_ready(*self.entry_hosts)

    def start_keeper(self, name, *, is_first_start=False):
        host = self.keeper_hosts[name]
        listen = f'control = "{host}:{self.port}"'
        self._start(name, host, listen, "keeper", is_first_start)

    def start_entry(self, name):
        host = self.entry_hosts[name]
        listen = f'front = "{host}:{self.port}"\nready = "{host}:{self.ready_port}"'
        self._start(name, host, listen, "entry", False)

    def _start(self, name, host, listen, program, is_first_start):
        seeds = json.dumps([f"{seed}:{self.port}" for seed in self.keeper_hosts.values()])
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'node_name = "{name}"\nzone = "hall-a"\nip = "{host}"\n'
            f"internal_ports = [{self.peer_port}, {self.peer_port}]\nseeds = {seeds}\n"
            f"bootstrap = {json.dumps(is_first_start)}\ncontracts = {json.dumps(self.contracts)}\n"
            f'data_dir = "{self.get_data_dir(name)}"\n[listen]\n{listen}\n[bounds]\n'
            f"grace_period_s = 6\nretry_budget_ratio = 0.2\nretry_slack = {self.retry_slack}\n"
            f'[cloud]\naddress = "{self.list_address}"\n[limits]\n'
            + "".join(f"{name} = {value}\n" for name, value in self.limits.items())
        )
        log = (self.folder / f"{name}.log").open("ab")
        module = f"spoolhead.platform.{program}"
        environment = {**os.environ, "SPOOLHEAD_NODE_FILE": str(path)}
        if name in self.links:
            module = "lib.separable_entry"
            environment["PYTHONPATH"] = str(TESTS)
            environment[separable_entry.MAP_VARIABLE] = str(self.links[name].map_path)
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module], stdout=log, stderr=log, env=environment
        )
        log.close()

    def get_data_dir(self, name):
        return self.folder / f"data-{name}"

    def read_log(self, name):
        return [
            json.loads(line)
            for line in (self.folder / f"{name}.log").read_text().splitlines()
            if line.startswith("{")
        ]

    def lists_as_rejoined(self, keeper, other):
        """Return whether a keeper lists another keeper as a member under a new id."""
        # A keeper that is still starting has not logged its members.
        members = []
        for line in self.read_log(keeper):
            if line["text"] == "members changed" and not line["is_changing"]:
                members = line["members"]
        host = f"{self.keeper_hosts[other]}:"
        return any(member.startswith(host) and not member.endswith("#first") for member in members)

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)

    def kill(self, name):
        process = self.processes.pop(name)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGKILL)
        process.wait()
        if process.stdout is not None:
            process.stdout.close()

    def wait_for_exit(self, name):
        process = self.processes.pop(name)
        return process.wait(timeout=TIMEOUT_S)

    def wipe(self, name):
        shutil.rmtree(self.get_data_dir(name))

    def put(self, keeper, table):
        document = table if isinstance(table, bytes) else json.dumps(table).encode()
        host = f"{self.keeper_hosts[keeper]}:{self.port}"
        return send(host, "PUT", "/spoolhead/config", document)

    def read(self, keeper):
        return send(f"{self.keeper_hosts[keeper]}:{self.port}", "GET", "/spoolhead/config")

    def put_until_accepted(self, keeper, table):
        wait_for(lambda: self.put(keeper, table).status == 200, "no keeper accepted the table")

    def read_version(self, keeper):
        answer = self.read(keeper)
        return json.loads(answer.body)["version"] if answer.status == 200 else None

    def read_confirmed_version(self, keeper):
        """Wait until a keeper has a confirmed version and return it."""
        answers = []

        def _is_confirmed():
            answers.append(self.read(keeper))
            return answers[-1].status == 200

        wait_for(_is_confirmed, f"{keeper} has no confirmed version")
        return json.loads(answers[-1].body)["version"]

    def is_ready(self, entry):
        address = f"{self.entry_hosts[entry]}:{self.ready_port}"
        return send(address, "GET", "/spoolhead/readyz").status == 200

    def wait_until_ready(self, *entries):
        for entry in entries:
            wait_for(lambda entry=entry: self.is_ready(entry), f"{entry} is not ready")
            # A ready entry has a table; it learns the instances from the next poll of the list.
            wait_for(
                lambda entry=entry: self.send(
                    entry, "/safe/x", method="GET", X_Request_Id="up"
                ).status
                == 200,
                f"{entry} does not serve",
            )

    def send(
        self,
        entry,
        path,
        *,
        method="POST",
        body=b"hello",
        key=API_KEY,
        timeout_s=TIMEOUT_S,
        **headers,
    ):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        address = f"{self.entry_hosts[entry]}:{self.port}"
        return send(address, method, path, body, key=key, headers=names, timeout_s=timeout_s)

    def open_stream(self, entry, request_id, tokens, *, body=b"{}", **extra):
        connection = http.client.HTTPConnection(
            f"{self.entry_hosts[entry]}:{self.port}", timeout=TIMEOUT_S
        )
        headers = {
            "Host": "a.example",
            "Authorization": f"Bearer {API_KEY}",
            "X-Request-Id": request_id,
            "X-Model": "m",
            "X-Token-Usage": f"100,{tokens}",
            **{name.replace("_", "-"): value for name, value in extra.items()},
        }
        connection.request("POST", "/talk/x", body, headers)
        return connection.getresponse()

    def set_instance(self, instance, **changes):
        body = json.dumps({"instance": instance, **changes}).encode()
        assert send(self.list_address, "POST", "/_set", body).status == 200

    def get_arrivals(self, instance, *, id_prefix=""):
        """Return the arrival times of requests at an instance, whether they ran or not."""
        arrivals = json.loads(send(self.list_address, "GET", "/_arrivals").body)
        return [
            item["at_s"]
            for item in arrivals
            if item["instance"] == instance and item["id"].startswith(id_prefix)
        ]

    def get_arrival_ids(self, instance):
        """Return the ids of the requests that arrived at an instance, whether they ran or not."""
        arrivals = json.loads(send(self.list_address, "GET", "/_arrivals").body)
        return [item["id"] for item in arrivals if item["instance"] == instance]

    def get_crashes(self):
        """Return the crashes of instances that a request caused, with their times."""
        return json.loads(send(self.list_address, "GET", "/_ends").body)

    def get_work(self):
        """Return the streamed runs at each instance, with the times of their events."""
        return json.loads(send(self.list_address, "GET", "/_work").body)

    def get_stop_orders(self):
        """Return the orders to stop a run that reached instances, and the step taken for each."""
        return json.loads(send(self.list_address, "GET", "/_stops").body)

    def get_copy_orders(self, id_prefix):
        """Return the orders to copy the memory of some runs that reached instances."""
        orders = json.loads(send(self.list_address, "GET", "/_copies").body)
        return [item for item in orders if item["id"].startswith(id_prefix)]

    def get_all_runs(self):
        return json.loads(send(self.list_address, "GET", "/_runs").body)

    def get_runs(self, request_id):
        return [run for run in self.get_all_runs() if run["id"] == request_id]


def send(address, method, path, body=None, *, key="", headers=None, timeout_s=TIMEOUT_S):
    all_headers = {"Host": "a.example", **(headers or {})}
    if key:
        all_headers["Authorization"] = f"Bearer {key}"
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, all_headers)
        return Answer(connection.getresponse())
    except OSError:
        return _Unreachable()
    finally:
        connection.close()


class _Unreachable:
    status = 0
    headers = {}
    body = b""


def wait_for(condition, text):
    until_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < until_s, text
        time.sleep(0.05)


def make_events(count, added_bytes=0):
    padding = b"x" * added_bytes
    return b"".join(b"id: %d\ndata: t%d%b\n\n" % (i, i, padding) for i in range(1, count + 1))
