"""Case: the keepers never agree again after one is replaced while another one stands still.

TROUBLE=freeze and TROUBLE=replace cause only one of the two disturbances.
"""

import json
import os
import pathlib
import re
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import deployment as d  # noqa: E402

FREEZE_S = 4.0
FROZEN_BEFORE_S = 2.0
RECOVERY_S = 12.0
WATCH_S = 30.0


def run_case(record, has_trouble):
    """Replace one keeper as planned while another one stands still; then wait for both."""
    with d.Deployment() as deployment:
        model = d.ReplicaProcess(deployment, "m0", "model", "hall-a")
        app = d.ReplicaProcess(deployment, "a0", "app", "hall-a")
        deployment.start([model, app], d.make_table(3))
        status = put(deployment, "keeper-1", 4)
        record.write(f"3 keepers serve; version 4: answer {status}")
        leader = find_leader(deployment)
        followers = [name for name in ("keeper-1", "keeper-2", "keeper-3") if name != leader]
        frozen, replaced = followers
        record.write(f"{leader} leads; {frozen} is to freeze, {replaced} to be replaced")
        chosen = os.environ.get("TROUBLE", "1")
        freezes = has_trouble and chosen != "replace"
        replaces = has_trouble and chosen != "freeze"
        if freezes:
            deployment.signal(frozen, signal.SIGSTOP)
            record.write(f"{frozen} stands still")
        frozen_s = time.monotonic()
        time.sleep(FROZEN_BEFORE_S)
        if replaces:
            replace(record, deployment, replaced)
        time.sleep(max(0.0, frozen_s + FREEZE_S - time.monotonic()))
        if freezes:
            deployment.signal(frozen, signal.SIGCONT)
            record.write(f"{frozen} goes on after {time.monotonic() - frozen_s:.2f} s")
        back_s = time.monotonic()
        keepers = [leader, frozen, "keeper-4" if replaces else replaced]
        return watch(record, deployment, keepers, back_s)


def replace(record, deployment, replaced):
    """Start a keeper with an empty disk at a new address; once it is up, stop one for good."""
    deployment.hosts["keeper-4"] = f"{deployment.net}.14"
    deployment.start_daemon("keeper-4")
    started_s = time.monotonic()
    record.write("keeper-4 is started with an empty disk at an address of its own")
    address = (deployment.hosts["keeper-4"], deployment.port)
    d.deployment_wait(lambda: d.accepts(address), "keeper-4 does not come up")
    deployment.signal(replaced, signal.SIGTERM)
    age_s = time.monotonic() - started_s
    record.write(f"keeper-4 accepts connections; {replaced} gets SIGTERM, {age_s:.2f} s after its start")


def put(deployment, name, version):
    """Send a configuration to a keeper; return the status of the answer."""
    return deployment.call_control(name, "PUT", json.dumps(d.make_table(version)).encode())[0]


def find_leader(deployment):
    """Return the name of the keeper that leads by the logs."""
    for name in ("keeper-1", "keeper-2", "keeper-3"):
        leaders = re.findall(r'"leader changed", "leader": "([^"]*)"', deployment.read_log(name))
        for other, host in deployment.hosts.items():
            if leaders and leaders[-1].startswith(f"{host}:"):
                return other
    raise d.CannotRunError("no keeper leads")


def watch(record, deployment, keepers, back_s):
    """Return whether the acknowledged configuration doesn't come back."""
    until_s = back_s + WATCH_S
    recovered = False
    last = {}
    while time.monotonic() < until_s and not recovered:
        for name in keepers:
            status, body = deployment.call_control(name, "GET")
            version = json.loads(body)["version"] if status == 200 else None
            if last.get(name) != (status, version):
                last[name] = (status, version)
                age_s = time.monotonic() - back_s
                record.write(f"read at {name}, {age_s:.1f} s after: status {status}, {version}")
            recovered = recovered or version == 4
        time.sleep(0.3)
    status = put(deployment, keepers[0], 5)
    record.write(f"version 5 at {keepers[0]}: answer {status}")
    if recovered:
        return False
    record.write(
        f"no keeper has answered with version 4, which was acknowledged, in {WATCH_S:.0f} s "
        f"(recovery_s is {RECOVERY_S:.0f})"
    )
    for name in keepers:
        members = re.findall(r'"members changed", "members": (\[[^\]]*\])', deployment.read_log(name))
        record.write(f"{name}: runs: {deployment.processes[name].poll() is None}; members {members}")
    return True


if __name__ == "__main__":
    d.main(run_case)
