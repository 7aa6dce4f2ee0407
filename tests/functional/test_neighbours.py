"""Load reports are fetched once for a hall, whoever comes and goes."""

import json
import signal
import time

import fleet
from lib import fleets

ENTRIES = ("entry-1", "entry-2", "entry-3")
ENGINES = ("engine-1", "engine-2", "engine-3")


def _get_upstreams(running):
    """What each entry that answers says of its upstreams."""
    done = running.run_operator("status", "--json")
    return {
        item["name"]: {upstream["name"]: upstream for upstream in item["upstreams"]}
        for item in json.loads(done.stdout)
        if item["reachable"] and item["role"] == "entry"
    }


def _get_fetchers(running):
    """For each engine the entries that fetched its report between two looks."""
    before = _get_upstreams(running)
    time.sleep(0.6)
    after = _get_upstreams(running)
    fetchers = {}
    for engine in ENGINES:
        fetchers[engine] = [
            entry
            for entry, upstreams in after.items()
            if upstreams[engine]["reports_fetched_here"]
            > before[entry][engine]["reports_fetched_here"]
        ]
    all_fresh = all(
        upstream["has_fresh_report"] for found in after.values() for upstream in found.values()
    )
    return fetchers if all_fresh else {}


def _is_shared(running):
    fetchers = _get_fetchers(running)
    return fetchers and all(len(found) == 1 for found in fetchers.values()) and fetchers


def test_each_report_is_fetched_by_one_entry(running):
    fleets.start_fleet(running, engines=ENGINES, services=(), entries=ENTRIES)
    fetchers = fleet.wait_for(lambda: _is_shared(running), "the reports to be shared")
    lost = fetchers["engine-1"][0]
    running.processes[lost].kill()
    del running.control_addresses[lost]
    again = fleet.wait_for(lambda: _is_shared(running), "another entry to take over")
    assert lost not in again["engine-1"]


def test_a_paused_entry_leaves_nobody_without_reports(running):
    fleets.start_fleet(running, engines=ENGINES, services=(), entries=ENTRIES)
    fetchers = fleet.wait_for(lambda: _is_shared(running), "the reports to be shared")
    paused = fetchers["engine-1"][0]
    running.processes[paused].send_signal(signal.SIGSTOP)
    address = running.control_addresses.pop(paused)
    fleet.wait_for(lambda: _is_shared(running), "the others to take over")
    running.processes[paused].send_signal(signal.SIGCONT)
    running.control_addresses[paused] = address
    fleet.wait_for(lambda: _is_shared(running), "the reports to be shared by all again")
