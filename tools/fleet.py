"""Starts a small fleet on this machine: keeper, entries and stand-ins, for trials and tests."""

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
POLL_S = 0.01
HOST = "127.0.0.1"


class FleetError(Exception):
    """Raised when a process does not do what it should in time."""


def wait_for(check: Callable[[], object], what: str, timeout_s: float = START_TIMEOUT_S) -> object:
    """Wait until a check returns something true, and return that.

    :raises FleetError: if it does not in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise FleetError(f"waited in vain: {what}")
        time.sleep(POLL_S)


class Process:
    """One process, its output in a file."""

    def __init__(self, name: str, command: Sequence[str], folder: pathlib.Path) -> None:
        self.name = name
        self.log_path = folder / f"{name}.log"
        # The tree's own source, so that a copy of the tree runs what it holds.
        paths = os.pathsep.join([str(TOOLS), str(TOOLS.parent / "src")])
        environment = {**os.environ, "PYTHONPATH": paths}
        with self.log_path.open("ab") as stream:
            self._process = subprocess.Popen(
                command, stdout=stream, stderr=stream, env=environment, stdin=subprocess.DEVNULL
            )

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Its exit code; None while it runs."""
        return self._process.poll()

    def get_output(self) -> str:
        """Return what it has printed so far."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def get_records(self) -> list[dict]:
        """Return its log records, from lines of JSON."""
        records = []
        for line in self.get_output().splitlines():
            with contextlib.suppress(ValueError):
                record = json.loads(line)
                if isinstance(record, dict):
                    records.append(record)
        return records

    def find_record(self, field: str) -> dict | None:
        """Return the last log record that has a field."""
        found = [record for record in self.get_records() if field in record]
        return found[-1] if found else None

    def wait_for_record(self, field: str) -> dict:
        """Wait for a log record that has a field and return the last such record."""

        def _find() -> dict | None:
            if self.exit_code is not None:
                raise FleetError(f"{self.name} ended:\n{self.get_output()}")
            return self.find_record(field)

        return wait_for(_find, f"{field} in the log of {self.name}")

    def wait_for_ready_line(self) -> dict[str, str]:
        """Wait for a stand-in's ready line and return its fields."""

        def _find() -> str | None:
            lines = self.get_output().splitlines()
            return next((line for line in lines if line.startswith("ready ")), None)

        line = str(wait_for(_find, f"the ready line of {self.name}"))
        return dict(field.split("=", 1) for field in line.split()[1:])

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        self._process.kill()
        self._process.wait()

    def stop(self) -> int:
        """Ask it to stop and return its exit code; it is killed if it does not in time."""
        if self.exit_code is None:
            self.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for its end and return its exit code.

        :raises FleetError: if it does not end in time; it is killed then.
        """
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            self.kill()
            raise FleetError(f"{self.name} did not stop:\n{self.get_output()}") from error


class Fleet:
    """Processes and settings in one folder.

    :param folder: where settings, data and output go.
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
        """Stop everything, entries first; whatever does not stop is killed."""
        for process in reversed(list(self.processes.values())):
            if process.exit_code is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            with contextlib.suppress(FleetError):
                process.wait(5.0)

    def start_engine(self, name: str, *options: str) -> Process:
        """Start a model engine's stand-in."""
        return self._start_standin(name, "engine", options)

    def start_service(self, name: str, *options: str) -> Process:
        """Start a plain service's stand-in."""
        return self._start_standin(name, "service", ("--name", name, *options))

    def start_proxy(self, name: str, target: str) -> "ProxyControl":
        """Start a fault-injecting proxy before an address."""
        process = self._start_standin(name, "proxy", ("--target", target))
        fields = process.wait_for_ready_line()
        return ProxyControl(process, self.addresses[name], int(fields["control"]))

    def start_keeper(self, name: str = "keeper-1", *, port: int = 0) -> Process:
        """Start a keeper; its data folder lives on if it is started again."""
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

        :param launcher: command to use instead of the product's own, for comparisons.
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
        """Write settings for the operators' program and return the file."""
        keepers = [self.addresses[item] for item in self.addresses if item.startswith("keeper")]
        config = {
            "keepers": keepers,
            "entries": list(self.control_addresses.values()),
            "shared_key": SHARED_KEY,
        }
        return self._write("operator.json", config)

    def run_operator(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the operators' program and return its exit code and output."""
        path = self.write_operator_settings()
        command = [sys.executable, "-m", "spoolhead._internal.cli.operator", *arguments]
        environment = {**os.environ, "SPOOLHEAD_SETTINGS": str(path), "COLUMNS": "200"}
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, env=environment, check=False
        )

    def apply_table(self, table: Mapping[str, object]) -> None:
        """Make a table the one in force everywhere.

        :raises FleetError: if it is refused or not in force in time.
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
    """Steers a fault-injecting proxy."""

    def __init__(self, process: Process, address: str, control_port: int) -> None:
        self.process = process
        self.address = address
        self._control_port = control_port

    def order(self, **faults: object) -> dict[str, int]:
        """Send an order and return the bytes carried by direction."""
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
    """Return a table with one workspace, one model and some plain services.

    :param addresses: address of each upstream by name.
    :param api_key: key of the workspace.
    :param engines: upstreams of the model.
    :param services: upstreams of each plain service, whose POST is not to be repeated.
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
    """Limit the files that a process may write, or lift the limit."""
    size = resource.RLIM_INFINITY if size_bytes is None else size_bytes
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))
