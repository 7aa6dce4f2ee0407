"""One keeper that an entry follows: its stream, and what it has told on it."""

import logging
from collections.abc import Mapping, Sequence
from typing import Protocol

from spoolhead._internal.models import fleet, instances
from spoolhead._internal.network import messages, peer_client, route_messages

logger = logging.getLogger(__name__)


class KnownFleet:
    """What one keeper knows of the fleet.

    :ivar hall: hall of the keeper.
    :ivar keepers: addresses of the keepers.
    :ivar entries: the entries connected with it, by name.
    """

    __slots__ = ("entries", "hall", "keepers")

    def __init__(self) -> None:
        self.hall = ""
        self.keepers: list[str] = []
        self.entries: dict[str, fleet.Process] = {}

    def take(self, message: route_messages.Fleet) -> None:
        """Take over what has changed."""
        self.hall = message.hall
        self.keepers = message.keepers
        for name in message.gone:
            self.entries.pop(str(name), None)
        for name, hall, address in message.entries:
            self.entries[str(name)] = fleet.Process(
                name=str(name), hall=str(hall), address=str(address)
            )


class Follower(Protocol):
    """Who follows the keeper."""

    def make_client(self, address: str, keeper: "FollowedKeeper") -> peer_client.PeerClient:
        """Return a new stream to a keeper."""

    def on_keeper_ready(self, keeper: "FollowedKeeper") -> None:
        """The stream stands."""

    def on_keeper_message(self, keeper: "FollowedKeeper", message: messages.Message) -> None:
        """The keeper sent a message."""

    def on_keeper_lost(self, keeper: "FollowedKeeper") -> None:
        """The stream is over."""


class FollowedKeeper:
    """One keeper that is followed.

    :param follower: is told what happens.
    :param address: ``IP:PORT`` of the keeper.
    :ivar client: the stream.
    :ivar version: newest version that it told.
    :ivar is_confirmed: what it told on the present stream, a leader has told it.
    :ivar fetch_sent_s: monotonic time at which a table was asked for that has not come; 0 for none.
    :ivar evacuated: the halls that it told to be evacuated; None before it told any on this stream.
    :ivar listed: the instances that it lists, by id; None before a whole list on this stream.
    :ivar fleet: what it knows of the fleet; None before it told that on this stream.
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
        """Tell that the stream stands."""
        self._follower.on_keeper_ready(self)

    def on_peer_message(self, message: messages.Message) -> None:
        """Pass a message on."""
        self._follower.on_keeper_message(self, message)

    def on_peer_lost(self) -> None:
        """Forget what holds for one stream only, and tell that it is over."""
        self._has_reported = False
        self.is_confirmed = False
        self.fetch_sent_s = 0.0
        self.evacuated = None
        self.listed = None
        self.fleet = None
        self._follower.on_keeper_lost(self)

    def handle_version(self, message: route_messages.RouteTableVersion, taken_version: int) -> None:
        """Take the version that it tells.

        :param taken_version: the one that the entry has in force.
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
        """Take what it knows of the fleet."""
        if message.is_whole or self.fleet is None:
            self.fleet = KnownFleet()
        self.fleet.take(message)

    def apply_list(
        self,
        message: route_messages.InstanceList,
        known: Sequence[Mapping[str, instances.Instance]],
    ) -> None:
        """Change what it lists; without a whole list on this stream there is nothing to.

        :param known: what other keepers list; what is told alike is kept once.
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
            self.listed[item.instance_id] = _find_same(item, known)


def _find_same(
    item: instances.Instance, known: Sequence[Mapping[str, instances.Instance]]
) -> instances.Instance:
    """Return an equal instance that is known, or the given one.

    Two readings of a cold instance are told apart by identity, as each begins its time anew.
    """
    if item.cold_ms:
        return item
    for listed in known:
        other = listed.get(item.instance_id)
        if other == item:
            return other
    return item
