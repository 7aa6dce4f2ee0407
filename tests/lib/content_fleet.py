"""A fleet in which some requests end the instances that run them: real news, simulated runs."""

import functools
import itertools

from lib import load_fleet
from spoolhead._internal.contents import saved_contents
from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import content_registry, quarantine

DOWN_S = 4.0
"""Time after which another process stands where one has ended."""
CRASH_AFTER_S = 0.1
REFUSED_AFTER_S = 0.003
"""Time after which an entry that asks an ended instance is refused."""
CONTACT_S = 3.0
"""Time within which what ends instances is to be known at all entries in touch."""


class Run:
    """A request at an instance.

    :ivar entry: number of the entry that sent it.
    :ivar content_id: name of its content.
    :ivar sent_s: when it was sent.
    :ivar is_over: it has ended, well or not.
    """

    def __init__(self, entry, content_id, sent_s):
        self.entry = entry
        self.content_id = content_id
        self.sent_s = sent_s
        self.is_over = False


class Instance:
    """A place where instances stand, one after the other."""

    def __init__(self, number):
        self.number = number
        self.starts = 1
        self.is_up = True
        self.runs = []

    @property
    def incarnation_id(self):
        return f"i-{self.number}.{self.starts}"


class ContentFleet(load_fleet.LoadFleet):
    """Entries that send requests to instances, some of which end them.

    :ivar deadly: contents that end what runs them.
    :ivar ends: when an instance ended under a deadly content, and which entry had sent it.
    :ivar sent: runs that began, in order.
    :ivar refused: numbers of entries that refused a content, with when.
    """

    def __init__(self, *, entries, halls=3, keepers=3, places=6, loss=0.01, seed=1):
        super().__init__(
            entries=entries, halls=halls, keepers=keepers, instances=1, loss=loss, seed=seed
        )
        self.places = [Instance(number) for number in range(places)]
        self.deadly = set()
        self.ends = []
        self.sent = []
        self.lost = []
        self.refused = []
        self.ended_lives = {}

    def send(self, number, content_id, *, lasting_s=1.0):
        """Have a request come to an entry; returns what was decided."""
        entry = self.entries[number]
        verdict = entry.contents.evaluate(content_id)
        if verdict is quarantine.Verdict.REFUSE:
            self.refused.append((content_id, number, self.clock.now_s))
        elif verdict is quarantine.Verdict.CLAIM:
            entry.contents.claim_trial(content_id)
            self.clock.call_later(
                quarantine.TRIAL_CLAIM_WAIT_S,
                lambda: self._try(number, entry, content_id, lasting_s),
            )
        else:
            is_apart = verdict is quarantine.Verdict.RUN_ISOLATED
            self._run(number, content_id, lasting_s, is_apart=is_apart)
        return verdict

    def _try(self, number, entry, content_id, lasting_s):
        if self.entries[number] is entry and entry.contents.may_run_trial(content_id):
            self._run(number, content_id, lasting_s, is_apart=True)

    def _run(self, number, content_id, lasting_s, *, is_apart):
        places = [place for place in self.places if place.is_up]
        if not places:
            return
        self.rng.shuffle(places)
        place = min(places, key=lambda item: len(item.runs)) if is_apart else places[0]
        run = Run(number, content_id, self.clock.now_s)
        place.runs.append(run)
        self.sent.append(run)
        if content_id in self.deadly:
            self.clock.call_later(CRASH_AFTER_S, lambda: self._crash(place, run))
        else:
            self.clock.call_later(lasting_s, lambda: self._end_well(place, run))

    def _crash(self, place, run):
        if not run.is_over:
            self.ends.append((run.content_id, self.clock.now_s))
            self.end(place)

    def _end_well(self, place, run):
        if not run.is_over:
            run.is_over = True
            place.runs.remove(run)
            self.entries[run.entry].contents.record_harmless(run.content_id)

    def end(self, place):
        """End an instance, whatever the reason; all that runs there is lost."""
        if not place.is_up:
            return
        place.is_up = False
        incarnation_id = place.incarnation_id
        runs, place.runs = place.runs, []
        self.ended_lives[shared_load.get_key(incarnation_id)] = {run.content_id for run in runs}
        for run in runs:
            run.is_over = True
            self.lost.append(run)
            entry = self.entries[run.entry]
            entry.contents.record_lost(incarnation_id, run.content_id, run.sent_s)
        for number in {run.entry for run in runs}:
            self._ask(self.entries[number], incarnation_id)
        self.clock.call_later(DOWN_S, lambda: self._start(place))

    def _ask(self, entry, incarnation_id):
        def _refused():
            entry.sharing.broadcast_alarm(incarnation_id, shared_load.AlarmKind.ENDED)
            entry.contents.record_terminated(incarnation_id, "Connection refused")

        self.clock.call_later(REFUSED_AFTER_S, _refused)

    def _start(self, place):
        place.starts += 1
        place.is_up = True

    def restart_entry(self, number, **options):
        """Have an entry end and start anew, knowing nothing; its runs are cut off."""
        for place in self.places:
            for run in [run for run in place.runs if run.entry == number]:
                run.is_over = True
                place.runs.remove(run)
        return super().restart_entry(number, **options)

    def restart_hub(self, number, *, disk=None):
        """Have a keeper end and start anew, knowing what is on its disk.

        :param disk: content of its file; without one it knows nothing.
        """
        process = self.hubs[number]
        self.kill(process.name)
        process.is_up = True
        self.hub_books[number] = content_registry.ContentRegistry()
        if disk is not None:
            items = saved_contents.decode(disk, self.clock())
            self.hub_books[number].merge(items, self.clock())
        self.hub_ports[number] = self._make_hub(number)

    def lose_all_power(self, *, down_s, lost_disks=()):
        """Have all entries and keepers lose power at once, and start anew.

        :param lost_disks: numbers of keepers that lose their disk as well.
        """
        disks = []
        for registry in self.hub_books:
            items = registry.get_all_aged(registry.get_ids(), self.clock())
            disks.append(saved_contents.encode(items, self.clock()))
        for process in self.net.processes.values():
            process.is_up = False
        self.run(down_s)
        for number in range(len(self.hubs)):
            disk = None if number in lost_disks else disks[number]
            self.restart_hub(number, disk=disk)
        for number in range(len(self.entries)):
            self.restart_entry(number)

    def repeat(self, content_id, *, pause_s, for_s, entries=None):
        """Have a request come again and again at entries drawn by lot."""
        numbers = range(len(self.entries)) if entries is None else entries

        def _send(left):
            self.send(self.rng.choice(list(numbers)), content_id)
            if left > 1:
                self.clock.call_later(pause_s, lambda: _send(left - 1))

        _send(int(for_s / pause_s))

    def begin_traffic(self, requests_per_s, *, lasting_s):
        """Have requests of ever new contents come from now on."""
        numbers = itertools.count()

        def _send():
            content_id = b"sound-%010d" % next(numbers)
            number = self.rng.randrange(len(self.entries))
            self.send(number, content_id, lasting_s=self.rng.expovariate(1 / lasting_s))
            self.clock.call_later(self.rng.expovariate(requests_per_s), _send)

        _send()

    def send_lost_again(self, after_s, *, lasting_s):
        """Have callers of sound requests that are lost from now on send them once more."""
        seen = len(self.lost)
        sent = set()

        def _look():
            nonlocal seen
            for run in self.lost[seen:]:
                if run.content_id not in self.deadly | sent:
                    sent.add(run.content_id)
                    self.clock.call_later(after_s, functools.partial(_send, run.content_id))
            seen = len(self.lost)
            self.clock.call_later(0.05, _look)

        def _send(content_id):
            self.send(self.rng.randrange(len(self.entries)), content_id, lasting_s=lasting_s)

        _look()

    def count_late_runs(self, content_id):
        """Return the runs of a content later than that should be known."""
        ends = [at_s for ended, at_s in self.ends if ended == content_id]
        if len(ends) < 3:
            return 0
        known_s = ends[2] + CONTACT_S
        return sum(run.content_id == content_id and run.sent_s > known_s for run in self.sent)

    def get_holders(self, content_id):
        """Return the entries that hold a content."""
        return [
            number
            for number, entry in enumerate(self.entries)
            if entry.process.is_up and entry.contents.is_held(content_id)
        ]


def make_id(text):
    """Return the name of a content."""
    return text.encode().ljust(16, b"-")
