"""The datagrams by which entries tell each other of the work that they hold.

Each is whole in itself, so a lost one is made good by the next. What they come to is worked
out in :mod:`spoolhead._internal.policy.load_view`.
"""

import logging
import socket
import time
from collections.abc import Callable, Iterable

from spoolhead._internal.models import settings, shared_load
from spoolhead._internal.network import loop as loops
from spoolhead._internal.policy import load_view, upstream_book, watch_duty

logger = logging.getLogger(__name__)

COALESCE_S = 0.01
"""Changes within this time go out together; a fraction of a prompt's reading time."""
SUM_S_PER_ENTRY = 0.003
"""Least time between two sums of a hall, for each entry there is: 24 ms with eight entries and a
second with 350, so that what crosses halls does not grow with their number."""
TELL_AGAIN_S = 0.3
"""Pause between two words about one instance that lost requests; a rest begins with 0.5 s."""
TOLD_KEPT = 1_000
"""Instances for which that pause is kept."""
HALL_CHECK_S = 0.2
"""Pause between looks at which halls are silent; an eighth of the silence that makes one so."""
REPEAT_S = 1.0
"""Time after which what is unchanged is sent again."""
MAX_DATAGRAM_BYTES = 60_000


class _Peer:
    """Another entry.

    :ivar hall: its hall.
    :ivar address: where its datagrams go.
    """

    __slots__ = ("address", "hall")

    def __init__(self, hall: str, address: tuple[str, int]) -> None:
        self.hall = hall
        self.address = address


class LoadSharing:
    """Sends what this entry holds and gathers what the others tell.

    :param loop: root of the program.
    :param config: the entry's settings.
    :param book: the instances.
    :param on_alarm: called with an instance that another entry found bad.
    :param on_news: called when what others hold has changed.
    """

    def __init__(
        self,
        loop: loops.Loop,
        config: settings.GatewaySettings,
        book: upstream_book.UpstreamBook,
        *,
        on_alarm: Callable[[upstream_book.Upstream], None],
        on_news: Callable[[], None],
    ) -> None:
        self._timers = loop.scheduler
        self._on_alarm = on_alarm
        self._on_news = on_news
        self._name = config.name
        self._hall = config.hall
        self._own = f"{config.host}:{config.peer_port}"
        self._book = book
        self._view = load_view.LoadView(config.name, config.hall, book)
        self._mates: list[_Peer] = []
        self._others: dict[str, list[_Peer]] = {}
        self._mate_addresses: frozenset[tuple[str, int]] = frozenset()
        self._turn = 0
        self._told_s: dict[str, float] = {}
        self._silent_halls: frozenset[str] = frozenset()
        # A restarted entry must not begin below the numbers of its former self.
        self._sequence = int(time.time() * 1000)
        self._is_share_due = False
        self._is_sum_due = False
        self._sum_sent_s = 0.0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind((config.host, config.peer_port))
        loop.poller.add_direct_reader(loop, self._sock, self._on_readable)
        self._timers.call_every(REPEAT_S, self._repeat)
        self._timers.call_every(HALL_CHECK_S, self._log_halls)

    def set_peers(self, entries: Iterable[list[object]]) -> None:
        """Take over the fleet: name, hall and address of each entry."""
        self._mates = []
        self._others = {}
        for _, hall, address in sorted(entries, key=str):
            host, _, port = str(address).rpartition(":")
            if address == self._own or not port.isdigit():
                continue
            peer = _Peer(str(hall), (host, int(port)))
            if peer.hall == self._hall:
                self._mates.append(peer)
            else:
                self._others.setdefault(peer.hall, []).append(peer)
        self._mate_addresses = frozenset(peer.address for peer in self._mates)

    def get_watchers(self) -> list[watch_duty.Watcher]:
        """Return the entries that are alive, this one among them."""
        return self._view.get_watchers(time.monotonic())

    def get_silent_halls(self) -> frozenset[str]:
        """Return the halls that were heard from and are silent, as behind a cut."""
        return self._view.get_silent_halls(time.monotonic())

    def is_alone(self) -> bool:
        """Tell whether nothing is heard of any other hall, as in one that is cut off."""
        return self._view.is_alone(time.monotonic())

    def tell_alarm(self, alarm: shared_load.Alarm) -> None:
        """Tell all other entries at once of an instance that was found bad."""
        data = shared_load.encode(self._make_share(alarms=[alarm]))
        self._send(self._mates, data)
        for peers in self._others.values():
            self._send(peers, data)

    def tell_failure(self, instance_id: str) -> None:
        """Tell all other entries of an instance that lost a request, now and then."""
        now_s = time.monotonic()
        if now_s - self._told_s.get(instance_id, 0.0) < TELL_AGAIN_S:
            return
        if len(self._told_s) > TOLD_KEPT:
            self._told_s.clear()
        self._told_s[instance_id] = now_s
        self.tell_alarm(shared_load.Alarm(instance_id, shared_load.AlarmKind.LOST_REQUEST))

    def note_change(self) -> None:
        """Tell of this entry's work soon."""
        if not self._is_share_due:
            self._is_share_due = True
            self._timers.call_later(COALESCE_S, self._send_share)

    def refresh(self) -> None:
        """Work out again what the others hold, after the list of instances has changed."""
        self._view.rebuild(time.monotonic())

    def _make_share(self, *, alarms: list[shared_load.Alarm]) -> shared_load.Share:
        self._sequence += 1
        return shared_load.Share(
            sender=self._name,
            hall=self._hall,
            is_sum=False,
            sequence=self._sequence,
            held=self._view.get_own(),
            members=[],
            alarms=alarms,
        )

    def _make_sum(self, now_s: float) -> shared_load.Share:
        self._sequence += 1
        return shared_load.Share(
            sender=self._name,
            hall=self._hall,
            is_sum=True,
            sequence=self._sequence,
            held=self._view.get_sum(),
            members=self._view.get_members(now_s),
            alarms=[],
        )

    def _send_share(self) -> None:
        self._is_share_due = False
        self._send(self._mates, shared_load.encode(self._make_share(alarms=[])))
        self._note_hall_change()

    def _note_hall_change(self) -> None:
        """Send the hall's sum as soon as it may go."""
        now_s = time.monotonic()
        if self._is_sum_due or not self._others or not self._view.is_speaker(now_s):
            return
        self._is_sum_due = True
        entry_count = 1 + len(self._mates) + sum(map(len, self._others.values()))
        due_s = self._sum_sent_s + SUM_S_PER_ENTRY * entry_count
        self._timers.call_later(max(0.0, due_s - now_s), self._send_sum)

    def _send_sum(self) -> None:
        self._is_sum_due = False
        self._sum_sent_s = time.monotonic()
        data = shared_load.encode(self._make_sum(self._sum_sent_s))
        self._turn += 1
        for peers in self._others.values():
            # The next sum goes to the next entry, so one that is down loses a few only.
            self._send([peers[self._turn % len(peers)]], data)

    def _send(self, peers: Iterable[_Peer], data: bytes) -> None:
        for peer in peers:
            try:
                self._sock.sendto(data, peer.address)
            except OSError as error:
                logger.debug("share not sent to %s: %s", peer.address, error)

    def _repeat(self) -> None:
        self.refresh()
        self.note_change()

    def _log_halls(self) -> None:
        """Write which halls became silent and which are heard again."""
        now_s = time.monotonic()
        silent = self._view.get_silent_halls(now_s)
        for hall in sorted(silent - self._silent_halls):
            fields = {"hall": hall, "age_ms": self._view.get_silence_ms(hall, now_s)}
            logger.warning("hall is silent", extra={"fields": fields})
        for hall in sorted(self._silent_halls - silent):
            logger.info("hall is heard again", extra={"fields": {"hall": hall}})
        self._silent_halls = silent

    def _on_readable(self, sock: socket.socket) -> None:
        has_news = False
        while True:
            try:
                data, sender = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            has_news = self._take(data, sender) or has_news
        if has_news:
            self._on_news()

    def _take(self, data: bytes, sender: tuple[str, int]) -> bool:
        try:
            share = shared_load.decode(data)
        except ValueError as error:
            logger.warning("datagram that is no share: %s", error)
            return False
        for alarm in share.alarms:
            self._take_alarm(share.sender, alarm)
        if not self._view.take_share(share, time.monotonic()):
            return False
        if not share.is_sum:
            self._note_hall_change()
        elif sender not in self._mate_addresses:
            # Straight from the other hall; what a mate passed on is not passed on again.
            self._send(self._mates, data)
        return True

    def _take_alarm(self, name: str, alarm: shared_load.Alarm) -> None:
        upstream = self._book.get(alarm.instance_id)
        if upstream is None or upstream.is_leaving:
            return
        now_s = time.monotonic()
        if alarm.kind is shared_load.AlarmKind.LOST_REQUEST:
            if upstream.note_told_failure(name, now_s):
                fields = {"upstream": alarm.instance_id, "reason": f"told by {name}"}
                logger.warning("upstream rests", extra={"fields": fields})
            return
        if upstream.raise_alarm(now_s, alarm.kind):
            fields = {"upstream": alarm.instance_id, "told_by": name}
            logger.info("upstream is said not to be well", extra={"fields": fields})
            self._on_alarm(upstream)
