"""What an entry knows of the other entries' work at the instances; no I/O, time passed in.

Inside a hall every entry tells every other its own share. Between halls only sums go: two
speakers of each hall send what all of its entries hold to one entry of every other hall, to the
next one the next time, which passes it on at home. So what crosses halls grows with the halls and
not with the entries.
"""

import math
from collections.abc import Iterable, Sequence

from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import upstream_book, watch_duty

EXPIRY_S = 3.0
"""Age at which what was told no longer counts: three repetitions lost in a row."""
LONGEST_SILENCE_S = 1.6
"""Silence of a hall after which it always counts as cut off: a repetition was lost."""
SHORTEST_SILENCE_S = 0.6
"""Silence before which it never does: a process stands still for some tenths of a second at
times."""
SILENT_GAPS = 8
"""Usual gaps between two sums of a hall in which none comes before it counts as cut off, between
these bounds: a busy hall sends many a second, so its silence is noticed a second sooner."""
GAP_PART = 0.1
"""Weight of the newest gap in the usual one."""
SPEAKERS = 2
"""Entries of a hall that send its sum, each to the other halls' entries in turn: with one down the
other is heard, and another speaks in its place soon."""
SPEAKER_EXPIRY_S = 1.6
"""Silence of an entry after which another speaks in its place."""


class _Source:
    """One entry of the own hall, or another hall as a whole.

    :ivar hall: the hall.
    :ivar heard_s: when it was last heard.
    :ivar gap_s: usual time between two words of it.
    :ivar held: what it holds.
    :ivar members: entries that it stands for.
    """

    __slots__ = ("gap_s", "hall", "heard_s", "held", "members")

    def __init__(self, hall: str) -> None:
        self.hall = hall
        self.heard_s = -math.inf
        self.gap_s = LONGEST_SILENCE_S
        self.held: Sequence[shared_load.Held] = ()
        self.members: Sequence[str] = ()

    def note_heard(self, now_s: float) -> None:
        """Take note of a word of it."""
        gap_s = min(now_s - self.heard_s, LONGEST_SILENCE_S)
        self.gap_s += GAP_PART * (gap_s - self.gap_s)
        self.heard_s = now_s

    def is_silent(self, now_s: float) -> bool:
        """Tell whether nothing has come for so long that something is wrong."""
        bound_s = max(SHORTEST_SILENCE_S, min(LONGEST_SILENCE_S, SILENT_GAPS * self.gap_s))
        return now_s - self.heard_s > bound_s


class LoadView:
    """Adds up what others hold in the book of instances.

    :param name: this entry's name.
    :param hall: its hall.
    :param book: the instances.
    """

    def __init__(self, name: str, hall: str, book: upstream_book.UpstreamBook) -> None:
        self._name = name
        self._hall = hall
        self._book = book
        self._mates: dict[str, _Source] = {}
        self._halls: dict[str, _Source] = {}
        self._sequences: dict[str, int] = {}

    def take_share(self, share: shared_load.Share, now_s: float) -> bool:
        """Take what an entry of this hall holds, or the sum of another hall.

        :returns: whether it is news; what is late or came already is not.
        """
        if share.sender == self._name or share.is_sum == (share.hall == self._hall):
            return False
        if share.sequence <= self._sequences.get(share.sender, 0):
            return False
        self._sequences[share.sender] = share.sequence
        sources = self._halls if share.is_sum else self._mates
        key = share.hall if share.is_sum else share.sender
        source = sources.get(key)
        if source is None:
            source = sources[key] = _Source(share.hall)
        self._count(source.held, -1)
        source.held = share.held
        source.members = share.members if share.is_sum else (share.sender,)
        source.note_heard(now_s)
        self._count(source.held, 1)
        return True

    def rebuild(self, now_s: float) -> None:
        """Forget what is old and add up anew; due when the list of instances has changed."""
        for sources in (self._mates, self._halls):
            for source in sources.values():
                if source.heard_s < now_s - EXPIRY_S:
                    source.held = ()
                    source.members = ()
        for upstream in self._book.get_all():
            upstream.others.clear()
        for source in self._get_sources():
            self._count(source.held, 1)

    def get_own(self) -> list[shared_load.Held]:
        """Return what this entry holds."""
        return [
            shared_load.Held(
                upstream.instance.instance_id,
                upstream.own_tokens,
                len(upstream.works),
                upstream.own_reading_tokens,
            )
            for upstream in self._book.get_all()
            if upstream.works
        ]

    def get_sum(self) -> list[shared_load.Held]:
        """Return what all entries of this hall hold."""
        sums: dict[str, shared_load.Held] = {}
        for held in self.get_own():
            sums[held.instance_id] = held
        for mate in self._mates.values():
            for held in mate.held:
                known = sums.setdefault(
                    held.instance_id, shared_load.Held(held.instance_id, 0, 0, 0)
                )
                known.add(held)
        return list(sums.values())

    def get_members(self, now_s: float) -> list[str]:
        """Return the entries of this hall that are alive, this one among them."""
        oldest_s = now_s - EXPIRY_S
        mates = [name for name, mate in self._mates.items() if mate.heard_s >= oldest_s]
        return [self._name, *mates]

    def is_speaker(self, now_s: float) -> bool:
        """Tell whether this entry sends the sum of its hall."""
        oldest_s = now_s - SPEAKER_EXPIRY_S
        before = sum(
            name < self._name and mate.heard_s >= oldest_s for name, mate in self._mates.items()
        )
        return before < SPEAKERS

    def get_watchers(self, now_s: float) -> list[watch_duty.Watcher]:
        """Return the entries that are alive, of all halls."""
        watchers = [
            watch_duty.Watcher(name=name, hall=self._hall) for name in self.get_members(now_s)
        ]
        for hall, source in self._halls.items():
            if source.heard_s >= now_s - EXPIRY_S:
                watchers += [watch_duty.Watcher(name=name, hall=hall) for name in source.members]
        return watchers

    def get_silent_halls(self, now_s: float) -> frozenset[str]:
        """Return the halls that were heard from and are silent, as behind a cut."""
        return frozenset(hall for hall, item in self._halls.items() if item.is_silent(now_s))

    def is_alone(self, now_s: float) -> bool:
        """Tell whether all other halls that were ever heard from are silent."""
        return bool(self._halls) and all(item.is_silent(now_s) for item in self._halls.values())

    def get_silence_ms(self, hall: str, now_s: float) -> int:
        """Return the time since a hall that was heard from was last heard."""
        return int((now_s - self._halls[hall].heard_s) * 1000)

    def _get_sources(self) -> Iterable[_Source]:
        yield from self._mates.values()
        yield from self._halls.values()

    def _count(self, held: Sequence[shared_load.Held], sign: int) -> None:
        for item in held:
            upstream = self._book.get(item.instance_id)
            if upstream is not None:
                upstream.others.add(item, sign)
