"""Places of refused generations that were asked to come back at a stated time.

Performs no I/O; the current time is passed in. A refused caller that returns when asked must not
queue behind callers that have just arrived. The return has a new request id and mostly arrives at
another entry, so entries publish the contents that they refused, see :func:`get_place_key`.
"""

import collections
import math
from collections.abc import Callable

from spoolhead._internal.models import shared_load

MAX_PLACES = 32
"""Maximum number of places that one entry publishes; the oldest is given up first."""
EARLY_S = 0.1
"""Time before the stated one from which a return has its place: clocks and links differ by less."""
GRACE_S = 2.0
"""Time after the stated one for which the place is kept; callers return within about a second."""


class _Place:
    """A refused generation."""

    __slots__ = ("due_s", "key", "need_tokens", "service")

    def __init__(self, key: int, service: str, need_tokens: int, due_s: float) -> None:
        self.key = key
        self.service = service
        self.need_tokens = need_tokens
        self.due_s = due_s


def get_place_key(content_id: bytes) -> int:
    """Return the key under which the place of a content is published."""
    return shared_load.get_key(f"return/{content_id.hex()}")


def get_returning_key(service: str) -> int:
    """Return the key of the need of all generations of a service that are to return."""
    return shared_load.get_key(f"returning/{service}")


class ReturnPlaces:
    """The places that this entry gave, and those that other entries publish.

    :param get_other_load: returns the load that other entries publish under a key.
    """

    __slots__ = ("_get_other_load", "_last_due_s", "_places")

    def __init__(self, get_other_load: Callable[[int], shared_load.InstanceLoad]) -> None:
        self._get_other_load = get_other_load
        self._last_due_s: dict[str, float] = {}
        self._places: collections.OrderedDict[bytes, _Place] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._places)

    def add(
        self,
        content_id: bytes,
        service: str,
        need_tokens: int,
        *,
        return_ms: int,
        rate_per_s: float,
        now_s: float,
    ) -> int:
        """Give a refused generation a place, and return when its caller should return.

        The places that this entry gives are apart from each other by the time in which memory for
        one generation of each entry that gives places becomes available, so a changing rate does
        not make callers return together.

        :param return_ms: expected time until there is room.
        :param rate_per_s: memory that becomes available, in tokens a second.
        :returns: time from now in milliseconds.
        """
        spacing_s = need_tokens * self._get_giver_count(service) / rate_per_s
        earliest_s = self._last_due_s.get(service, -math.inf) + spacing_s
        due_s = max(now_s + return_ms / 1000, earliest_s)
        self._last_due_s[service] = due_s
        self._places.pop(content_id, None)
        self._places[content_id] = _Place(get_place_key(content_id), service, need_tokens, due_s)
        while len(self._places) > MAX_PLACES:
            self._places.popitem(last=False)
        return math.ceil((due_s - now_s) * 1000)

    def claim(self, content_id: bytes, now_s: float) -> bool:
        """Return whether an arriving generation has a place, and release a place of this entry.

        A place that another entry gave expires there; a second request with the same content may
        use it, too, until then.
        """
        place = self._places.get(content_id)
        if place is not None and now_s >= place.due_s - EARLY_S:
            del self._places[content_id]
            return True
        return self._get_other_load(get_place_key(content_id)).count > 0

    def get_returning_tokens(self, service: str, now_s: float) -> int:
        """Return the need of the refused generations of all entries that have not returned yet."""
        other = self._get_other_load(get_returning_key(service))
        return other.tokens + self._get_own_returning(now_s).get(service, 0)

    def get_rows(self, now_s: float) -> shared_load.LoadByInstance:
        """Return the rows to publish, and remove places that have expired.

        A place is published from shortly before its time on, so that only a caller that returns
        when asked can use it.
        """
        self._expire(now_s)
        rows: shared_load.LoadByInstance = {
            get_returning_key(service): shared_load.InstanceLoad(tokens=tokens, count=1)
            for service, tokens in self._get_own_returning(now_s).items()
        }
        for place in self._places.values():
            if now_s >= place.due_s - EARLY_S:
                rows[place.key] = shared_load.InstanceLoad(count=1)
        return rows

    def _get_giver_count(self, service: str) -> int:
        """Return the number of entries whose refused generations have yet to return."""
        return 1 + self._get_other_load(get_returning_key(service)).count

    def _get_own_returning(self, now_s: float) -> dict[str, int]:
        tokens: collections.Counter[str] = collections.Counter()
        for place in self._places.values():
            if now_s < place.due_s:
                tokens[place.service] += place.need_tokens
        return tokens

    def _expire(self, now_s: float) -> None:
        for content_id, place in list(self._places.items()):
            if now_s > place.due_s + GRACE_S:
                del self._places[content_id]
