"""Simulates entries that send requests to the same cold instance within their quotas."""

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
    """One entry with its instance registry and its quotas for cold instances."""

    def __init__(self, process, known, instance):
        self.process = process
        self.registry = upstream_registry.UpstreamRegistry()
        self.registry.update_instances([instance], 0.0)
        (self.upstream,) = self.registry.get_all()
        self.upstream.record_cold(10**9, 0.0)
        self.quotas = cold_start.ColdStarts(process.name, process.hall)
        self.quotas.set_entries(known)


class ColdFleet:
    """A fleet whose entries all know one instance that has just started.

    :param entries: number of entries.
    :param halls: number of halls.
    :param cold_per_s: number of requests per second that the cold instance can take.
    :param isolated_halls: halls whose entries restarted while cut off. They know only the entries
        of their own hall, and no entry knows yet that the cut is over.
    """

    def __init__(self, *, entries, halls, cold_per_s, isolated_halls=(), seed=1):
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
            if process.hall in isolated_halls:
                known = [item for item in processes if item.hall == process.hall]
            self.entries.append(Entry(process, known, instance))

    def simulate(self, *, seconds, wanted_per_s=None):
        """Simulate entries that send as many requests as their quotas allow.

        :param wanted_per_s: requests per second that arrive at each entry; None for an unlimited
            number.
        :returns: the times at which requests were sent.
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
    """Return the maximum number of requests within any second."""
    largest = first = 0
    for last, time_s in enumerate(sent_s):
        while time_s - sent_s[first] >= 1.0:
            first += 1
        largest = max(largest, last - first + 1)
    return largest
