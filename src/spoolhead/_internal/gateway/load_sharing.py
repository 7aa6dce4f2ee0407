"""An entry's side of the datagrams that tell who holds what at the instances.

The entry reports to one hub and gets that hub's updates. What they come to is worked out in
:mod:`spoolhead._internal.policy.load_view`; which hub it is, in
:mod:`spoolhead._internal.policy.hub_choice`. Any entry can be the hub of its hall where no keeper
can be reached.
"""

import logging
import time
from collections.abc import Callable, Iterable, Sequence

from spoolhead._internal.contents import content_watch
from spoolhead._internal.gateway import alarm_exchange, upstream_limits
from spoolhead._internal.load_broadcast import hub_port
from spoolhead._internal.models import fleet, settings, shared_load
from spoolhead._internal.network import scheduler
from spoolhead._internal.policy import hub_choice, load_hub, load_view, upstream_registry
from spoolhead._internal.utils import clocks, endpoints

logger = logging.getLogger(__name__)

COALESCE_S = 0.002
"""Changes within this time are reported together: what moves names two instances in one turn of the
loop. More would let others choose the same engine meanwhile; bytes are bounded by the next line."""
REPORT_BYTES_PER_S = 6_000
"""What reports may come to: a third of what a process may spend on control. A report names what the
entry holds, some 60 bytes with four runs and 1.4 KB with 120 at as many instances."""
REPORT_INTERVAL_S = 0.25
"""Time after which the same is reported again, so that the hub knows the entry to be alive."""
HUB_CHECK_INTERVAL_S = 0.1
"""Pause between looks at the hub; a third of the silence that makes one look for another."""
BEACON_ENTRIES = 3
"""Entries of a hall that show themselves to all hubs, not to theirs alone: where hubs are cut off
from each other only, the halls behind them are still heard. Three, as two may fail together."""
BEACON_INTERVAL_S = 0.2
"""Pause between two such signs; a third of the silence that makes a hall count as cut off."""
ENTRY_HUBS = 2
"""Entries of a hall, the first by name, that are its hub where no keeper can be reached."""
HALL_CHECK_INTERVAL_S = 0.2
"""Pause between looks at which halls are silent; a third of the silence that makes one so."""
REBUILD_INTERVAL_S = 1.0
"""Pause between looks at whether what was told is too old."""

_SAME_HALL_KEEPER = 0
_OTHER_HALL_KEEPER = 1
_FIRST_ENTRY_HUB = 2


class LoadSharing:
    """Reports what this entry holds and takes what the others hold.

    :param timers: calls back.
    :param config: the entry's settings.
    :param registry: the instances.
    :param contents: what is known of requests that may end instances; told along.
    :param limits: rate limits that instances stated; told along.
    :param send: sends a datagram.
    :param on_alarm: called with an instance that another entry found bad.
    :param on_load_update: called when what others hold has changed.
    :param clock: monotonic time in seconds.
    :param wall_clock: the time of day in seconds.
    """

    def __init__(
        self,
        timers: scheduler.Scheduler,
        config: settings.GatewaySettings,
        registry: upstream_registry.UpstreamRegistry,
        contents: content_watch.ContentWatch,
        limits: upstream_limits.UpstreamLimits,
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
        self._view = load_view.LoadView(config.hall, registry)
        self._choice = hub_choice.HubChoice(config.name)
        # A restarted entry must not begin below the numbers of its former self.
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
        self._alarms = alarm_exchange.AlarmExchange(
            config.name, self._sequence, registry, on_alarm, contents.record_ended
        )
        self._silent_halls: frozenset[str] = frozenset()
        self._report_timer: scheduler.Timer | None = None
        self._reported_s = 0.0
        self._report_bytes = 0
        self._beacon_sent_s = 0.0
        timers.call_every(HUB_CHECK_INTERVAL_S, self._check_hub)
        timers.call_every(REBUILD_INTERVAL_S, self.refresh)
        timers.call_every(HALL_CHECK_INTERVAL_S, self._log_halls)

    @property
    def has_snapshot(self) -> bool:
        """Whether the hub has sent all that it knows."""
        return self._view.has_snapshot

    def set_fleet(self, known: fleet.Fleet) -> None:
        """Take over which processes there are."""
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
        self._choice.set_candidates(candidates)
        self._check_hub()

    def record_keeper_lost(self, address: str) -> None:
        """Take note of a keeper whose stream ended: it is no hub for a while."""
        self._choice.record_lost(endpoints.split(address), self._clock())
        self._check_hub()

    def get_entries(self) -> Sequence[fleet.Process]:
        """Return the entries that there are, this one among them."""
        if any(entry.name == self._name for entry in self._fleet.entries):
            return self._fleet.entries
        own = fleet.Process(name=self._name, hall=self._hall, address="")
        return (*self._fleet.entries, own)

    def get_silent_halls(self) -> frozenset[str]:
        """Return the halls that were heard of and are silent, as behind a cut."""
        return self._view.get_silent_halls(self._clock())

    def is_isolated(self) -> bool:
        """Tell whether nothing is heard of any other hall, as in one that is cut off."""
        return self._view.is_isolated(self._clock())

    def get_load_age_ms(self) -> int:
        """Return the age of what is known of the others; -1 if nothing is."""
        return self._view.get_age_ms(self._clock())

    def broadcast_alarm(
        self, incarnation_id: str, kind: shared_load.AlarmKind, *, for_ms: int = 0
    ) -> None:
        """Tell all other entries at once of an instance that was found bad, or cold."""
        self._alarms.raise_alarm(incarnation_id, kind, self._clock(), for_ms=for_ms)
        self._report()

    def broadcast_failure(self, incarnation_id: str) -> None:
        """Tell all other entries of an instance that lost a request, now and then."""
        if self._alarms.is_failure_due(incarnation_id, self._clock()):
            self.broadcast_alarm(incarnation_id, shared_load.AlarmKind.LOST_REQUEST)

    def broadcast_contents(self) -> None:
        """Tell soon what is new of contents that may end instances."""
        self.schedule_report()

    def broadcast_limits(self) -> None:
        """Tell all other entries at once that an instance changed its rate limit."""
        self._report()

    def schedule_report(self) -> None:
        """Report this entry's work soon."""
        if self._report_timer is not None:
            return
        free_s = self._reported_s + self._report_bytes / REPORT_BYTES_PER_S
        delay_s = max(COALESCE_S, free_s - self._clock())
        self._report_timer = self._timers.call_later(delay_s, self._report)

    def refresh(self) -> None:
        """Count again what the others hold, after the list of instances has changed."""
        now_s = self._clock()
        self._alarms.handle_list_change(now_s)
        self._view.rebuild(now_s)

    def handle_datagram(
        self,
        message: shared_load.Report | shared_load.Totals | shared_load.Update,
        sender: endpoints.Endpoint,
    ) -> None:
        """Take a datagram."""
        if isinstance(message, shared_load.Update):
            self._handle_update(message, sender)
        else:
            self._hub_port.handle_datagram(message, sender)

    def _handle_update(self, update: shared_load.Update, sender: endpoints.Endpoint) -> None:
        now_s = self._clock()
        self._alarms.handle_alarms(update.alarms, now_s)
        self._contents.handle_update(update.hub, update.contents)
        self._limits.merge(update.limits, now_s, reported_by=update.hub)
        before = self._choice.current
        heard = self._choice.record_update(sender, now_s)
        if heard is hub_choice.UpdateSource.OTHER:
            # A hub that has not heard that this entry left it.
            self._send(self._make_report(is_reporter=False), sender)
            return
        if heard is hub_choice.UpdateSource.NEW:
            self._change_hub(before, now_s)
        if self._view.handle_update(update, now_s):
            self._on_load_update()

    def _check_hub(self) -> None:
        now_s = self._clock()
        if self._choice.choose(now_s) and self._choice.probing is not None:
            self._send(self._make_report(is_reporter=True), self._choice.probing)
        pause_s = REPORT_INTERVAL_S if self._view.has_snapshot else HUB_CHECK_INTERVAL_S
        if now_s - self._reported_s >= pause_s:
            self._report()
        if now_s - self._beacon_sent_s >= BEACON_INTERVAL_S:
            self._beacon_sent_s = now_s
            self._send_beacons()

    def _change_hub(self, before: endpoints.Endpoint | None, now_s: float) -> None:
        fields = {
            "hub": _format(self._choice.current),
            "before": _format(before),
            "news_age_ms": self._view.get_age_ms(now_s),
        }
        logger.info("load is reported to another hub", extra={"fields": fields})
        if before is not None:
            self._send(self._make_report(is_reporter=False), before)
        self._view.begin_hub()

    def _send_beacons(self) -> None:
        """Show other hubs than the own one that entries of this hall are alive."""
        heralds = self._get_hall_entries(self._hall)[:BEACON_ENTRIES]
        if all(entry.name != self._name for entry in heralds):
            return
        data = self._make_report(is_reporter=False)
        for address in self._get_known_hubs():
            if address not in (self._choice.current, self._choice.probing):
                self._send(data, address)

    def _report(self) -> None:
        if self._report_timer is not None:
            self._report_timer.cancel()
            self._report_timer = None
        self._reported_s = self._clock()
        hub = self._choice.current or self._choice.probing
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
        rows = self._view.get_own() if is_reporter else {}
        if is_reporter:
            self._view.record_report(self._sequence, rows)
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
            wants_snapshot=is_reporter and not self._view.has_snapshot,
        )
        return shared_load.encode_report(report)

    def _get_known_hubs(self) -> Iterable[endpoints.Endpoint]:
        return [keeper.endpoint for keeper in self._fleet.keepers] or self._get_other_hall_hubs()

    def _get_other_hall_hubs(self) -> list[endpoints.Endpoint]:
        """Return the entries that other halls would have for hubs."""
        halls = sorted({entry.hall for entry in self._fleet.entries} - {self._hall})
        return [entry.endpoint for hall in halls for entry in self._get_entry_hubs(hall)]

    def _get_entry_hubs(self, hall: str) -> list[fleet.Process]:
        return self._get_hall_entries(hall)[:ENTRY_HUBS]

    def _get_hall_entries(self, hall: str) -> list[fleet.Process]:
        entries = [entry for entry in self._fleet.entries if entry.hall == hall]
        return sorted(entries, key=lambda entry: entry.name)

    def _log_halls(self) -> None:
        """Write which halls became silent and which are heard again."""
        now_s = self._clock()
        silent = self._view.get_silent_halls(now_s)
        for hall in sorted(silent - self._silent_halls):
            fields = {
                "hall": hall,
                "age_ms": self._view.get_silence_ms(hall, now_s),
                "news_age_ms": self._view.get_age_ms(now_s),
            }
            logger.warning("hall is silent", extra={"fields": fields})
        for hall in sorted(self._silent_halls - silent):
            logger.info("hall is heard again", extra={"fields": {"hall": hall}})
        self._silent_halls = silent


def _format(address: endpoints.Endpoint | None) -> str:
    return f"{address[0]}:{address[1]}" if address is not None else ""
