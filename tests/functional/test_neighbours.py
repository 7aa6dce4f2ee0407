"""One entry of a hall fetches each load report, also when entries fail or pause."""

import json
import signal
import time

import fleet
from lib import fleets

ENTRIES = ("entry-1", "entry-2", "entry-3")
ENGINES = ("engine-1", "engine-2", "engine-3")


def _get_upstreams(running):
    """Return for each reachable entry the status of its upstreams."""
    done = running.run_operator("status", "--json")
    return {
        item["name"]: {upstream["name"]: upstream for upstream in item["upstreams"]}
        for item in json.loads(done.stdout)
        if item["reachable"] and item["role"] == "entry"
    }


def _find_fetchers(running):
    """Return for each engine the entries that fetched its report within 0.6 s.

    Returns an empty dictionary if an entry has no fresh report of an engine.
    """
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


def _find_sole_fetchers(running):
    """Return the fetchers if each report has exactly one; otherwise a false value."""
    fetchers = _find_fetchers(running)
    return fetchers and all(len(found) == 1 for found in fetchers.values()) and fetchers


def test_each_report_is_fetched_by_one_entry(running):
    fleets.start_fleet(running, engines=ENGINES, services=(), entries=ENTRIES)
    fetchers = fleet.wait_for(lambda: _find_sole_fetchers(running), "the reports to be shared")
    lost = fetchers["engine-1"][0]
    running.processes[lost].kill()
    del running.control_addresses[lost]
    again = fleet.wait_for(lambda: _find_sole_fetchers(running), "another entry to take over")
    assert lost not in again["engine-1"]


def test_a_paused_entry_leaves_nobody_without_reports(running):
    fleets.start_fleet(running, engines=ENGINES, services=(), entries=ENTRIES)
    fetchers = fleet.wait_for(lambda: _find_sole_fetchers(running), "the reports to be shared")
    paused = fetchers["engine-1"][0]
    running.processes[paused].send_signal(signal.SIGSTOP)
    address = running.control_addresses.pop(paused)
    fleet.wait_for(lambda: _find_sole_fetchers(running), "the others to take over")
    running.processes[paused].send_signal(signal.SIGCONT)
    running.control_addresses[paused] = address
    fleet.wait_for(lambda: _find_sole_fetchers(running), "the reports to be shared by all again")
