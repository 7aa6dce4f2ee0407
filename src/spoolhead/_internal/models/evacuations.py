"""Which halls operators have evacuated: orders, and the state that they lead to.

The state is replicated. Orders carry no number of the operator's, so each one names the revision of
its hall that the keeper which took it knew. One that was overtaken by another order for the same
hall then changes nothing, however late it comes.
"""

import dataclasses

import msgpack

MAX_HALL_NAME_LENGTH = 128
"""Bound on the name of a hall, in characters; those in use have a dozen."""


def is_hall_name(text: str) -> bool:
    """Tell whether a text can name a hall."""
    return 0 < len(text) <= MAX_HALL_NAME_LENGTH and text.isprintable() and "/" not in text


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class HallOrder:
    """An order on one hall.

    :ivar hall: the hall.
    :ivar is_evacuated: nothing more is to be sent to its instances.
    :ivar base_revision: revision of the hall that this order is to follow.
    :ivar order_id: unlike that of any other order.
    """

    hall: str
    is_evacuated: bool
    base_revision: int
    order_id: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class HallState:
    """What holds for a hall that was ever ordered on.

    :ivar is_evacuated: nothing more is to be sent to its instances.
    :ivar revision: revision at which its last order was carried out.
    """

    is_evacuated: bool
    revision: int


class Evacuations:
    """What holds for all halls.

    :ivar revision: number of orders that were carried out.
    """

    __slots__ = ("_halls", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self._halls: dict[str, HallState] = {}

    @property
    def evacuated_halls(self) -> frozenset[str]:
        """Halls that are evacuated."""
        return frozenset(name for name, state in self._halls.items() if state.is_evacuated)

    def get_revision(self, hall: str) -> int:
        """Return the revision of a hall; 0 before its first order."""
        state = self._halls.get(hall)
        return state.revision if state is not None else 0

    def is_evacuated(self, hall: str) -> bool:
        """Tell whether a hall is evacuated."""
        state = self._halls.get(hall)
        return state is not None and state.is_evacuated

    def carry_out(self, order: HallOrder) -> bool:
        """Carry out an order, unless another one for the hall came in between.

        An order that wants what holds already raises the revision too, so that an older one
        which is still on its way comes to nothing.

        :returns: whether what the order wants holds now.
        """
        if order.base_revision == self.get_revision(order.hall):
            self.revision += 1
            self._halls[order.hall] = HallState(
                is_evacuated=order.is_evacuated, revision=self.revision
            )
        return self.is_evacuated(order.hall) is order.is_evacuated

    def pack(self) -> list[object]:
        """Return the form on disk and in messages."""
        halls = [[name, item.is_evacuated, item.revision] for name, item in self._halls.items()]
        return [self.revision, sorted(halls)]

    def restore(self, values: list) -> None:
        """Take over what :meth:`pack` returned."""
        self.revision, halls = values
        self._halls = {
            name: HallState(is_evacuated=is_evacuated, revision=revision)
            for name, is_evacuated, revision in halls
        }


def pack_order(order: HallOrder) -> bytes:
    """Return the log's form of an order."""
    return msgpack.packb([order.hall, order.is_evacuated, order.base_revision, order.order_id])


def unpack_order(values: list) -> HallOrder:
    """Read the log's form of an order, unpacked."""
    hall, is_evacuated, base_revision, order_id = values
    return HallOrder(
        hall=hall, is_evacuated=is_evacuated, base_revision=base_revision, order_id=order_id
    )
