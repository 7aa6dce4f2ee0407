"""Messages between the keepers of a quorum, and between keepers and the entries that follow them.

The messages are encoded by :mod:`~spoolhead._internal.network.messages`.
"""

import dataclasses


def _message(cls: type) -> type:
    return dataclasses.dataclass(slots=True, kw_only=True)(cls)


@_message
class Subscribe:
    """An entry subscribes to the route table, the instances and the processes of the fleet.

    :ivar hall: hall of the entry.
    :ivar address: ``IP:PORT`` where the entry receives the loads of other entries.
    """

    hall: str
    address: str


@_message
class Fleet:
    """Processes of the fleet that a keeper knows.

    :ivar hall: hall of the keeper.
    :ivar keepers: ``IP:PORT`` of each keeper.
    :ivar is_whole: ``entries`` lists all connected entries; otherwise it lists the changes since
        the previous message on the same stream.
    :ivar entries: for each listed entry its name, hall and address.
    :ivar gone: names of entries that have disconnected.
    """

    hall: str
    keepers: list
    is_whole: bool
    entries: list
    gone: list


@_message
class RouteTableVersion:
    """Version of the newest route table that a keeper knows to be committed.

    :ivar version: the version; 0 for none.
    :ivar is_confirmed: whether, since the keeper's start, a leader has confirmed that there was no
        newer version. If not, the version comes from the keeper's disk and may be outdated.
    """

    version: int
    is_confirmed: bool


@_message
class EvacuatedHalls:
    """Halls that operators have evacuated, as known to a keeper.

    Sent before the version of the table.

    :ivar revision: number of orders that were carried out.
    :ivar halls: names of the halls.
    :ivar is_confirmed: as in :class:`RouteTableVersion`.
    """

    revision: int
    halls: list
    is_confirmed: bool


@_message
class GetRouteTable:
    """An entry's request for the newest committed route table.

    :ivar digest: digest of the document that the entry has; 0 for none.
    """

    digest: int = 0


@_message
class RouteTableDocument:
    """A committed route table.

    :ivar version: version of the table.
    :ivar packed: the document as the operator sent it, or a delta to it, compressed by
        :mod:`spoolhead._internal.utils.deflate`.
    :ivar base_digest: digest of the document that the delta applies to; 0 for a whole document.
    """

    version: int
    packed: bytes
    base_digest: int = 0


@_message
class InstanceList:
    """Upstream instances as the platform lists them.

    :ivar reader_term: term of the keeper that read the list; the list with the higher term wins.
    :ivar sequence: number of the read; increases with each read.
    :ivar is_whole: ``changed`` holds all listed instances; otherwise it holds the changes since
        the previous message on the same stream.
    :ivar changed: packed instances that are new or different.
    :ivar gone: ids of instances that are no longer listed.
    """

    reader_term: int
    sequence: int
    is_whole: bool
    changed: list
    gone: list


@_message
class ForwardTable:
    """An operator's route table, forwarded to the leading keeper.

    :ivar version: version of the table.
    :ivar document: the table as the operator sent it.
    """

    version: int
    document: bytes


@_message
class ForwardHallOrder:
    """An operator's order on a hall, forwarded to the leading keeper.

    :ivar order: the order, encoded as in the log.
    """

    order: bytes


@_message
class ConfirmRead:
    """A keeper asks the leading keeper which version a read that begins now must return.

    :ivar request: number that the answer repeats.
    """

    request: int


@_message
class KeeperAnswer:
    """Answer of the leading keeper to another keeper.

    :ivar request: number of the question.
    :ivar is_sure: whether the table is committed or the version is confirmed.
    :ivar version: committed version.
    """

    request: int
    is_sure: bool
    version: int


CLASSES: dict[int, type] = {
    50: Subscribe,
    51: Fleet,
    52: RouteTableVersion,
    53: GetRouteTable,
    54: RouteTableDocument,
    55: InstanceList,
    56: ForwardTable,
    57: ConfirmRead,
    58: KeeperAnswer,
    70: EvacuatedHalls,
    71: ForwardHallOrder,
}
"""Message classes by their tags."""
