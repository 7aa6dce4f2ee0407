"""Messages between the keepers that agree and the entries that follow them.

:mod:`~spoolhead._internal.network.messages` puts them on the wire.
"""

import dataclasses


def _message(cls: type) -> type:
    return dataclasses.dataclass(slots=True, kw_only=True)(cls)


@_message
class Subscribe:
    """An entry asks a keeper for the route table, the instances and the fleet's processes.

    :ivar hall: hall of the entry.
    :ivar address: ``IP:PORT`` where the entry takes other entries' loads.
    """

    hall: str
    address: str


@_message
class Fleet:
    """Processes of the fleet that a keeper knows.

    :ivar hall: hall of the keeper itself.
    :ivar keepers: ``IP:PORT`` of each keeper.
    :ivar is_whole: the entries are all that are connected; otherwise they are what changed since
        the message before on the same stream.
    :ivar entries: for each connected entry that is told, its name, hall and address.
    :ivar gone: names of entries that are no longer connected.
    """

    hall: str
    keepers: list
    is_whole: bool
    entries: list
    gone: list


@_message
class RouteTableVersion:
    """Version of the newest route table that a keeper knows to be committed.

    :ivar version: that version; 0 for none.
    :ivar is_confirmed: a leader has told since the keeper's start that there was none newer;
        otherwise it is what the keeper's disk held, and may be old.
    """

    version: int
    is_confirmed: bool


@_message
class EvacuatedHalls:
    """Which halls operators have evacuated, as far as a keeper knows; sent before the version of
    the table.

    :ivar revision: number of orders that led there.
    :ivar halls: the halls.
    :ivar is_confirmed: as for the version of the route table.
    """

    revision: int
    halls: list
    is_confirmed: bool


@_message
class GetRouteTable:
    """An entry asks for the newest committed route table.

    :ivar digest: digest of the document that it has; 0 for none.
    """

    digest: int = 0


@_message
class RouteTableDocument:
    """A committed route table.

    :ivar version: its version.
    :ivar packed: its bytes, as the operator sent them, packed by
        :mod:`spoolhead._internal.utils.deflate`; or a packed difference.
    :ivar base_digest: digest of the document that the difference is to; 0 for the whole.
    """

    version: int
    packed: bytes
    base_digest: int = 0


@_message
class InstanceList:
    """Upstream instances as the platform lists them.

    :ivar reader_term: term of the keeper that read the list; a later reader's list wins.
    :ivar sequence: number of the reading.
    :ivar is_whole: what changed is all that is listed; otherwise it is what changed since the
        message before on the same stream.
    :ivar changed: packed instances that are new or listed otherwise than before.
    :ivar gone: ids of instances that are no longer listed.
    """

    reader_term: int
    sequence: int
    is_whole: bool
    changed: list
    gone: list


@_message
class ForwardTable:
    """A keeper passes an operator's route table on to the leading keeper.

    :ivar version: version of the table.
    :ivar document: its bytes.
    """

    version: int
    document: bytes


@_message
class ForwardHallOrder:
    """A keeper passes an operator's order on a hall on to the leading keeper.

    :ivar order: the order as the log holds it.
    """

    order: bytes


@_message
class ConfirmRead:
    """A keeper asks the leading keeper which version must be shown by a read that begins now.

    :ivar request: number of the question.
    """

    request: int


@_message
class KeeperAnswer:
    """Answer of the leading keeper to another one.

    :ivar request: number of the question.
    :ivar is_sure: the table is committed, or the version is confirmed.
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
"""Tags of the messages on the wire."""
