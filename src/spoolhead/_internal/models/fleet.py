"""Processes of the fleet, as they know of one another."""

import dataclasses


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
    def endpoint(self) -> tuple[str, int]:
        """The address as sockets take it."""
        host, _, port = self.address.rpartition(":")
        return host, int(port)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Fleet:
    """The processes that an entry has heard of.

    :ivar keepers: keepers that it is connected with.
    :ivar entries: entries that any of those is connected with, this one among them.
    """

    keepers: tuple[Process, ...] = ()
    entries: tuple[Process, ...] = ()
