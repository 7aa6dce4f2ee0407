"""Keepers and entries of the fleet, as known to a process."""

import dataclasses

from spoolhead._internal.utils import endpoints


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Process:
    """A keeper or an entry.

    :ivar name: name of an entry; for a keeper, its address.
    :ivar hall: hall of the process.
    :ivar address: ``IP:PORT`` for streams and datagrams from other processes.
    """

    name: str
    hall: str
    address: str

    @property
    def endpoint(self) -> endpoints.Endpoint:
        """The address as a pair of host and port, for sockets."""
        return endpoints.split(self.address)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Fleet:
    """Processes that an entry knows.

    :ivar keepers: keepers that the entry is connected to.
    :ivar entries: entries that are connected to any of these keepers, including this one.
    """

    keepers: tuple[Process, ...] = ()
    entries: tuple[Process, ...] = ()
