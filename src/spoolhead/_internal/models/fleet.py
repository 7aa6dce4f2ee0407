"""Processes of the fleet, as they know of one another."""

import dataclasses

from spoolhead._internal.utils import endpoints


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Process:
    """A keeper or an entry.

    :ivar name: its name; a keeper's address, as keepers are named by it.
    :ivar hall: hall it stands in.
    :ivar address: ``IP:PORT`` where it talks to other processes; datagrams go to the same port.
    """

    name: str
    hall: str
    address: str

    @property
    def endpoint(self) -> endpoints.Endpoint:
        """The address as sockets take it."""
        return endpoints.split(self.address)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Fleet:
    """The processes that an entry has heard of.

    :ivar keepers: keepers that it is connected with.
    :ivar entries: entries that any of those is connected with, this one among them.
    """

    keepers: tuple[Process, ...] = ()
    entries: tuple[Process, ...] = ()
