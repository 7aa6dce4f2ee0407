"""Chooses the entry that handles a request whose service this entry cannot reach.

Performs no I/O; the current time is passed in.

An entry does not know which others reach a service. It asks one, and remembers for a while which
ones could not help.
"""

import collections
import random
from collections.abc import Collection, Sequence

from spoolhead._internal.models import fleet

MAX_PEERS = 5
"""Maximum number of entries that are asked for one request."""
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 4.0
"""Time for which an entry that could not help is not asked again; doubles up to the maximum."""

EXPLORED_PEERS = 2
"""Number of entries that are asked for a request before those come first that have served some."""
SERVED_TTL_S = 2.0
"""Time for which an entry counts as able after it has served a request."""
MIN_OWN_HALL_FRACTION = 0.25
"""Fraction of the own hall's entries that must remain for its callers' requests to stay there."""


class _Backoff:
    """Pause before an entry is asked again.

    :ivar until_s: end of the pause.
    :ivar pause_s: length of the next pause.
    """

    __slots__ = ("pause_s", "until_s")

    def __init__(self) -> None:
        self.until_s = 0.0
        self.pause_s = INITIAL_BACKOFF_S

    def extend(self, now_s: float) -> None:
        """Begin the next pause, unless one is running."""
        if now_s < self.until_s:
            return
        self.until_s = now_s + self.pause_s
        self.pause_s = min(2 * self.pause_s, MAX_BACKOFF_S)


class PeerChoice:
    """The other entries, and what this entry knows of their ability to help.

    :param name: name of this entry.
    :param hall: hall of this entry.
    :param rng: source of random numbers.
    """

    def __init__(self, name: str, hall: str, rng: random.Random) -> None:
        self._name = name
        self._hall = hall
        self._rng = rng
        self._peers: dict[str, fleet.Process] = {}
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._backoffs: dict[tuple[str, str], _Backoff] = {}
        self._served_s: dict[tuple[str, str], float] = {}

    @property
    def has_peers(self) -> bool:
        """Whether any other entry is known."""
        return bool(self._peers)

    def set_entries(self, entries: Sequence[fleet.Process]) -> None:
        """Set the known entries; this entry itself is ignored."""
        self._peers = {entry.name: entry for entry in entries if entry.name != self._name}
        self._backoffs = {
            key: backoff for key, backoff in self._backoffs.items() if key[1] in self._peers
        }
        self._served_s = {
            key: served_s for key, served_s in self._served_s.items() if key[1] in self._peers
        }

    def choose(
        self, service: str, *, asked: Collection[str], silent_halls: Collection[str], now_s: float
    ) -> fleet.Process | None:
        """Choose the entry to ask next for a request, or None if no further one is to be asked.

        The first ones are any that are not known to be unable, so that the requests are spread;
        after that, entries that have served requests lately come first. Halls are asked in turn,
        since the entries of one hall may have lost their connections together.

        :param asked: names of the entries that were already asked.
        :param silent_halls: halls whose entries are not heard from.
        """
        if len(asked) >= MAX_PEERS:
            return None
        asked_halls = collections.Counter(
            self._peers[name].hall for name in asked if name in self._peers
        )
        candidates = [
            peer
            for peer in self._peers.values()
            if peer.name not in asked
            and peer.hall not in silent_halls
            and not self._is_backing_off(service, peer.name, now_s)
        ]
        self._rng.shuffle(candidates)
        prefers_own_hall = self._prefers_own_hall(candidates)
        return min(
            candidates,
            key=lambda peer: (
                len(asked) >= EXPLORED_PEERS and not self._has_served(service, peer.name, now_s),
                asked_halls[peer.hall],
                prefers_own_hall and peer.hall != self._hall,
                self._in_flight[peer.name],
            ),
            default=None,
        )

    def record_sent(self, name: str) -> None:
        """Record a request that is sent to an entry."""
        self._in_flight[name] += 1

    def record_ended(self, name: str) -> None:
        """Record the end of a request that was sent to an entry."""
        self._in_flight[name] -= 1
        if self._in_flight[name] <= 0:
            del self._in_flight[name]

    def record_unable(self, service: str, name: str, now_s: float) -> None:
        """Record that an entry could not help with a request of a service."""
        self._backoffs.setdefault((service, name), _Backoff()).extend(now_s)

    def record_served(self, service: str, name: str, now_s: float) -> None:
        """Record that an entry has handled a request of a service."""
        self._backoffs.pop((service, name), None)
        self._served_s[service, name] = now_s

    def get_retry_after_ms(self, service: str, now_s: float) -> int:
        """Return the time until an entry will be asked again; 0 if one can be asked now."""
        waits_s = [self._get_backoff_end_s(service, name) - now_s for name in self._peers]
        return max(0, int(min(waits_s, default=0.0) * 1000))

    def _prefers_own_hall(self, candidates: Sequence[fleet.Process]) -> bool:
        """Return whether enough entries of the own hall remain to serve all of its callers."""
        own_count = sum(peer.hall == self._hall for peer in self._peers.values())
        remaining_count = sum(peer.hall == self._hall for peer in candidates)
        return remaining_count >= MIN_OWN_HALL_FRACTION * own_count

    def _has_served(self, service: str, name: str, now_s: float) -> bool:
        return now_s - self._served_s.get((service, name), -SERVED_TTL_S) < SERVED_TTL_S

    def _is_backing_off(self, service: str, name: str, now_s: float) -> bool:
        return now_s < self._get_backoff_end_s(service, name)

    def _get_backoff_end_s(self, service: str, name: str) -> float:
        backoff = self._backoffs.get((service, name))
        return backoff.until_s if backoff is not None else 0.0
