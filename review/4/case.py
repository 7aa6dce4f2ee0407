"""Case: an acknowledged configuration is lost after a keeper that has voted loses its disk.

Rounds are played until it is seen, since the order of events depends on election timeouts that the
keepers draw.
"""

import json
import os
import pathlib
import select
import shutil
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import deployment as d  # noqa: E402

PLAY_S = 75.0
CALM_PLAY_S = 9.0
CALM_S = 4.2
"""From the start of a keeper with an empty disk to the next round: catch_up_s is 4."""
SENDERS = 3
SENDING_S = 0.15
MAX_FREEZE_S = 0.93
REPLY_S = 0.006
ORDER_INTERVAL_S = 0.01
MAX_HELD_S = 1.1
CONFIG_APPLY_S = 2.0
READ_S = 3.0
SETTLED_S = 5.0


class Orders:
    """Sends configurations to one keeper, and keeps count of their versions."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._version = 10
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def begin(self, keeper):
        """Send one configuration after the other, in several threads."""
        self._stopped.clear()
        for _ in range(SENDERS):
            threading.Thread(target=self._send_until_stopped, args=(keeper,), daemon=True).start()

    def stop(self):
        """Send no more; orders that are under way may still be acknowledged."""
        self._stopped.set()

    def make_request(self):
        """Return the next version and the request for its configuration."""
        with self._lock:
            self._version += 2
            version = self._version
        body = json.dumps(d.make_table(version)).encode()
        head = f"PUT /spoolhead/config HTTP/1.1\r\nHost: control\r\nContent-Length: {len(body)}"
        return version, head.encode() + b"\r\n\r\n" + body

    def connect(self, keeper):
        """Return a new channel to a keeper."""
        address = (self._deployment.hosts[keeper], self._deployment.port)
        return socket.create_connection(address, 1.0)

    def send_until_acknowledged(self, keeper, until_s):
        """Send configurations in short intervals until one is acknowledged, and wait for the others.

        :returns: the highest version that was acknowledged; None for none.
        """
        waiting = {}
        acknowledged = []
        next_s = 0.0
        while time.monotonic() < until_s and (waiting or not acknowledged):
            if not acknowledged and time.monotonic() >= next_s:
                next_s = time.monotonic() + ORDER_INTERVAL_S
                version, request = self.make_request()
                channel = self.connect(keeper)
                channel.sendall(request)
                waiting[channel] = version
            for channel in select.select(list(waiting), [], [], 0.001)[0]:
                version = waiting.pop(channel)
                if channel.recv(64).startswith(b"HTTP/1.1 200"):
                    acknowledged.append(version)
                channel.close()
            if acknowledged:
                until_s = min(until_s, time.monotonic() + 0.02)
        for channel in waiting:
            channel.close()
        return max(acknowledged, default=None)

    def _send_until_stopped(self, keeper):
        try:
            channel = self.connect(keeper)
            while not self._stopped.is_set():
                channel.sendall(self.make_request()[1])
                if not channel.recv(4096):
                    return
        except OSError:
            return


def find_leader(deployment):
    """Return the keeper that leads, by its own log."""
    terms = {}
    for name in deployment.hosts:
        for line in deployment.read_log(name).splitlines():
            if '"leader changed"' in line:
                fields = json.loads(line)
                if fields["leader"].split(":")[0] == deployment.hosts[name]:
                    terms[fields["term"]] = name
    return terms[max(terms)]


def get_size(deployment, name):
    """Return the size of a keeper's log on its disk."""
    return os.stat(deployment.folder / f"data-{name}" / "agreement.log").st_size


def play_round(deployment, orders):
    """Play the order of events once; return what was seen, and whether the rule was broken."""
    leader = find_leader(deployment)
    others = [name for name in deployment.hosts if name != leader]
    successors = {name: deployment.prepare_daemon(name) for name in others}
    try:
        return disturb(deployment, orders, leader, successors)
    finally:
        for successor in successors.values():
            successor.end()


def disturb(deployment, orders, leader, successors):
    """Play the order of events; the successor that is used is removed."""
    others = list(successors)
    for successor in successors.values():
        successor.wait_until_it_reads()
    orders.begin(leader)
    time.sleep(SENDING_S)
    orders.stop()
    deployment.signal(leader, signal.SIGSTOP)
    stopped_s = time.monotonic()
    candidate = wait_for_vote(deployment, others, stopped_s + MAX_FREEZE_S)
    if candidate is None:
        deployment.signal(leader, signal.SIGCONT)
        return f"{leader} stood still, no candidate in time", False
    deployment.signal(candidate, signal.SIGSTOP)
    candidate_s = time.monotonic()
    voter = next(name for name in others if name != candidate)
    time.sleep(REPLY_S)
    deployment.processes[voter].kill()
    deployment.processes[voter].wait()
    deployment.signal(leader, signal.SIGCONT)
    frozen_s = time.monotonic() - stopped_s
    shutil.rmtree(deployment.folder / f"data-{voter}")
    successors.pop(voter).begin()
    version = orders.send_until_acknowledged(leader, candidate_s + MAX_HELD_S)
    deployment.signal(candidate, signal.SIGCONT)
    held_s = time.monotonic() - candidate_s
    seen = f"{leader} stood still for {frozen_s:.2f} s, {candidate} for {held_s:.2f} s, "
    seen += f"{voter} came back with an empty disk; version {version} acknowledged"
    if version is None:
        return seen, False
    time.sleep(0.3)
    read = read_versions(deployment)
    if any(item is not None and item < version for item in read.values()):
        time.sleep(CONFIG_APPLY_S)
        read = read_versions(deployment)
    is_older = any(item is not None and item < version for item in read.values())
    seen += f"; read later: {read}"
    if is_older:
        time.sleep(SETTLED_S)
        seen += f"; {SETTLED_S} s after that: {read_versions(deployment)}"
    return seen, is_older


def wait_for_vote(deployment, others, until_s):
    """Return the keeper that stands for election, as soon as the other one has written its vote."""
    time.sleep(0.2)
    sizes = {name: get_size(deployment, name) for name in others}
    candidate = None
    while time.monotonic() < until_s:
        changed = [name for name in others if get_size(deployment, name) != sizes[name]]
        if candidate is None and changed:
            candidate = changed[0]
        if len(changed) == len(others):
            return candidate
    return None


def read_versions(deployment):
    """Return the version that each keeper answers with; None if it answers with no configuration."""
    versions = {}
    for name in deployment.hosts:
        until_s = time.monotonic() + READ_S
        versions[name] = None
        while versions[name] is None and time.monotonic() < until_s:
            status, body = deployment.call_control(name, "GET", timeout_s=1.0)
            versions[name] = json.loads(body)["version"] if status == 200 else None
            time.sleep(0.1)
    return versions


def play_calm(deployment, orders):
    """Send orders without a disturbance; return what was seen, and whether the rule was broken."""
    leader = find_leader(deployment)
    orders.begin(leader)
    time.sleep(SENDING_S)
    orders.stop()
    version = orders.send_until_acknowledged(leader, time.monotonic() + 2.0)
    time.sleep(CONFIG_APPLY_S + 0.2)
    read = read_versions(deployment)
    is_older = any(item is None or item < version for item in read.values())
    return f"version {version} acknowledged; read: {read}", is_older


def run_case(record, has_trouble):
    """Play rounds until the rule is broken."""
    until_s = time.monotonic() + (PLAY_S if has_trouble else CALM_PLAY_S)
    with d.Deployment(keepers=3, entries=0) as deployment:
        deployment.start([], d.make_table(3))
        orders = Orders(deployment)
        while time.monotonic() < until_s:
            play = play_round if has_trouble else play_calm
            seen, is_broken = play(deployment, orders)
            record.write(f"{seen}{': OLDER THAN ACKNOWLEDGED' if is_broken else ''}")
            if is_broken:
                return True
            time.sleep(CALM_S)
    return False


if __name__ == "__main__":
    d.main(run_case)
