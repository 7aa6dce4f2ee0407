"""What the keepers agree on: the route table and the evacuated halls; no I/O."""

import collections

import msgpack

from spoolhead._internal.models import evacuations
from spoolhead._internal.quorum import table_register

MAX_OUTCOMES = 256
"""Orders on halls whose outcome is remembered for whoever waits for it; an operator has eight under
way at most."""
_TABLE_FIELD_COUNT = 2
"""Fields of a table in the log; an order on a hall has more, so logs tell the two apart."""


class ReplicatedState:
    """Carries out what was committed.

    :ivar table: the route table.
    :ivar evacuations: what holds for halls.
    """

    def __init__(self) -> None:
        self.table = table_register.TableRegister()
        self.evacuations = evacuations.Evacuations()
        self._outcomes: collections.OrderedDict[str, bool] = collections.OrderedDict()

    def apply(self, data: bytes) -> None:
        """Carry out a committed change."""
        values = msgpack.unpackb(data)
        if len(values) == _TABLE_FIELD_COUNT:
            self.table.apply(data)
        else:
            self._apply_order(evacuations.unpack_order(values))

    def get_outcome(self, order_id: str) -> bool | None:
        """Return whether what an order wanted held after it; None if it was not seen here."""
        return self._outcomes.get(order_id)

    def dump(self) -> bytes:
        """Return the whole state."""
        return msgpack.packb([self.table.version, self.table.document, self.evacuations.pack()])

    def load(self, state: bytes) -> None:
        """Take over a state that includes everything committed so far.

        One that was written before halls could be evacuated holds the table alone.
        """
        version, document, *rest = msgpack.unpackb(state)
        self.table.load(table_register.pack_change(version, document))
        if rest:
            self.evacuations.restore(rest[0])

    def _apply_order(self, order: evacuations.HallOrder) -> None:
        holds = self.evacuations.carry_out(order)
        # An order may be put to two leaders; what became of it first counts.
        self._outcomes.setdefault(order.order_id, holds)
        while len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)
