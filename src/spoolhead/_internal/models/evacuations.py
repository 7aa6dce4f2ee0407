"""Evacuated halls: operators' orders and the replicated state.

Operators do not number their orders. So the keeper that receives an order adds the hall's revision
as known to it. If another order for the same hall is carried out first, the revision no longer
matches, and the order has no effect when it is applied later.
"""

import dataclasses

import msgpack

MAX_HALL_NAME_LENGTH = 128
"""Maximum length of the name of a hall, in characters. Names in use have about a dozen."""


def is_hall_name(text: str) -> bool:
    """Return whether a text is a valid name of a hall."""
    return 0 < len(text) <= MAX_HALL_NAME_LENGTH and text.isprintable() and "/" not in text


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class HallOrder:
    """An order to evacuate a hall or to end its evacuation.

    :ivar hall: name of the hall.
    :ivar is_evacuated: True if no more requests are to be sent to its instances.
    :ivar base_revision: revision of the hall that the order applies to.
    :ivar order_id: unique id of the order.
    """

    hall: str
    is_evacuated: bool
    base_revision: int
    order_id: str


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class HallState:
    """State of a hall after its first order.

    :ivar is_evacuated: whether the hall is evacuated: no requests are sent to its instances.
    :ivar revision: revision at which the last order for the hall was carried out.
    """

    is_evacuated: bool
    revision: int


class Evacuations:
    """State of all halls.

    :ivar revision: number of orders that were carried out.
    """

    __slots__ = ("_halls", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self._halls: dict[str, HallState] = {}

    @property
    def evacuated_halls(self) -> frozenset[str]:
        """Names of the evacuated halls."""
        return frozenset(name for name, state in self._halls.items() if state.is_evacuated)

    def get_revision(self, hall: str) -> int:
        """Return the revision of a hall; 0 before its first order."""
        state = self._halls.get(hall)
        return state.revision if state is not None else 0

    def is_evacuated(self, hall: str) -> bool:
        """Return whether a hall is evacuated."""
        state = self._halls.get(hall)
        return state is not None and state.is_evacuated

    def apply(self, order: HallOrder) -> bool:
        """Carry out an order, unless another order for the hall was carried out before.

        An order that does not change the state also increases the revision, so that an older
        order that arrives later has no effect.

        :returns: whether the hall now has the state that the order asks for.
        """
        if order.base_revision == self.get_revision(order.hall):
            self.revision += 1
            self._halls[order.hall] = HallState(
                is_evacuated=order.is_evacuated, revision=self.revision
            )
        return self.is_evacuated(order.hall) is order.is_evacuated

    def pack(self) -> list[object]:
        """Return the encoding on disk and in messages."""
        halls = [[name, item.is_evacuated, item.revision] for name, item in self._halls.items()]
        return [self.revision, sorted(halls)]

    def restore(self, values: list) -> None:
        """Replace the state by the result of an earlier :meth:`pack`."""
        self.revision, halls = values
        self._halls = {
            name: HallState(is_evacuated=is_evacuated, revision=revision)
            for name, is_evacuated, revision in halls
        }


def pack_order(order: HallOrder) -> bytes:
    """Return the encoding of an order in the log."""
    return msgpack.packb([order.hall, order.is_evacuated, order.base_revision, order.order_id])


def unpack_order(values: list) -> HallOrder:
    """Return the order from the unpacked values of a log record."""
    hall, is_evacuated, base_revision, order_id = values
    return HallOrder(
        hall=hall, is_evacuated=is_evacuated, base_revision=base_revision, order_id=order_id
    )
