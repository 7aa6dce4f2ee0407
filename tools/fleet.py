"""Runs a small fleet on this machine for tests and demonstrations: keeper, entries, stand-ins."""

import contextlib
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Mapping, Sequence

from spoolhead._internal.table import view

TOOLS = pathlib.Path(__file__).parent
SHARED_KEY = "only-for-trials-on-one-machine"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.01
HOST = "127.0.0.1"


class FleetError(Exception):
    """Raised when a process does not reach an expected state in time."""


def wait_for(check: Callable[[], object], what: str, timeout_s: float = START_TIMEOUT_S) -> object:
    """Wait until a check returns a true value, and return the value.

    :param what: description of the check for the error message.
    :raises FleetError: after the timeout.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise FleetError(f"timed out waiting for {what}")
        time.sleep(POLL_INTERVAL_S)


class Process:
    """A process whose output is written to a file."""

    def __init__(self, name: str, command: Sequence[str], folder: pathlib.Path) -> None:
        self.name = name
        self.log_path = folder / f"{name}.log"
        # Use the source of this tree, so that a copy of the tree runs its own code.
        paths = os.pathsep.join([str(TOOLS), str(TOOLS.parent / "src")])
        environment = {**os.environ, "PYTHONPATH": paths}
        with self.log_path.open("ab") as stream:
            self._process = subprocess.Popen(
                command, stdout=stream, stderr=stream, env=environment, stdin=subprocess.DEVNULL
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while the process runs."""
        return self._process.poll()

    def get_output(self) -> str:
        """Return its output so far."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def get_records(self) -> list[dict]:
        """Return its log records: all lines of output that are JSON objects."""
        records = []
        for line in self.get_output().splitlines():
            with contextlib.suppress(ValueError):
                record = json.loads(line)
                if isinstance(record, dict):
                    records.append(record)
        return records

    def find_record(self, field: str) -> dict | None:
        """Return the last log record that has a field."""
        matches = [record for record in self.get_records() if field in record]
        return matches[-1] if matches else None

    def wait_for_record(self, field: str) -> dict:
        """Wait for a log record that has a field, and return the last one."""

        def _find() -> dict | None:
            if self.exit_code is not None:
                raise FleetError(f"{self.name} terminated:\n{self.get_output()}")
            return self.find_record(field)

        return wait_for(_find, f"{field} in the log of {self.name}")

    def wait_for_ready_line(self) -> dict[str, str]:
        """Wait for the ready line of a stand-in, and return its fields."""

        def _find() -> str | None:
            lines = self.get_output().splitlines()
            return next((line for line in lines if line.startswith("ready ")), None)

        line = str(wait_for(_find, f"the ready line of {self.name}"))
        return dict(field.split("=", 1) for field in line.split()[1:])

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._process.kill()
        self._process.wait()

    def stop(self) -> int:
        """Send SIGTERM and return the exit code.

        :raises FleetError: if the process does not stop in time; it is killed then.
        """
        if self.exit_code is None:
            self.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process ends, and return its exit code.

        :raises FleetError: if it does not end in time; it is killed then.
        """
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            self.kill()
            raise FleetError(f"{self.name} did not stop:\n{self.get_output()}") from error


class Fleet:
    """A fleet of processes.

    :param folder: folder for settings, data and output.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, str] = {}
        self.control_addresses: dict[str, str] = {}

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_details: object) -> None:
        self.stop_all()

    def stop_all(self) -> None:
        """Stop all processes, the last started first; those that do not stop are killed."""
        for process in reversed(list(self.processes.values())):
            if process.exit_code is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            with contextlib.suppress(FleetError):
                process.wait(5.0)

    def start_engine(self, name: str, *options: str) -> Process:
        """Start a stand-in for a model engine."""
        return self._start_standin(name, "engine", options)

    def start_service(self, name: str, *options: str) -> Process:
        """Start a stand-in for a plain service."""
        return self._start_standin(name, "service", ("--name", name, *options))

    def start_proxy(self, name: str, target: str) -> "ProxyControl":
        """Start a fault-injecting proxy in front of an address."""
        process = self._start_standin(name, "proxy", ("--target", target))
        fields = process.wait_for_ready_line()
        return ProxyControl(process, self.addresses[name], int(fields["control"]))

    def start_keeper(self, name: str = "keeper-1", *, port: int = 0) -> Process:
        """Start a keeper; a keeper that is started again uses its previous data folder."""
        config = {
            "name": name,
            "hall": "hall-a",
            "host": HOST,
            "port": port,
            "data_dir": str(self.folder / f"{name}.data"),
            "shared_key": SHARED_KEY,
        }
        process = self._start_program(name, "keeper", config)
        self.addresses[name] = str(process.wait_for_record("peers")["peers"])
        return process

    def start_entry(
        self,
        name: str,
        *,
        hall: str = "hall-a",
        changes: Mapping[str, object] | None = None,
        launcher: Sequence[str] | None = None,
    ) -> Process:
        """Start an entry that follows the keepers started so far.

        :param changes: settings that differ from the defaults.
        :param launcher: command to run instead of the entry's own program, for comparisons.
        """
        keepers = [self.addresses[item] for item in self.addresses if item.startswith("keeper")]
        config = {
            "name": name,
            "hall": hall,
            "host": HOST,
            "port": 0,
            "control_host": HOST,
            "control_port": 0,
            "keepers": keepers,
            "shared_key": SHARED_KEY,
            **(changes or {}),
        }
        process = self._start_program(name, "entry", config, launcher)
        record = process.wait_for_record("callers")
        self.addresses[name] = str(record["callers"])
        self.control_addresses[name] = str(record["control"])
        return process

    def write_operator_settings(self) -> pathlib.Path:
        """Write the settings of the operators' program, and return the path of the file."""
        keepers = [self.addresses[item] for item in self.addresses if item.startswith("keeper")]
        config = {
            "keepers": keepers,
            "entries": list(self.control_addresses.values()),
            "shared_key": SHARED_KEY,
        }
        return self._write("operator.json", config)

    def run_operator(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the operators' program, and return its exit code and output."""
        path = self.write_operator_settings()
        command = [sys.executable, "-m", "spoolhead._internal.cli.operator", *arguments]
        environment = {**os.environ, "SPOOLHEAD_SETTINGS": str(path), "COLUMNS": "200"}
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, env=environment, check=False
        )

    def apply_table(self, table: Mapping[str, object]) -> None:
        """Apply a table and wait until it is in force at all entries.

        :raises FleetError: if the table is refused or not in force in time.
        """
        path = self._write("table.json", table)
        done = self.run_operator("apply", str(path), "--author", "fleet")
        if done.returncode:
            raise FleetError(f"apply: {done.returncode}\n{done.stdout}{done.stderr}")

    def _write(self, name: str, value: object) -> pathlib.Path:
        path = self.folder / name
        path.write_text(json.dumps(value, indent=2), encoding="utf-8")
        return path

    def _start_program(
        self,
        name: str,
        module: str,
        config: Mapping[str, object],
        launcher: Sequence[str] | None = None,
    ) -> Process:
        path = self._write(f"{name}.json", config)
        command = launcher or [sys.executable, "-m", f"spoolhead._internal.cli.{module}"]
        log_path = self.folder / f"{name}.log"
        if log_path.exists():
            log_path.unlink()
        process = Process(name, [*command, "--settings", str(path)], self.folder)
        self.processes[name] = process
        return process

    def _start_standin(self, name: str, module: str, options: Sequence[str]) -> Process:
        command = [sys.executable, "-m", f"standins.{module}", *options]
        process = Process(name, command, self.folder)
        self.processes[name] = process
        port = process.wait_for_ready_line()["port"]
        self.addresses[name] = f"{HOST}:{port}"
        return process


class ProxyControl:
    """Controls a fault-injecting proxy."""

    def __init__(self, process: Process, address: str, control_port: int) -> None:
        self.process = process
        self.address = address
        self._control_port = control_port

    def order(self, **faults: object) -> dict[str, int]:
        """Set faults, and return the number of bytes forwarded in each direction."""
        with socket.create_connection((HOST, self._control_port), 5.0) as sock:
            sock.sendall(json.dumps(faults).encode() + b"\n")
            return json.loads(sock.makefile().readline())


def make_table(
    addresses: Mapping[str, str],
    *,
    api_key: str,
    model: str = "spoolhead-birds",
    engines: Sequence[str] = (),
    services: Mapping[str, Sequence[str]] | None = None,
    workspace: Mapping[str, object] | None = None,
) -> dict[str, dict[str, object]]:
    """Return a table with one workspace, one model and plain services.

    :param addresses: addresses of the upstreams by name.
    :param api_key: API key of the workspace.
    :param engines: names of the model's upstreams.
    :param services: names of the upstreams of each plain service; POST must not be repeated there.
    :param workspace: columns of the workspace's row that differ from the defaults.
    """
    plain = services or {}
    upstreams = {name: (model, addresses[name]) for name in engines}
    for service, names in plain.items():
        upstreams.update({name: (service, addresses[name]) for name in names})
    service_rows: dict[str, object] = {model: {"kind": "model"}}
    for service in plain:
        service_rows[service] = {"kind": "plain", "once_methods": ["POST"]}
    return {
        "workspaces": {
            "trial": {
                "key_sha256": [view.get_key_digest(api_key)],
                "models": [model],
                "services": list(plain),
                **(workspace or {}),
            }
        },
        "services": service_rows,
        "upstreams": {
            name: {"address": address, "hall": "hall-a", "service": service}
            for name, (service, address) in upstreams.items()
        },
    }


def limit_file_size(pid: int, size_bytes: int | None) -> None:
    """Limit the size of the files that a process may write; None removes the limit."""
    size = resource.RLIM_INFINITY if size_bytes is None else size_bytes
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))
