"""Detects that this entry cannot reach any instance of a service.

Performs no I/O; the current time is passed in.

Only new connections count as evidence: an established connection may work while new ones fail.
"""

from collections.abc import Collection

MIN_UNREACHED = 3
"""Instances of a service that must have been unreachable one after the other before the service
counts as out of reach, or all of its instances if there are fewer."""


class ServiceReach:
    """This entry's latest observations of the instances of each service."""

    def __init__(self) -> None:
        self._unreached_s: dict[str, dict[str, float]] = {}

    def record_reached(self, service: str, opened_s: float) -> None:
        """Record an answer of an instance, and when its connection was opened.

        Failures later than that stay on record: the connection may have been opened before the
        entry lost its connections.
        """
        failures = self._unreached_s.get(service, {})
        for incarnation_id, failed_s in list(failures.items()):
            if failed_s <= opened_s:
                del failures[incarnation_id]

    def record_unreached(self, service: str, incarnation_id: str, now_s: float) -> None:
        """Record that no answer was received on a new connection to an instance."""
        self._unreached_s.setdefault(service, {})[incarnation_id] = now_s

    def get_unreached(self, service: str) -> list[str]:
        """Return the instances that were unreachable since the service last answered."""
        return sorted(self._unreached_s.get(service, {}))

    def is_out_of_reach(self, service: str, current: Collection[str]) -> bool:
        """Return whether no instance of a service can be reached.

        :param current: incarnation ids of the service's instances that do not leave.
        """
        if not current:
            return False
        failures = self._unreached_s.get(service, {})
        unreached_count = sum(incarnation_id in failures for incarnation_id in current)
        return unreached_count >= min(MIN_UNREACHED, len(current))

    def retain(self, incarnation_ids: Collection[str]) -> None:
        """Forget instances that no longer exist."""
        self._unreached_s = {
            name: {key: at_s for key, at_s in failures.items() if key in incarnation_ids}
            for name, failures in self._unreached_s.items()
        }
