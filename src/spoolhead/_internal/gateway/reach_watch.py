"""Watches which services this entry can reach on new connections."""

import logging
from collections.abc import Callable

from spoolhead._internal.gateway import entry_metrics
from spoolhead._internal.policy import service_reach, upstream_registry
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)


class ReachWatch:
    """Records the outcome of new connections to instances, whatever they were made for.

    :param registry: the known instances.
    :param metrics: metrics of the entry.
    :param get_silent_halls: returns the silent halls, for the log.
    :param get_load_age_ms: returns the age of what is known of other entries, for the log.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        registry: upstream_registry.UpstreamRegistry,
        metrics: entry_metrics.EntryMetrics,
        *,
        get_silent_halls: Callable[[], frozenset[str]],
        get_load_age_ms: Callable[[], int],
        clock: clocks.Clock = clocks.get_s,
    ) -> None:
        self._registry = registry
        self._get_silent_halls = get_silent_halls
        self._get_load_age_ms = get_load_age_ms
        self._clock = clock
        self._reach = service_reach.ServiceReach()
        self._out_of_reach_s: dict[str, float] = {}
        metrics.unreached_services.set_function(lambda: len(self._out_of_reach_s))

    def is_out_of_reach(self, service: str) -> bool:
        """Return whether this entry cannot reach any instance of a service."""
        return service in self._out_of_reach_s

    def record_answered(self, address: str, opened_s: float) -> None:
        """Record that an instance answered a call on a new connection."""
        upstream = self._registry.get_by_address(address)
        if upstream is None:
            return
        service = upstream.instance.service
        self._reach.record_reached(service, opened_s)
        if self.is_out_of_reach(service):
            self._update(service)

    def record_unanswered(self, address: str) -> None:
        """Record that an instance did not answer on a new connection."""
        upstream = self._registry.get_by_address(address)
        if upstream is None:
            return
        instance = upstream.instance
        self._reach.record_unreached(instance.service, instance.incarnation_id, self._clock())
        self._update(instance.service)

    def handle_list_change(self) -> None:
        """Forget instances that are no longer listed."""
        listed = {item.instance.incarnation_id for item in self._registry.get_all()}
        self._reach.retain(listed)
        for service in list(self._out_of_reach_s):
            self._update(service)

    def _update(self, service: str) -> None:
        current = [
            upstream.instance.incarnation_id
            for upstream in self._registry.get_service(service)
            if not upstream.is_leaving
        ]
        is_out_of_reach = self._reach.is_out_of_reach(service, current)
        if is_out_of_reach == (service in self._out_of_reach_s):
            return
        if is_out_of_reach:
            self._record_lost(service)
        else:
            self._record_regained(service)

    def _record_lost(self, service: str) -> None:
        self._out_of_reach_s[service] = self._clock()
        fields = {
            "service": service,
            "unreached": self._reach.get_unreached(service),
            "peers_age_ms": self._get_load_age_ms(),
            "silent_halls": sorted(self._get_silent_halls()),
        }
        logger.warning("service is out of reach", extra={"fields": fields})

    def _record_regained(self, service: str) -> None:
        lost_s = self._out_of_reach_s.pop(service)
        fields = {"service": service, "for_ms": int((self._clock() - lost_s) * 1000)}
        logger.info("service is within reach again", extra={"fields": fields})
