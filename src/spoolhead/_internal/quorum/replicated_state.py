"""The state that keepers replicate; performs no I/O.

It consists of the route table, the evacuated halls and the outcomes of the latest orders on halls.
"""

import collections

import msgpack

from spoolhead._internal.models import evacuations
from spoolhead._internal.quorum import table_register

MAX_OUTCOMES = 256
"""Number of orders on halls whose outcome is remembered for the operations that wait for it. An
operator has at most eight orders in progress."""
_TABLE_FIELD_COUNT = 2
"""Number of fields of a table in the log. An order on a hall has more fields, which distinguishes
the two kinds of change."""


class ReplicatedState:
    """Applies committed changes.

    :ivar table: the route table.
    :ivar evacuations: the evacuation state of halls.
    """

    def __init__(self) -> None:
        self.table = table_register.TableRegister()
        self.evacuations = evacuations.Evacuations()
        self._outcomes: collections.OrderedDict[str, bool] = collections.OrderedDict()

    def apply(self, data: bytes) -> None:
        """Apply a committed change."""
        values = msgpack.unpackb(data)
        if len(values) == _TABLE_FIELD_COUNT:
            self.table.apply(data)
        else:
            self._apply_order(evacuations.unpack_order(values))

    def get_outcome(self, order_id: str) -> bool | None:
        """Return whether an order took effect; None if its outcome is not known here."""
        return self._outcomes.get(order_id)

    def dump(self) -> bytes:
        """Return the serialized state."""
        outcomes = list(self._outcomes.items())
        return msgpack.packb(
            [self.table.version, self.table.document, self.evacuations.pack(), outcomes]
        )

    def load(self, state: bytes) -> None:
        """Replace the state by a snapshot that includes everything committed so far.

        Snapshots of earlier versions lack the outcomes, or contain only the table.
        """
        version, document, *rest = msgpack.unpackb(state)
        self.table.load(table_register.pack_change(version, document))
        if rest:
            self.evacuations.restore(rest[0])
        if len(rest) > 1:
            self._outcomes = collections.OrderedDict(rest[1])

    def _apply_order(self, order: evacuations.HallOrder) -> None:
        has_taken_effect = self.evacuations.apply(order)
        # An order may be sent to two leaders and committed twice; its first outcome counts.
        self._outcomes.setdefault(order.order_id, has_taken_effect)
        while len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)
