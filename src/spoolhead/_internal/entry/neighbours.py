"""Exchanges load reports with the other entries of the hall, called neighbours."""

from collections.abc import Callable, Sequence

from spoolhead._internal.models import load_report, settings
from spoolhead._internal.network import links, messages, peer_client, peer_server
from spoolhead._internal.network import loop as loops
from spoolhead._internal.utils import clocks

ROLE = "entry"
NEIGHBOUR_TIMEOUT_S = 2.0


class NamedReport:
    """A load report with the name of its upstream.

    :ivar upstream: name of the upstream.
    :ivar report: the upstream's report.
    """

    __slots__ = ("report", "upstream")

    def __init__(self, upstream: str, report: load_report.LoadReport) -> None:
        self.upstream = upstream
        self.report = report


class Member:
    """An entry that follows the table.

    :ivar name: its name.
    :ivar hall: its hall.
    :ivar address: ``IP:PORT`` of its control port.
    """

    __slots__ = ("address", "hall", "name")

    def __init__(self, name: str, hall: str, address: str) -> None:
        self.name = name
        self.hall = hall
        self.address = address


class _Neighbour:
    """Connection that receives reports from another entry of the hall."""

    def __init__(self, owner: "Neighbours", member: Member) -> None:
        self._owner = owner
        self.address = member.address
        self.client = owner.make_client(member, self)

    def on_peer_ready(self) -> None:
        """Do nothing: the peer sends its reports without a request."""

    def on_peer_lost(self) -> None:
        """Do nothing: :meth:`Neighbours.get_live_entries` skips a lost or silent neighbour."""

    def on_peer_message(self, message: messages.Message) -> None:
        """Handle a message with reports."""
        if isinstance(message, messages.Reports):
            self._owner.handle_reports(message)


class Neighbours:
    """Connections to and from the other entries of the hall.

    :param loop: the program's event loop.
    :param outgoing: the program's outgoing connections.
    :param config: the entry's settings.
    :param on_reports: called with reports that a neighbour has fetched.
    """

    def __init__(
        self,
        loop: loops.Loop,
        outgoing: links.Links,
        config: settings.EntrySettings,
        on_reports: Callable[[Sequence[NamedReport]], None],
    ) -> None:
        self._loop = loop
        self._outgoing = outgoing
        self._config = config
        self._on_reports = on_reports
        self._neighbours: dict[str, _Neighbour] = {}
        self._sessions: set[peer_server.PeerSession] = set()

    def set_members(self, members: Sequence[Member]) -> None:
        """Connect to new entries of this hall, and close connections to entries that have left."""
        wanted = {
            item.name: item
            for item in members
            if item.hall == self._config.hall and item.name != self._config.name
        }
        for name, known in list(self._neighbours.items()):
            if name not in wanted or wanted[name].address != known.address:
                known.client.close()
                del self._neighbours[name]
        for name, member in wanted.items():
            if name not in self._neighbours:
                self._neighbours[name] = _Neighbour(self, member)

    def make_client(self, member: Member, listener: _Neighbour) -> peer_client.PeerClient:
        """Connect to a neighbour."""
        return peer_client.PeerClient(
            self._loop,
            self._outgoing,
            [member.address],
            role=ROLE,
            name=self._config.name,
            shared_key=self._config.shared_key,
            listener=listener,
        )

    def get_live_entries(self, now_s: float) -> list[str]:
        """Return the names of this entry, first, and of all neighbours that are not silent."""
        live_names = [
            name
            for name, item in self._neighbours.items()
            if item.client.is_ready and now_s - item.client.heard_s < NEIGHBOUR_TIMEOUT_S
        ]
        return [self._config.name, *live_names]

    def add_session(self, session: peer_server.PeerSession) -> None:
        """Start sending reports to a neighbour."""
        self._sessions.add(session)

    def remove_session(self, session: peer_server.PeerSession) -> None:
        """Stop sending reports to a neighbour."""
        self._sessions.discard(session)

    def broadcast_reports(self, reports: Sequence[NamedReport]) -> None:
        """Send reports that this entry has fetched to all neighbours."""
        if not reports or not self._sessions:
            return
        now_s = clocks.get_s()
        data = messages.encode(
            messages.Reports(items=[pack(item, now_s=now_s) for item in reports])
        )
        for session in self._sessions:
            session.send_encoded(data)

    def handle_reports(self, message: messages.Reports) -> None:
        """Handle reports that a neighbour has fetched."""
        now_s = clocks.get_s()
        self._on_reports([unpack(item, now_s=now_s) for item in message.items])


def pack(item: NamedReport, *, now_s: float) -> list[object]:
    """Encode a report for a message.

    The age is sent instead of the time of arrival, since machines have different monotonic clocks.
    """
    report = item.report
    return [
        item.upstream,
        report.running,
        report.waiting,
        report.kv_used_tokens,
        report.kv_capacity_tokens,
        report.preemptions,
        int((now_s - report.received_s) * 1000),
    ]


def unpack(item: object, *, now_s: float) -> NamedReport:
    """Decode a report that :func:`pack` encoded on another machine.

    :raises messages.MessageError: if the item is malformed.
    """
    if not isinstance(item, list) or len(item) != 7:
        raise messages.MessageError("malformed load report")
    upstream, *numbers = item
    if not isinstance(upstream, str) or not all(isinstance(number, int) for number in numbers):
        raise messages.MessageError("malformed load report")
    running, waiting, used, capacity, preemptions, age_ms = numbers
    if age_ms < 0:
        raise messages.MessageError("load report with a negative age")
    report = load_report.LoadReport(
        running=running,
        waiting=waiting,
        kv_used_tokens=used,
        kv_capacity_tokens=capacity,
        preemptions=preemptions,
        received_s=now_s - age_ms / 1000,
    )
    return NamedReport(upstream, report)
