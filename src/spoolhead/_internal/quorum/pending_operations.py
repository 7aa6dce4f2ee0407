"""Operators' orders and reads that wait for the leading keeper."""

import itertools
import logging
import secrets
from collections.abc import Callable

from spoolhead._internal.models import evacuations, settings
from spoolhead._internal.network import peer_server, route_messages, scheduler
from spoolhead._internal.quorum import member, mesh
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.02
"""Interval between checks of pending operations; a round trip between halls takes a few
milliseconds."""
RETRY_INTERVAL_S = 0.3
"""Time after which an operation is sent to the leader again: a few times the longest round trip."""

ORDER_ID_BYTES = 8
"""Random bytes in an order id; two ids collide once in 10^19 pairs."""
HALL_ORDER_TIMEOUT_S = 0.9
"""Time for which an order on a hall is sent to leaders. It is below the second after which an
operator turns to another keeper, so that an order that the operator has given up does not take
effect later. A stable group answers within about 10 ms; an election takes half a second to a
second."""

AnswerCallback = Callable[[bool], None]


class _TableOrder:
    """A table that waits to be committed.

    :ivar deadline_s: monotonic time at which the order fails, in seconds.
    :ivar sent_s: monotonic time at which it was last proposed or sent to the leader.
    """

    __slots__ = ("answer", "sent_s", "document", "deadline_s", "version")

    def __init__(
        self, version: int, document: bytes, answer: AnswerCallback, deadline_s: float
    ) -> None:
        self.version = version
        self.document = document
        self.answer = answer
        self.deadline_s = deadline_s
        self.sent_s = 0.0


class _HallOrder:
    """An order on a hall that waits to be committed."""

    __slots__ = ("answer", "sent_s", "order", "deadline_s")

    def __init__(
        self, order: evacuations.HallOrder, answer: AnswerCallback, deadline_s: float
    ) -> None:
        self.order = order
        self.answer = answer
        self.deadline_s = deadline_s
        self.sent_s = 0.0


class _Read:
    """A read that waits until this keeper is known to have the newest version.

    :ivar round_number: if this keeper is the leader, number of the broadcast that must be answered;
        None before it started.
    :ivar version: version that the leader has confirmed; None before its reply.
    """

    __slots__ = ("answer", "sent_s", "request", "round_number", "deadline_s", "version")

    def __init__(self, request: int, answer: AnswerCallback, deadline_s: float) -> None:
        self.request = request
        self.answer = answer
        self.deadline_s = deadline_s
        self.sent_s = 0.0
        self.round_number: int | None = None
        self.version: int | None = None


class PendingOperations:
    """Pending orders and reads of one keeper.

    A table order is complete once its version or a higher version is committed here, regardless of
    which keeper proposed it. So it can be sent to several leaders without harm.

    :param timers: scheduler for periodic checks.
    :param peers: streams to other keepers.
    :param own_member: this keeper's part in the consensus.
    :param config: the keeper's settings.
    """

    def __init__(
        self,
        timers: scheduler.Scheduler,
        peers: mesh.Mesh,
        own_member: member.Member,
        config: settings.QuorumKeeperSettings,
    ) -> None:
        self._peers = peers
        self._member = own_member
        self._answer_timeout_s = config.answer_ms / 1000
        self._request_numbers = itertools.count(1)
        self._table_orders: list[_TableOrder] = []
        self._hall_orders: list[_HallOrder] = []
        self._reads: list[_Read] = []
        timers.call_every(CHECK_INTERVAL_S, self._check)

    @property
    def open_count(self) -> int:
        """Number of orders and reads without an answer."""
        return len(self._table_orders) + len(self._hall_orders) + len(self._reads)

    def put_table(self, version: int, document: bytes, answer: AnswerCallback) -> None:
        """Have a table committed.

        :param answer: called with True once this or a higher version is committed, or with False on
            a timeout.
        """
        order = _TableOrder(version, document, answer, clocks.get_s() + self._answer_timeout_s)
        self._table_orders.append(order)
        self._check()

    def put_hall_order(self, hall: str, is_evacuated: bool, answer: AnswerCallback) -> None:
        """Have an order on a hall committed.

        :param answer: called with whether the order had taken effect when it was committed; with
            False on a timeout.
        """
        order = evacuations.HallOrder(
            hall=hall,
            is_evacuated=is_evacuated,
            base_revision=self._member.state.evacuations.get_revision(hall),
            order_id=secrets.token_hex(ORDER_ID_BYTES),
        )
        pending = _HallOrder(order, answer, clocks.get_s() + HALL_ORDER_TIMEOUT_S)
        self._hall_orders.append(pending)
        self._check()

    def confirm_read(self, answer: AnswerCallback) -> None:
        """Confirm that this keeper has the newest committed version.

        :param answer: called with True once this is confirmed, or with False on a timeout.
        """
        read = _Read(next(self._request_numbers), answer, clocks.get_s() + self._answer_timeout_s)
        self._reads.append(read)
        self._check()

    def on_change(self) -> None:
        """Answer the operations that waited for the state committed now."""
        self._check()

    def handle_forwarded_table(
        self, session: peer_server.PeerSession, message: route_messages.ForwardTable
    ) -> None:
        """Propose a table that another keeper has forwarded."""
        if self._member.is_leader and message.version > self._member.register.version:
            self._member.propose(message.version, message.document)

    def handle_forwarded_hall_order(self, message: route_messages.ForwardHallOrder) -> None:
        """Propose an order on a hall that another keeper has forwarded."""
        if self._member.is_leader:
            self._member.propose_hall_order(message.order)

    def handle_confirm_read(
        self, session: peer_server.PeerSession, message: route_messages.ConfirmRead
    ) -> None:
        """Confirm the newest version to another keeper, if this one is the leader."""

        def _answer(is_sure: bool) -> None:
            session.send(
                route_messages.KeeperAnswer(
                    request=message.request,
                    is_sure=is_sure,
                    version=self._member.register.version,
                )
            )

        if self._member.is_leader:
            self.confirm_read(_answer)

    def handle_answer(self, message: route_messages.KeeperAnswer) -> None:
        """Handle the leader's confirmation of a read."""
        for read in self._reads:
            if read.request == message.request and message.is_sure:
                read.version = message.version
        self._check()

    def _check(self) -> None:
        now_s = clocks.get_s()
        for order in list(self._table_orders):
            self._check_table_order(order, now_s)
        for pending in list(self._hall_orders):
            self._check_hall_order(pending, now_s)
        for read in list(self._reads):
            self._check_read(read, now_s)

    def _check_table_order(self, order: _TableOrder, now_s: float) -> None:
        if order not in self._table_orders:
            return
        if self._member.register.version >= order.version:
            self._table_orders.remove(order)
            order.answer(True)
        elif now_s >= order.deadline_s:
            self._table_orders.remove(order)
            order.answer(False)
        elif now_s - order.sent_s >= RETRY_INTERVAL_S:
            self._propose_table_order(order, now_s)

    def _propose_table_order(self, order: _TableOrder, now_s: float) -> None:
        if self._member.is_leader:
            order.sent_s = now_s
            self._member.propose(order.version, order.document)
        elif self._member.leader_address:
            message = route_messages.ForwardTable(version=order.version, document=order.document)
            if self._peers.send(self._member.leader_address, message):
                order.sent_s = now_s

    def _check_hall_order(self, pending: _HallOrder, now_s: float) -> None:
        if pending not in self._hall_orders:
            return
        outcome = self._member.state.get_outcome(pending.order.order_id)
        if outcome is not None or now_s >= pending.deadline_s:
            self._hall_orders.remove(pending)
            pending.answer(bool(outcome))
        elif now_s - pending.sent_s >= RETRY_INTERVAL_S:
            self._propose_hall_order(pending, now_s)

    def _propose_hall_order(self, pending: _HallOrder, now_s: float) -> None:
        data = evacuations.pack_order(pending.order)
        if self._member.is_leader:
            pending.sent_s = now_s
            self._member.propose_hall_order(data)
        elif self._member.leader_address:
            message = route_messages.ForwardHallOrder(order=data)
            if self._peers.send(self._member.leader_address, message):
                pending.sent_s = now_s

    def _check_read(self, read: _Read, now_s: float) -> None:
        if read not in self._reads:
            return
        if self._is_confirmed(read):
            self._reads.remove(read)
            read.answer(True)
        elif now_s >= read.deadline_s:
            self._reads.remove(read)
            read.answer(False)
        elif now_s - read.sent_s >= RETRY_INTERVAL_S:
            self._request_confirmation(read, now_s)

    def _is_confirmed(self, read: _Read) -> bool:
        if read.version is not None:
            return self._member.register.version >= read.version
        return read.round_number is not None and self._member.is_confirmed(read.round_number)

    def _request_confirmation(self, read: _Read, now_s: float) -> None:
        if self._member.is_leader:
            read.round_number = self._member.begin_read()
            read.sent_s = now_s
        elif self._member.leader_address:
            read.round_number = None
            message = route_messages.ConfirmRead(request=read.request)
            if self._peers.send(self._member.leader_address, message):
                read.sent_s = now_s
