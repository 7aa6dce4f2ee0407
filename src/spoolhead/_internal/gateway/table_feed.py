"""Follows the keepers to receive the route table, the instance list and the fleet.

The entry follows all known keepers at the same time, so that a keeper that is cut off or behind
cannot delay it: the newest version that any keeper reports is fetched from that keeper. A keeper
without contact to a leader since its start reports the version on its disk, which may be outdated;
it is ignored.
"""

import logging
import math
from collections.abc import Callable
from typing import Protocol

from spoolhead._internal.discovery import list_reader
from spoolhead._internal.gateway import followed_keeper
from spoolhead._internal.models import dialects, fleet, instances, settings
from spoolhead._internal.network import links, messages, peer_client, route_messages, upstream_calls
from spoolhead._internal.network import loop as loops
from spoolhead._internal.utils import clocks, deflate, document_delta

logger = logging.getLogger(__name__)

ROLE = "entry"
TIMING = peer_client.PeerTiming(
    connect_ms=700, initial_retry_ms=50, max_retry_ms=700, heartbeat_ms=500, silence_ms=1_600
)
"""A keeper sends something each quarter of a second. A partition and its end must be detected well
within the time in which an accepted table has to be in force (two seconds)."""
CHECK_INTERVAL_S = 0.5
"""Interval between checks of the instance list's age; a quarter of its maximum age."""
MIN_READ_INTERVAL_PER_ENTRY_S = 0.02
"""Minimum interval between two direct reads of the instance list, multiplied by the number of
entries: all entries together make 50 calls a second, about as many as the platform permits."""
PENDING_FETCH_TTL_S = 0.3
"""Time for which a version that was requested from one keeper is not requested from another: twice
the transfer time of a table of 1,640 routes over a link of 5 Mbit/s, and short enough to bypass a
stalled keeper well within the time in which a table has to be in force."""
FETCH_RETRY_INTERVAL_S = 0.5
"""Time after which a table that was requested and did not arrive is requested again."""


class FeedListener(Protocol):
    """The owner of a feed, which handles the received data."""

    def on_table(self, version: int, document: bytes) -> bool:
        """Called with a newer committed route table.

        :returns: whether it is in force now; False for a table that is not usable.
        """

    def on_evacuations(self, halls: frozenset[str]) -> None:
        """Called with the complete set of evacuated halls when it changes."""

    def on_instances(self, listed: list[instances.Instance]) -> None:
        """Called with each new instance list."""

    def on_fleet(self, known: fleet.Fleet) -> None:
        """Called when the known keepers and entries have changed."""

    def on_keeper_lost(self, address: str) -> None:
        """Called when the stream to a keeper has ended."""


class TableFeed:
    """Follows all known keepers and passes the newest data to its owner.

    :param loop: event loop of the program.
    :param outgoing: the program's outgoing connections.
    :param calls: makes HTTP requests, to read the instance list if no keeper sends it.
    :param config: the entry's settings.
    :param dialect: adapter for the format of the instance list.
    :param listener: handles the received data.
    :ivar version: version of the table in force.
    :ivar evacuation_revision: revision of the evacuated halls in force; 0 for none.
    """

    def __init__(
        self,
        loop: loops.Loop,
        outgoing: links.Links,
        calls: upstream_calls.UpstreamCalls,
        config: settings.GatewaySettings,
        dialect: dialects.TableDialect,
        listener: FeedListener,
    ) -> None:
        self.version = 0
        self.evacuation_revision = 0
        self._document = b""
        self._digest = 0
        self._unusable_version = 0
        self._accepts_unconfirmed = False
        self._loop = loop
        self._outgoing = outgoing
        self._config = config
        self._listener = listener
        self._keepers: dict[str, followed_keeper.FollowedKeeper] = {}
        self._list_received_s = clocks.get_s()
        self._reader_term = 0
        self._reads_directly = False
        self._last_read_s = -math.inf
        self._entry_count = 1
        self._reader = list_reader.ListReader(
            loop, calls, config.instance_list, dialect, self._handle_direct_reading
        )
        self._follow()
        loop.scheduler.call_every(CHECK_INTERVAL_S, self._check)

    def count_list_faults(self, count: Callable[[], None]) -> None:
        """Set what is called for each read of the instance list that was not readable whole."""
        self._reader.on_fault = count

    @property
    def connected_count(self) -> int:
        """Number of keepers with an established stream."""
        return sum(keeper.client.is_ready for keeper in self._keepers.values())

    @property
    def keeper_count(self) -> int:
        """Number of known keepers."""
        return len(self._keepers)

    @property
    def reaches_majority(self) -> bool:
        """Whether the streams to a majority of the known keepers are established."""
        return self.connected_count * 2 > self.keeper_count

    @property
    def is_sure(self) -> bool:
        """Whether a majority of the keepers confirms that the table in force is the newest.

        The confirming keepers report the current members; the settings may name previous ones.
        """
        confirming = [item for item in self._keepers.values() if item.is_confirmed]
        members = {
            address
            for item in confirming
            if item.fleet is not None
            for address in item.fleet.keepers
        }
        agreeing_addresses = {item.address for item in confirming if item.version <= self.version}
        return len(agreeing_addresses & members) * 2 > len(members)

    def accept_unconfirmed(self, is_accepted: bool) -> None:
        """Set whether to accept tables from keepers that cannot confirm them to be the newest."""
        if is_accepted is self._accepts_unconfirmed:
            return
        self._accepts_unconfirmed = is_accepted
        if is_accepted:
            fields = {"keepers": self.connected_count, "followed": self.keeper_count}
            logger.warning("unconfirmed tables are accepted", extra={"fields": fields})
            for keeper in self._keepers.values():
                self._handle_evacuated_halls(keeper)
            self._fetch_from_any()

    def set_keeper_addresses(self, addresses: list[str]) -> None:
        """Set the keepers' addresses from changed settings."""
        self._config.keepers = addresses
        self._follow()

    def make_client(
        self, address: str, keeper: followed_keeper.FollowedKeeper
    ) -> peer_client.PeerClient:
        """Return a client for a new stream to a keeper."""
        return peer_client.PeerClient(
            self._loop,
            self._outgoing,
            [address],
            role=ROLE,
            name=self._config.name,
            shared_key=self._config.shared_key,
            listener=keeper,
            timing=TIMING,
        )

    def on_keeper_ready(self, keeper: followed_keeper.FollowedKeeper) -> None:
        """Subscribe to a keeper whose stream is established."""
        logger.info("keeper is reachable", extra={"fields": {"address": keeper.address}})
        address = f"{self._config.host}:{self._config.peer_port}"
        keeper.client.send(route_messages.Subscribe(hall=self._config.hall, address=address))

    def on_keeper_lost(self, keeper: followed_keeper.FollowedKeeper) -> None:
        """Notify the owner that the stream to a keeper has ended."""
        logger.warning("keeper is lost", extra={"fields": {"address": keeper.address}})
        self._listener.on_keeper_lost(keeper.address)

    def on_keeper_message(
        self, keeper: followed_keeper.FollowedKeeper, message: messages.Message
    ) -> None:
        """Handle a message of a keeper."""
        match message:
            case route_messages.RouteTableVersion():
                keeper.handle_version(message, self.version)
                self._fetch(keeper)
            case route_messages.EvacuatedHalls():
                keeper.evacuated = message
                self._handle_evacuated_halls(keeper)
            case route_messages.RouteTableDocument():
                self._handle_table(keeper, message)
            case route_messages.InstanceList():
                self._handle_instance_list(keeper, message)
            case route_messages.Fleet():
                self._handle_fleet(keeper, message)
            case _:
                logger.warning("unexpected %s of a keeper", type(message).__name__)

    def _handle_fleet(
        self, keeper: followed_keeper.FollowedKeeper, message: route_messages.Fleet
    ) -> None:
        """Merge the fleet data of all keepers and pass it on.

        An entry is known if any keeper reports it: keepers that have just started or are cut off
        report only few entries.
        """
        keeper.handle_fleet(message)
        self._entry_count = max(self._entry_count, len(keeper.fleet.entries))
        self._follow()
        reported = {item.address: item.fleet for item in self._keepers.values() if item.fleet}
        keepers = [
            fleet.Process(name=address, hall=keeper_fleet.hall, address=address)
            for address, keeper_fleet in reported.items()
        ]
        entries: dict[str, fleet.Process] = {}
        for keeper_fleet in reported.values():
            entries.update(keeper_fleet.entries)
        merged = fleet.Fleet(keepers=tuple(keepers), entries=tuple(entries.values()))
        self._listener.on_fleet(merged)

    def _handle_evacuated_halls(self, keeper: followed_keeper.FollowedKeeper) -> None:
        """Pass on the evacuated halls that a keeper reports, if their revision is newer."""
        reported = keeper.evacuated
        if reported is None or reported.revision <= self.evacuation_revision:
            return
        if not reported.is_confirmed and not self._accepts_unconfirmed:
            return
        fields = {
            "address": keeper.address,
            "revision": reported.revision,
            "before": self.evacuation_revision,
            "is_confirmed": reported.is_confirmed,
            "halls": reported.halls,
        }
        logger.info("evacuated halls are known", extra={"fields": fields})
        self.evacuation_revision = reported.revision
        self._listener.on_evacuations(frozenset(reported.halls))

    def _fetch(self, keeper: followed_keeper.FollowedKeeper) -> None:
        if not keeper.is_confirmed and not self._accepts_unconfirmed:
            return
        now_s = clocks.get_s()
        known_version = max(self.version, self._unusable_version)
        if keeper.version <= known_version or now_s - keeper.fetch_sent_s < FETCH_RETRY_INTERVAL_S:
            return
        if self._is_fetch_pending(keeper.version, now_s):
            return
        keeper.fetch_sent_s = now_s
        keeper.client.send(route_messages.GetRouteTable(digest=self._digest))
        self._loop.scheduler.call_later(PENDING_FETCH_TTL_S, self._fetch_from_any)

    def _fetch_from_any(self) -> None:
        """Request a table that has not arrived yet; the least recently asked keeper comes first."""
        for keeper in sorted(self._keepers.values(), key=lambda item: item.fetch_sent_s):
            if keeper.client.is_ready:
                self._fetch(keeper)

    def _is_fetch_pending(self, version: int, now_s: float) -> bool:
        """Return whether a version or a newer one was recently requested from a keeper."""
        return any(
            keeper.version >= version and now_s - keeper.fetch_sent_s < PENDING_FETCH_TTL_S
            for keeper in self._keepers.values()
            if keeper.client.is_ready
        )

    def _handle_table(
        self, keeper: followed_keeper.FollowedKeeper, message: route_messages.RouteTableDocument
    ) -> None:
        keeper.fetch_sent_s = 0.0
        if message.version > self.version:
            try:
                document = self._unpack(message)
            except ValueError as error:
                # The next check requests the complete table.
                logger.error("table of %s: %s", keeper.address, error)
                self._digest = 0
                return
            fields = {
                "address": keeper.address,
                "version": message.version,
                "is_whole": not message.base_digest,
            }
            logger.info("table comes from a keeper", extra={"fields": fields})
            if not self._apply_table(message.version, document):
                return
        self._fetch(keeper)

    def _apply_table(self, version: int, document: bytes) -> bool:
        """Pass on a table, and record its version only once it is in force.

        If the version were recorded first, an exception in the owner would leave the older table
        in force until the next change. Instead, the next check requests the table again.

        :returns: whether the table is in force.
        """
        try:
            is_in_force = self._listener.on_table(version, document)
        except Exception:
            fields = {"version": version}
            logger.exception("table could not be put in force", extra={"fields": fields})
            return False
        if not is_in_force:
            self._unusable_version = version
            return False
        self.version = version
        self._document = document
        self._digest = document_delta.get_digest(document)
        return True

    def _unpack(self, message: route_messages.RouteTableDocument) -> bytes:
        data = deflate.unpack(message.packed)
        if not message.base_digest:
            return data
        return document_delta.apply(self._document, data)

    def _handle_instance_list(
        self, keeper: followed_keeper.FollowedKeeper, message: route_messages.InstanceList
    ) -> None:
        now_s = clocks.get_s()
        other_lists = [item.listed for item in self._keepers.values() if item is not keeper]
        keeper.apply_list(message, [listed for listed in other_lists if listed is not None])
        is_stale = now_s - self._list_received_s > self._config.instance_list.fallback_ms / 1000
        if keeper.listed is None or (message.reader_term < self._reader_term and not is_stale):
            return
        self._reader_term = message.reader_term
        self._list_received_s = now_s
        if self._reads_directly:
            self._reads_directly = False
            logger.info("instance list comes from a keeper again")
        self._listener.on_instances(list(keeper.listed.values()))

    def _handle_direct_reading(self, listed: list[instances.Instance]) -> None:
        self._listener.on_instances(listed)

    def _follow(self) -> None:
        addresses = set(self._config.keepers)
        for keeper in self._keepers.values():
            if keeper.fleet is not None and keeper.client.is_ready:
                addresses.update(keeper.fleet.keepers)
        for address in addresses - set(self._keepers):
            self._keepers[address] = followed_keeper.FollowedKeeper(self, address)
        for address in set(self._keepers) - addresses:
            keeper = self._keepers.pop(address)
            keeper.client.close()

    def _check(self) -> None:
        self._fetch_from_any()
        age_s = clocks.get_s() - self._list_received_s
        if age_s < self._config.instance_list.fallback_ms / 1000:
            return
        if not self._reads_directly:
            self._reads_directly = True
            fields = {"age_ms": int(age_s * 1000)}
            logger.warning("instance list is read directly", extra={"fields": fields})
        if clocks.get_s() - self._last_read_s >= MIN_READ_INTERVAL_PER_ENTRY_S * self._entry_count:
            self._last_read_s = clocks.get_s()
            self._reader.read()
