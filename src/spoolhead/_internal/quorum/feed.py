"""Sends entries the table's version, evacuated halls, instances and the fleet's processes."""

import collections
import logging
from collections.abc import Callable

from spoolhead._internal.models import evacuations, instances
from spoolhead._internal.network import messages, peer_server, route_messages, scheduler
from spoolhead._internal.utils import deflate, document_delta, row_changes

logger = logging.getLogger(__name__)

FLEET_INTERVAL_S = 0.25
"""Interval between messages about the fleet, which go to all entries. If each joining entry caused
a message to all others, the number of messages would be quadratic when all entries start within
0.3 s."""

MAX_DOCUMENTS = 8
"""Number of documents that are kept to send differences. Entries lag by one or two changes, and by
a dozen during a burst of changes. The largest document that operators may send is 4 MB."""


class CommittedTable:
    """A committed route table.

    :ivar version: version of the table.
    :ivar document: bytes of the table.
    :ivar is_confirmed: whether a leader has confirmed, since this keeper's start, that the table is
        the newest.
    """

    __slots__ = ("document", "is_confirmed", "version")

    def __init__(self, version: int, document: bytes, *, is_confirmed: bool) -> None:
        self.version = version
        self.document = document
        self.is_confirmed = is_confirmed


class Feed:
    """Serves the entries that follow a keeper.

    :param timers: scheduler for periodic messages.
    :param hall: hall of the keeper.
    :param get_keepers: returns the addresses of all keepers.
    :param get_table: returns the committed table.
    :param get_evacuations: returns the evacuation state of halls.
    """

    def __init__(
        self,
        timers: scheduler.Scheduler,
        hall: str,
        get_keepers: Callable[[], list[str]],
        get_table: Callable[[], CommittedTable],
        get_evacuations: Callable[[], evacuations.Evacuations],
    ) -> None:
        self._hall = hall
        self._get_keepers = get_keepers
        self._get_table = get_table
        self._get_evacuations = get_evacuations
        self._sent_evacuations: route_messages.EvacuatedHalls | None = None
        self._followers: dict[peer_server.PeerSession, route_messages.Subscribe] = {}
        self._documents: collections.OrderedDict[int, bytes] = collections.OrderedDict()
        self._packed_tables: dict[int, route_messages.RouteTableDocument] = {}
        self._retained_version = 0
        self._sequence = 0
        self._reader_term = 0
        self._packed_instances: list[list[object]] = []
        self._sent_keepers: list[str] = []
        self._sent_entries: list[row_changes.Row] = []
        self._is_fleet_changed = False
        timers.call_every(FLEET_INTERVAL_S, self._broadcast_fleet)

    @property
    def follower_count(self) -> int:
        """Number of entries that follow this keeper."""
        return len(self._followers)

    def add_follower(
        self, session: peer_server.PeerSession, subscription: route_messages.Subscribe
    ) -> None:
        """Add a follower and send it the current state."""
        self._followers[session] = subscription
        table = self._get_table()
        fields = {
            "entry": session.name,
            "hall": subscription.hall,
            "version": table.version,
            "is_confirmed": table.is_confirmed,
        }
        logger.info("entry follows", extra={"fields": fields})
        # The evacuated halls are sent first: an entry must know them before it applies a table.
        session.send(self._make_evacuated_halls(table))
        session.send(_make_table_version(table))
        if self._sequence:
            session.send(self._make_instance_list())
        # Send the list that the other followers received last, so that the next difference applies
        # to this follower's list too.
        session.send(self._make_fleet(self._sent_entries, [], is_whole=True))
        self._is_fleet_changed = True

    def remove_follower(self, session: peer_server.PeerSession) -> None:
        """Remove a follower whose stream has closed."""
        if self._followers.pop(session, None) is not None:
            logger.info("entry left", extra={"fields": {"entry": session.name}})
            self._is_fleet_changed = True

    def send_table(self, session: peer_server.PeerSession, digest: int) -> None:
        """Send the committed table to a follower.

        :param digest: digest of the document that the follower has; if that document is known here,
            only the difference is sent.
        """
        table = self._retain_document()
        session.send(self._pack_table(table, digest if digest in self._documents else 0))

    def broadcast_version(self) -> None:
        """Send all followers the table's version, and the evacuated halls if these have changed."""
        table = self._retain_document()
        evacuated = self._make_evacuated_halls(table)
        if evacuated.revision and evacuated != self._sent_evacuations:
            self._sent_evacuations = evacuated
            self._broadcast(evacuated)
        fields = {
            "version": table.version,
            "is_confirmed": table.is_confirmed,
            "followers": len(self._followers),
        }
        logger.info("table version announced", extra={"fields": fields})
        self._broadcast(_make_table_version(table))

    def broadcast_instances(self, term: int, listed: list[instances.Instance]) -> None:
        """Send all followers a newly read list of instances."""
        packed = instances.pack(listed)
        change = row_changes.compare(self._packed_instances, packed)
        self._packed_instances = packed
        self._reader_term = term
        self._sequence += 1
        # Streams are lossless, so a follower has the previous list and needs only the difference.
        # Before the first list nothing was sent, so the first list is whole.
        message = route_messages.InstanceList(
            reader_term=term,
            sequence=self._sequence,
            is_whole=self._sequence == 1,
            changed=change.changed,
            gone=change.gone,
        )
        self._broadcast(message)

    def _retain_document(self) -> CommittedTable:
        """Return the committed table and keep its document for differences to later versions."""
        table = self._get_table()
        if table.version == self._retained_version:
            return table
        self._retained_version = table.version
        self._packed_tables.clear()
        self._documents[document_delta.get_digest(table.document)] = table.document
        while len(self._documents) > MAX_DOCUMENTS:
            self._documents.popitem(last=False)
        return table

    def _pack_table(self, table: CommittedTable, digest: int) -> route_messages.RouteTableDocument:
        """Return the encoded table; cached, since all entries fetch it at about the same time."""
        packed = self._packed_tables.get(digest)
        if packed is None:
            data = table.document
            if digest:
                data = document_delta.make(self._documents[digest], table.document)
            packed = self._packed_tables[digest] = route_messages.RouteTableDocument(
                version=table.version, packed=deflate.pack(data), base_digest=digest
            )
        return packed

    def _make_evacuated_halls(self, table: CommittedTable) -> route_messages.EvacuatedHalls:
        state = self._get_evacuations()
        return route_messages.EvacuatedHalls(
            revision=state.revision,
            halls=sorted(state.evacuated_halls),
            is_confirmed=table.is_confirmed,
        )

    def _make_instance_list(self) -> route_messages.InstanceList:
        return route_messages.InstanceList(
            reader_term=self._reader_term,
            sequence=self._sequence,
            is_whole=True,
            changed=self._packed_instances,
            gone=[],
        )

    def _make_fleet(
        self, entries: list[row_changes.Row], gone: list[object], *, is_whole: bool
    ) -> route_messages.Fleet:
        return route_messages.Fleet(
            hall=self._hall,
            keepers=self._get_keepers(),
            is_whole=is_whole,
            entries=entries,
            gone=gone,
        )

    def _broadcast_fleet(self) -> None:
        """Send all followers the changes in the fleet."""
        keepers = self._get_keepers()
        if not self._is_fleet_changed and keepers == self._sent_keepers:
            return
        self._is_fleet_changed = False
        self._sent_keepers = keepers
        entries: list[row_changes.Row] = [
            [session.name, subscription.hall, subscription.address]
            for session, subscription in self._followers.items()
        ]
        change = row_changes.compare(self._sent_entries, entries)
        self._sent_entries = entries
        self._broadcast(self._make_fleet(change.changed, change.gone, is_whole=False))

    def _broadcast(self, message: messages.Message) -> None:
        data = messages.encode(message)
        for session in list(self._followers):
            session.send_encoded(data)


def _make_table_version(table: CommittedTable) -> route_messages.RouteTableVersion:
    return route_messages.RouteTableVersion(version=table.version, is_confirmed=table.is_confirmed)
