"""Entries of a fleet that all want the same cold instance, by the quotas of each."""

import random

from lib import gateway_setting
from spoolhead._internal.models import fleet, route_table
from spoolhead._internal.policy import cold_start, upstream_registry

STEP_S = 0.002


def make_service(cold_per_s):
    return route_table.Service(
        name="s",
        health_path="/h",
        max_connections=1_000,
        engine=gateway_setting.ENGINE,
        cold_start_ms=1_000,
        cold_per_s=cold_per_s,
    )


class Entry:
    """One entry: what it sees of the fleet, its book and its quotas."""

    def __init__(self, process, known, instance):
        self.process = process
        self.registry = upstream_registry.UpstreamRegistry()
        self.registry.update_instances([instance], 0.0)
        (self.upstream,) = self.registry.get_all()
        self.upstream.record_cold(10**9, 0.0)
        self.quotas = cold_start.ColdStarts(process.name, process.hall)
        self.quotas.set_entries(known)


class ColdFleet:
    """A fleet whose entries all see one instance that has just come.

    :param entries: number of entries.
    :param halls: number of halls.
    :param cold_per_s: requests a second that the instance bears.
    :param lost: halls whose entries were started again behind a cut: they know of each other only,
        and nobody knows that the cut is over.
    """

    def __init__(self, *, entries, halls, cold_per_s, lost=(), seed=1):
        self.rng = random.Random(seed)
        self.service = make_service(cold_per_s)
        self.halls = [f"hall-{number}" for number in range(halls)]
        processes = [
            fleet.Process(name=f"e-{number}", hall=self.halls[number % halls], address="10.0.0.1:1")
            for number in range(entries)
        ]
        instance = gateway_setting.make_instance("i", hall=self.halls[0])
        self.entries = []
        for process in processes:
            known = processes
            if process.hall in lost:
                known = [item for item in processes if item.hall == process.hall]
            self.entries.append(Entry(process, known, instance))

    def play(self, *, seconds, wanted_per_s=None):
        """Let every entry send as much as it may.

        :param wanted_per_s: requests a second that come to each entry; None for a flood.
        :returns: the time of each request that was sent.
        """
        sent_s = []
        waiting = [0] * len(self.entries)
        for step in range(int(seconds / STEP_S)):
            now_s = step * STEP_S
            for number in self.rng.sample(range(len(self.entries)), len(self.entries)):
                if wanted_per_s is not None:
                    waiting[number] += self.rng.random() < wanted_per_s * STEP_S
                    if not waiting[number]:
                        continue
                entry = self.entries[number]
                if entry.quotas.may_send(self.service, entry.upstream, now_s):
                    entry.upstream.record_sent(now_s)
                    waiting[number] -= 1
                    sent_s.append(now_s)
        return sent_s


def get_max_per_second(sent_s):
    """Return the most requests that any second has."""
    most = first = 0
    for last, time_s in enumerate(sent_s):
        while time_s - sent_s[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most
