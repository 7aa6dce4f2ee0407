"""Engines that state how long work takes there, as the entries' processes handle it."""

import pytest

from lib import platform_fleet

ENTRIES = 3
TEXT = "upstream changed its pace"


@pytest.fixture
def running(tmp_path):
    with platform_fleet.PlatformFleet(tmp_path, entries=ENTRIES) as made:
        made.start_serving()
        yield made


def _read_changes(running):
    return [
        (entry, line)
        for entry in running.entry_hosts
        for line in running.read_log(entry)
        if line["text"] == TEXT
    ]


def test_all_entries_know_the_pace_that_an_engine_states_to_the_one_that_probes_it(running):
    """Load: no requests; one engine of three states 55 percent in answers to health probes."""
    running.set_instance("m-1", load="2,0,6,55")

    def _is_known():
        known = {entry for entry, line in _read_changes(running) if line["factor"] == 0.55}
        return known == set(running.entry_hosts)

    platform_fleet.wait_for(_is_known, "an entry does not know the pace")
    changes = _read_changes(running)
    assert {line["upstream"].partition("@")[0] for _, line in changes} == {"m-1"}
    sources = [line["source"] for _, line in changes]
    assert sorted(sources) == ["reported"] * (ENTRIES - 1) + ["stated"]
