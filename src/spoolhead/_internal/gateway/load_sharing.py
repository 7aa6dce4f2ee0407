"""Exchanges the load of instances with other entries by datagrams.

The entry reports its own load to one hub and receives updates from it.
:mod:`spoolhead._internal.policy.load_view` aggregates the updates, and
:mod:`spoolhead._internal.policy.hub_choice` selects the hub. An entry acts as a hub for its hall if
no keeper is reachable.
"""

import logging
import time
from collections.abc import Callable, Iterable, Sequence

from spoolhead._internal.contents import content_watch
from spoolhead._internal.gateway import alarm_exchange, upstream_limits, upstream_paces
from spoolhead._internal.load_broadcast import hub_port
from spoolhead._internal.models import fleet, settings, shared_load
from spoolhead._internal.network import scheduler
from spoolhead._internal.policy import hub_choice, load_hub, load_view, upstream_registry
from spoolhead._internal.utils import clocks, endpoints

logger = logging.getLogger(__name__)

COALESCE_S = 0.002
"""Changes within this time share one report: a migration changes two instances in one turn of
the loop. During a longer delay, other entries would choose the same engine.
:data:`REPORT_BYTES_PER_S` bounds the traffic."""
REPORT_BYTES_PER_S = 6_000
"""Bandwidth limit for reports: a third of the control traffic that a process may send. A report
lists the entry's load: some 60 bytes with four runs, 1.4 KB with 120 runs at as many instances."""
REPORT_INTERVAL_S = 0.25
"""Interval at which an unchanged report is repeated, so that the hub knows the entry is alive."""
HUB_CHECK_INTERVAL_S = 0.1
"""Interval between checks of the hub; a third of the silence after which another is chosen."""
BEACON_ENTRIES = 3
"""Entries of a hall that send beacons to all hubs, not only to their own: if only the hubs are cut
off from each other, their halls are still heard. Three, because two may fail together."""
BEACON_INTERVAL_S = 0.2
"""Interval between beacons; a third of the silence after which a hall counts as silent."""
ENTRY_HUBS = 2
"""Number of entries of a hall, the first by name, that serve as hubs if no keeper is reachable."""
HALL_CHECK_INTERVAL_S = 0.2
"""Interval between checks for silent halls; a third of the silence after which a hall is silent."""
REBUILD_INTERVAL_S = 1.0
"""Interval at which load and paces are recomputed, without what has expired."""

_SAME_HALL_KEEPER = 0
_OTHER_HALL_KEEPER = 1
_FIRST_ENTRY_HUB = 2


class LoadSharing:
    """Reports this entry's load and handles the load of the others.

    :param timers: scheduler for timers.
    :param config: the entry's settings.
    :param registry: the known instances.
    :param contents: contents that may crash instances; included in reports.
    :param limits: rate limits that instances stated; included in reports.
    :param paces: paces of instances; included in reports.
    :param send: sends a datagram.
    :param on_alarm: called with an instance that another entry reported unhealthy or leaving.
    :param on_load_update: called when the load of other entries has changed.
    :param clock: monotonic time in seconds.
    :param wall_clock: Unix time in seconds.
    """

    def __init__(
        self,
        timers: scheduler.Scheduler,
        config: settings.GatewaySettings,
        registry: upstream_registry.UpstreamRegistry,
        contents: content_watch.ContentWatch,
        limits: upstream_limits.UpstreamLimits,
        paces: upstream_paces.UpstreamPaces,
        *,
        send: Callable[[bytes, endpoints.Endpoint], None],
        on_alarm: Callable[[upstream_registry.Upstream], None],
        on_load_update: Callable[[], None],
        clock: clocks.Clock = clocks.get_s,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._timers = timers
        self._send = send
        self._on_load_update = on_load_update
        self._clock = clock
        self._name = config.name
        self._hall = config.hall
        self._fleet = fleet.Fleet()
        self._load_view = load_view.LoadView(config.hall, registry)
        self._hub_choice = hub_choice.HubChoice(config.name)
        # Sequence numbers must exceed those of the entry's previous incarnation.
        self._sequence = int(wall_clock() * 1000)
        hub = load_hub.LoadHub(config.name, self._sequence)
        self._hub_port = hub_port.HubPort(
            timers,
            hub,
            send=send,
            get_hubs=self._get_other_hall_hubs,
            bytes_per_s=config.hub_bytes_per_s,
            clock=clock,
        )
        self._contents = contents
        self._limits = limits
        self._paces = paces
        self._alarms = alarm_exchange.AlarmExchange(
            config.name, self._sequence, registry, on_alarm, contents.record_terminated
        )
        self._silent_halls: frozenset[str] = frozenset()
        self._report_timer: scheduler.Timer | None = None
        self._reported_s = 0.0
        self._report_bytes = 0
        self._beacon_sent_s = 0.0
        self._row_sources: list[Callable[[], shared_load.LoadByInstance]] = []
        timers.call_every(HUB_CHECK_INTERVAL_S, self._check_hub)
        timers.call_every(REBUILD_INTERVAL_S, self.refresh)
        timers.call_every(HALL_CHECK_INTERVAL_S, self._log_halls)

    @property
    def has_snapshot(self) -> bool:
        """Whether the current hub has sent its complete state."""
        return self._load_view.has_snapshot

    def share_rows(self, get_rows: Callable[[], shared_load.LoadByInstance]) -> None:
        """Include further rows, whose keys are not those of instances, in reports."""
        self._row_sources.append(get_rows)

    def get_other_load(self, key: int) -> shared_load.InstanceLoad | None:
        """Return the load of the other entries under a key; None for no load."""
        return self._load_view.get_other_load(key)

    def set_fleet(self, known: fleet.Fleet) -> None:
        """Set the known keepers and entries, and update the candidates for the hub."""
        self._fleet = known
        candidates = [
            hub_choice.Candidate(
                keeper.endpoint,
                _SAME_HALL_KEEPER if keeper.hall == self._hall else _OTHER_HALL_KEEPER,
            )
            for keeper in known.keepers
        ]
        for number, entry in enumerate(self._get_entry_hubs(self._hall)):
            candidates.append(hub_choice.Candidate(entry.endpoint, _FIRST_ENTRY_HUB + number))
        self._hub_choice.set_candidates(candidates)
        self._check_hub()

    def record_keeper_lost(self, address: str) -> None:
        """Record that the stream to a keeper ended; it is not used as a hub for some time."""
        self._hub_choice.record_lost(endpoints.split(address), self._clock())
        self._check_hub()

    def get_entries(self) -> Sequence[fleet.Process]:
        """Return the known entries, including this one."""
        if any(entry.name == self._name for entry in self._fleet.entries):
            return self._fleet.entries
        own = fleet.Process(name=self._name, hall=self._hall, address="")
        return (*self._fleet.entries, own)

    def get_silent_halls(self) -> frozenset[str]:
        """Return the known halls that are silent, for example behind a network partition."""
        return self._load_view.get_silent_halls(self._clock())

    def is_isolated(self) -> bool:
        """Return whether all other halls are silent, which suggests that this hall is cut off."""
        return self._load_view.is_isolated(self._clock())

    def get_load_age_ms(self) -> int:
        """Return the age of the load data of other entries in milliseconds; -1 without data."""
        return self._load_view.get_age_ms(self._clock())

    def broadcast_alarm(
        self, incarnation_id: str, kind: shared_load.AlarmKind, *, for_ms: int = 0
    ) -> None:
        """Report an alarm about an instance to all other entries at once.

        :param for_ms: time for which the alarm is in force; 0 if it has no such time.
        """
        self._alarms.raise_alarm(incarnation_id, kind, self._clock(), for_ms=for_ms)
        self._report()

    def broadcast_failure(self, incarnation_id: str) -> None:
        """Report an instance that lost a request to all other entries, at a limited rate."""
        if self._alarms.is_failure_due(incarnation_id, self._clock()):
            self.broadcast_alarm(incarnation_id, shared_load.AlarmKind.LOST_REQUEST)

    def broadcast_contents(self) -> None:
        """Schedule a report with new data on contents that may crash instances."""
        self.schedule_report()

    def broadcast_limits(self) -> None:
        """Report at once that an instance changed its rate limit."""
        self._report()

    def schedule_report(self) -> None:
        """Schedule a report of this entry's load, within the bandwidth limit."""
        if self._report_timer is not None:
            return
        earliest_s = self._reported_s + self._report_bytes / REPORT_BYTES_PER_S
        delay_s = max(COALESCE_S, earliest_s - self._clock())
        self._report_timer = self._timers.call_later(delay_s, self._report)

    def refresh(self) -> None:
        """Recompute load and paces of the instances; due after their list has changed."""
        now_s = self._clock()
        self._alarms.handle_list_change(now_s)
        self._load_view.rebuild(now_s)
        self._paces.refresh(now_s)

    def handle_datagram(
        self,
        message: shared_load.Report | shared_load.Totals | shared_load.Update,
        sender: endpoints.Endpoint,
    ) -> None:
        """Handle a datagram of another process."""
        if isinstance(message, shared_load.Update):
            self._handle_update(message, sender)
        else:
            self._hub_port.handle_datagram(message, sender)

    def _handle_update(self, update: shared_load.Update, sender: endpoints.Endpoint) -> None:
        now_s = self._clock()
        self._alarms.handle_alarms(update.alarms, now_s)
        self._contents.handle_update(update.hub, update.contents)
        self._limits.merge(update.limits, now_s, reported_by=update.hub)
        self._paces.merge(update.paces, now_s, reported_by=update.hub)
        if update.is_snapshot:
            self._paces.handle_snapshot()
        previous = self._hub_choice.current
        source = self._hub_choice.record_update(sender, now_s)
        if source is hub_choice.UpdateSource.OTHER:
            # This hub may have missed the report that the entry uses another hub.
            self._send(self._make_report(is_reporter=False), sender)
            return
        if source is hub_choice.UpdateSource.NEW:
            self._change_hub(previous, now_s)
        if self._load_view.handle_update(update, now_s):
            self._on_load_update()

    def _check_hub(self) -> None:
        now_s = self._clock()
        if self._hub_choice.choose(now_s) and self._hub_choice.probing is not None:
            self._send(self._make_report(is_reporter=True), self._hub_choice.probing)
        interval_s = REPORT_INTERVAL_S if self._load_view.has_snapshot else HUB_CHECK_INTERVAL_S
        if now_s - self._reported_s >= interval_s:
            self._report()
        if now_s - self._beacon_sent_s >= BEACON_INTERVAL_S:
            self._beacon_sent_s = now_s
            self._send_beacons()

    def _change_hub(self, previous: endpoints.Endpoint | None, now_s: float) -> None:
        fields = {
            "hub": _format_address(self._hub_choice.current),
            "before": _format_address(previous),
            "news_age_ms": self._load_view.get_age_ms(now_s),
        }
        logger.info("load is reported to another hub", extra={"fields": fields})
        if previous is not None:
            self._send(self._make_report(is_reporter=False), previous)
        self._load_view.reset_for_new_hub()

    def _send_beacons(self) -> None:
        """Send reports to all other hubs, to show that entries of this hall are alive."""
        senders = self._get_hall_entries(self._hall)[:BEACON_ENTRIES]
        if all(entry.name != self._name for entry in senders):
            return
        data = self._make_report(is_reporter=False)
        for address in self._get_known_hubs():
            if address not in (self._hub_choice.current, self._hub_choice.probing):
                self._send(data, address)

    def _report(self) -> None:
        if self._report_timer is not None:
            self._report_timer.cancel()
            self._report_timer = None
        self._reported_s = self._clock()
        hub = self._hub_choice.current or self._hub_choice.probing
        if hub is None:
            return
        data = self._make_report(is_reporter=True)
        self._report_bytes = len(data)
        self._send(data, hub)
        if self._contents.has_unsent:
            self.schedule_report()

    def _make_report(self, *, is_reporter: bool) -> bytes:
        now_s = self._clock()
        self._sequence += 1
        rows = self._load_view.get_own_load() if is_reporter else {}
        if is_reporter:
            for get_rows in self._row_sources:
                rows.update(get_rows())
            self._load_view.record_report(self._sequence, rows)
        report = shared_load.Report(
            sender=self._name,
            hall=self._hall,
            sequence=self._sequence,
            is_reporter=is_reporter,
            rows=rows,
            alarms=self._alarms.get_raised(now_s) if is_reporter else [],
            contents=(
                self._contents.make_content_update()
                if is_reporter
                else self._contents.make_digest_update()
            ),
            limits=self._limits.get_reported(now_s) if is_reporter else [],
            paces=self._paces.get_reported(now_s) if is_reporter else [],
            wants_snapshot=is_reporter and not self._load_view.has_snapshot,
        )
        return shared_load.encode_report(report)

    def _get_known_hubs(self) -> Iterable[endpoints.Endpoint]:
        return [keeper.endpoint for keeper in self._fleet.keepers] or self._get_other_hall_hubs()

    def _get_other_hall_hubs(self) -> list[endpoints.Endpoint]:
        """Return the entries of other halls that can serve as hubs there."""
        halls = sorted({entry.hall for entry in self._fleet.entries} - {self._hall})
        return [entry.endpoint for hall in halls for entry in self._get_entry_hubs(hall)]

    def _get_entry_hubs(self, hall: str) -> list[fleet.Process]:
        return self._get_hall_entries(hall)[:ENTRY_HUBS]

    def _get_hall_entries(self, hall: str) -> list[fleet.Process]:
        entries = [entry for entry in self._fleet.entries if entry.hall == hall]
        return sorted(entries, key=lambda entry: entry.name)

    def _log_halls(self) -> None:
        """Log the halls that became silent and the halls that are heard again."""
        now_s = self._clock()
        silent = self._load_view.get_silent_halls(now_s)
        for hall in sorted(silent - self._silent_halls):
            fields = {
                "hall": hall,
                "age_ms": self._load_view.get_silence_ms(hall, now_s),
                "news_age_ms": self._load_view.get_age_ms(now_s),
            }
            logger.warning("hall is silent", extra={"fields": fields})
        for hall in sorted(self._silent_halls - silent):
            logger.info("hall is heard again", extra={"fields": {"hall": hall}})
        self._silent_halls = silent


def _format_address(address: endpoints.Endpoint | None) -> str:
    return f"{address[0]}:{address[1]}" if address is not None else ""
