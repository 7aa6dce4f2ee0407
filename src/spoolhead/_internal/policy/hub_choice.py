"""Chooses the hub that an entry reports to. Performs no I/O; the current time is passed in."""

import enum
import math
from collections.abc import Iterable

import xxhash

from spoolhead._internal.utils import endpoints

HUB_TIMEOUT_S = 0.35
"""Silence of the hub after which another hub is tried. A hub sends a datagram every tenth of a
second; a process may stall for some tenths, and trying another hub costs little."""
PROBE_TIMEOUT_S = 0.2
"""Time within which a probed hub must answer: a hundred times the latency between halls."""
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
"""Time for which a hub that fell silent or did not answer is skipped, doubled each time."""


class Candidate:
    """A process that can be this entry's hub.

    :ivar address: where it receives reports.
    :ivar distance: the lowest is preferred: keepers of the entry's hall, then other keepers, then
        entries.
    """

    __slots__ = ("address", "distance")

    def __init__(self, address: endpoints.Endpoint, distance: int) -> None:
        self.address = address
        self.distance = distance


class _CandidateState:
    """Backoff state of a candidate."""

    __slots__ = ("backoff_s", "backoff_until_s")

    def __init__(self) -> None:
        self.backoff_s = INITIAL_BACKOFF_S
        self.backoff_until_s = -math.inf


class UpdateSource(enum.Enum):
    """Sender of an update, relative to the current hub."""

    CURRENT = "present"
    """The current hub."""
    NEW = "new"
    """A probed hub, which is the current hub from now on."""
    OTHER = "other"
    """Any other process."""


class HubChoice:
    """The hub choice of one entry. A hub is replaced only after another hub has answered.

    :param name: name of the entry; entries spread over hubs at the same distance.
    :ivar current: address of the hub; None for none.
    :ivar probing: address of the candidate that was sent a report and has not answered; None for
        none.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._candidates: list[Candidate] = []
        self._states: dict[endpoints.Endpoint, _CandidateState] = {}
        self._heard_s = -math.inf
        self._probed_s = -math.inf
        self.current: endpoints.Endpoint | None = None
        self.probing: endpoints.Endpoint | None = None

    def set_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Set the processes that can be the hub."""
        self._candidates = sorted(
            candidates, key=lambda item: (item.distance, self._get_weight(item.address))
        )
        known = {item.address for item in self._candidates}
        self._states = {key: state for key, state in self._states.items() if key in known}

    def record_update(self, address: endpoints.Endpoint, now_s: float) -> UpdateSource:
        """Record an update and return its source."""
        if address not in (self.current, self.probing):
            return UpdateSource.OTHER
        is_new = address == self.probing
        if is_new:
            self.current = address
            self.probing = None
        self._heard_s = now_s
        self._get_state(address).backoff_s = INITIAL_BACKOFF_S
        return UpdateSource.NEW if is_new else UpdateSource.CURRENT

    def record_lost(self, address: endpoints.Endpoint, now_s: float) -> None:
        """Record that a process is known to be unreachable.

        Its backoff is not doubled meanwhile: it was not tried again.
        """
        if self._get_state(address).backoff_until_s <= now_s:
            self._back_off(address, now_s)
        if address == self.current:
            self.current = None
        if address == self.probing:
            self.probing = None

    def choose(self, now_s: float) -> bool:
        """Look for a better hub.

        :returns: whether a report should be sent to a candidate that is probed from now on.
        """
        if self.current is not None and now_s - self._heard_s > HUB_TIMEOUT_S:
            self._back_off(self.current, now_s)
            self.current = None
        if self.probing is not None:
            if now_s - self._probed_s < PROBE_TIMEOUT_S:
                return False
            self._back_off(self.probing, now_s)
            self.probing = None
        best = self._find_best(now_s)
        if best is None or best == self.current:
            return False
        self.probing = best
        self._probed_s = now_s
        return True

    def _find_best(self, now_s: float) -> endpoints.Endpoint | None:
        for item in self._candidates:
            if self._get_state(item.address).backoff_until_s <= now_s:
                return item.address
        if self.current is not None:
            return self.current
        return min(
            (item.address for item in self._candidates),
            key=lambda address: self._get_state(address).backoff_until_s,
            default=None,
        )

    def _back_off(self, address: endpoints.Endpoint, now_s: float) -> None:
        state = self._get_state(address)
        state.backoff_until_s = now_s + state.backoff_s
        state.backoff_s = min(state.backoff_s * 2, MAX_BACKOFF_S)

    def _get_state(self, address: endpoints.Endpoint) -> _CandidateState:
        return self._states.setdefault(address, _CandidateState())

    def _get_weight(self, address: endpoints.Endpoint) -> int:
        return xxhash.xxh3_64_intdigest(f"{self._name}\0{address[0]}:{address[1]}".encode())
