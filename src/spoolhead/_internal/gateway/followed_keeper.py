"""State of an entry's stream to one keeper: versions, instances and fleet that it reported."""

import logging
from collections.abc import Mapping, Sequence
from typing import Protocol

from spoolhead._internal.models import fleet, instances
from spoolhead._internal.network import messages, peer_client, route_messages

logger = logging.getLogger(__name__)


class KnownFleet:
    """The fleet as one keeper reports it.

    :ivar hall: hall of the keeper.
    :ivar keepers: addresses of all keepers.
    :ivar entries: the entries that are connected to it, by name.
    """

    __slots__ = ("entries", "hall", "keepers")

    def __init__(self) -> None:
        self.hall = ""
        self.keepers: list[str] = []
        self.entries: dict[str, fleet.Process] = {}

    def apply(self, message: route_messages.Fleet) -> None:
        """Apply the changes in a message."""
        self.hall = message.hall
        self.keepers = message.keepers
        for name in message.gone:
            self.entries.pop(str(name), None)
        for name, hall, address in message.entries:
            self.entries[str(name)] = fleet.Process(
                name=str(name), hall=str(hall), address=str(address)
            )


class Follower(Protocol):
    """The owner of a followed keeper, which handles its events."""

    def make_client(self, address: str, keeper: "FollowedKeeper") -> peer_client.PeerClient:
        """Return a client for a new stream to a keeper."""

    def on_keeper_ready(self, keeper: "FollowedKeeper") -> None:
        """Called when the stream is established."""

    def on_keeper_message(self, keeper: "FollowedKeeper", message: messages.Message) -> None:
        """Called with a message of the keeper."""

    def on_keeper_lost(self, keeper: "FollowedKeeper") -> None:
        """Called when the stream has ended."""


class FollowedKeeper:
    """One keeper whose route table, instance list and fleet data an entry follows.

    :param follower: handles the events of the stream.
    :param address: ``IP:PORT`` of the keeper.
    :ivar client: client of the stream.
    :ivar version: newest table version that the keeper reported.
    :ivar is_confirmed: whether a leader has confirmed the keeper's state, as reported on the
        current stream.
    :ivar fetch_sent_s: monotonic time of the table request that is not answered yet; 0 for none.
    :ivar evacuated: the evacuated halls; None until the keeper reports them on this stream.
    :ivar listed: the listed instances by id; None until a complete list arrives on this stream.
    :ivar fleet: the fleet; None until the keeper reports it on this stream.
    """

    def __init__(self, follower: Follower, address: str) -> None:
        self._follower = follower
        self._has_reported = False
        self.address = address
        self.version = 0
        self.is_confirmed = False
        self.fetch_sent_s = 0.0
        self.evacuated: route_messages.EvacuatedHalls | None = None
        self.listed: dict[str, instances.Instance] | None = None
        self.fleet: KnownFleet | None = None
        self.client = follower.make_client(address, self)

    def on_peer_ready(self) -> None:
        """Notify the follower that the stream is established."""
        self._follower.on_keeper_ready(self)

    def on_peer_message(self, message: messages.Message) -> None:
        """Forward a message to the follower."""
        self._follower.on_keeper_message(self, message)

    def on_peer_lost(self) -> None:
        """Reset the state of the stream and notify the follower that it has ended."""
        self._has_reported = False
        self.is_confirmed = False
        self.fetch_sent_s = 0.0
        self.evacuated = None
        self.listed = None
        self.fleet = None
        self._follower.on_keeper_lost(self)

    def handle_version(self, message: route_messages.RouteTableVersion, taken_version: int) -> None:
        """Handle the table version that the keeper reports.

        :param taken_version: version of the table that the entry has in force; only logged.
        """
        if not self._has_reported or self.is_confirmed is not message.is_confirmed:
            fields = {
                "address": self.address,
                "version": message.version,
                "is_confirmed": message.is_confirmed,
                "taken_version": taken_version,
            }
            logger.info("keeper tells its version", extra={"fields": fields})
        self._has_reported = True
        self.is_confirmed = message.is_confirmed
        self.version = message.version

    def handle_fleet(self, message: route_messages.Fleet) -> None:
        """Handle a complete or incremental report of the fleet."""
        if message.is_whole or self.fleet is None:
            self.fleet = KnownFleet()
        self.fleet.apply(message)

    def apply_list(
        self,
        message: route_messages.InstanceList,
        other_lists: Sequence[Mapping[str, instances.Instance]],
    ) -> None:
        """Apply a complete instance list, or changes to the list received on this stream.

        Changes are ignored until a complete list has arrived.

        :param other_lists: the lists of other keepers; equal instances share one object with them
            to save memory.
        """
        try:
            changed = instances.unpack(message.changed)
        except ValueError as error:
            logger.error("instance list of %s: %s", self.address, error)
            return
        if message.is_whole:
            self.listed = {}
        if self.listed is None:
            return
        for instance_id in message.gone:
            self.listed.pop(instance_id, None)
        for item in changed:
            self.listed[item.instance_id] = _find_same(item, other_lists)


def _find_same(
    item: instances.Instance, other_lists: Sequence[Mapping[str, instances.Instance]]
) -> instances.Instance:
    """Return an equal instance from other lists, or the given one.

    A cold instance is never shared: each reading restarts its cold period, and readings are
    distinguished by identity.
    """
    if item.cold_ms:
        return item
    for listed in other_lists:
        other = listed.get(item.instance_id)
        if other == item:
            return other
    return item
