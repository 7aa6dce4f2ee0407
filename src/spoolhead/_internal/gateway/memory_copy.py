"""Orders the copy of one run's memory from its instance to another.

The copy is made while the run continues, and can be updated at little cost. The last order also
stops the run. It can then resume from the copy at the other instance, which processes only the
missing tokens. The source instance may have terminated by then.
"""

from typing import Protocol

from spoolhead._internal.gateway import copy_order
from spoolhead._internal.models import dialects
from spoolhead._internal.network import upstream_calls
from spoolhead._internal.policy import upstream_registry

_OK = 200
NO_ANSWER_STATUS = 0
"""Status of an order without an answer."""


class CopyOwner(Protocol):
    """The owner of a copy, which handles its events."""

    def on_copied(self, copy: "MemoryCopy") -> None:
        """Called when the target has stored the copy."""

    def on_copy_failed(self, copy: "MemoryCopy") -> None:
        """Called when the last order failed."""

    def on_stop_answered(self, copy: "MemoryCopy", *, has_handle: bool) -> None:
        """Called with the answer to an order to stop the run.

        :param has_handle: whether the answer names a copy.
        """

    def on_stop_lost(self, copy: "MemoryCopy", reason: str, *, may_have_arrived: bool) -> None:
        """Called when an order to stop the run got no answer.

        :param reason: how its connection ended.
        :param may_have_arrived: whether any byte of the order was written to the socket.
        """


class MemoryCopy:
    """One copy of a run's memory.

    :param request_id: id of the run's request.
    :param source: instance of the run.
    :param target_address: ``IP:PORT`` of the instance that receives the copy.
    :param calls: makes HTTP requests.
    :param dialect: adapter for the wire format of instances.
    :param owner: handles the events of the copy.
    :ivar status: HTTP status of the last answer; :data:`NO_ANSWER_STATUS` without one.
    :ivar handle: handle of the copy; empty without one.
    """

    def __init__(
        self,
        *,
        request_id: str,
        source: upstream_registry.Upstream,
        target_address: str,
        calls: upstream_calls.UpstreamCalls,
        dialect: dialects.EntryDialect,
        owner: CopyOwner,
    ) -> None:
        self.request_id = request_id
        self.source_address = source.instance.address
        self._source = source
        self.target_address = target_address
        self.status = NO_ANSWER_STATUS
        self.handle = ""
        self._calls = calls
        self._dialect = dialect
        self._owner = owner
        self._orders: list[copy_order.CopyOrder] = []
        self._must_release = False

    @property
    def is_pending(self) -> bool:
        """Whether an order waits for its answer."""
        return any(order.is_pending for order in self._orders)

    def start(self, *, stops_run: bool = False) -> upstream_calls.UpstreamCall:
        """Order the copy, or an update of it; return the call.

        Earlier orders without an answer stay open: the instance may still answer them.

        :param stops_run: whether the run must end at the source first.
        """
        order = copy_order.CopyOrder(self, self._dialect, stops_run=stops_run)
        encoded = self._dialect.write_copy_order(
            dialects.CopyOrder(
                request_id=self.request_id,
                target_address=self.target_address,
                stops_run=stops_run,
            )
        )
        order.call = _send_order(self._calls, self.source_address, encoded, order)
        self._orders.append(order)
        return order.call

    def release_unless_used(self, used_handle: str) -> None:
        """Release the copy that the last order made, unless the run has resumed from it."""
        if self.handle != used_handle:
            self._release()

    def finish_in_background(self) -> None:
        """Bound the time for which orders without an answer stay open."""
        for order in self._orders:
            if order.call is not None and order.is_pending:
                self._calls.finish_in_background(order.call)

    def close(self) -> None:
        """Release the memory of a copy that is not used; the owner receives no more calls.

        An order reserves memory at the target as soon as it begins, and the memory can be released
        only with the handle in the answer. The release therefore waits for it.
        """
        self._must_release = True
        self.finish_in_background()
        self._release_if_answered()

    def on_order_answered(self, order: copy_order.CopyOrder, answer: dialects.CopyAnswer) -> None:
        """Evaluate a complete answer and notify the owner."""
        self.status = answer.status
        self.handle = answer.handle or self.handle
        if self._must_release:
            self._release_if_answered()
        elif order.stops_run:
            self._owner.on_stop_answered(self, has_handle=bool(answer.handle))
        elif answer.status == _OK and answer.handle:
            self._owner.on_copied(self)
        else:
            # An answer that was cut short has no handle.
            self._owner.on_copy_failed(self)

    def on_order_lost(self, order: copy_order.CopyOrder, reason: str) -> None:
        """Handle the loss of the connection as a failed order."""
        self.status = NO_ANSWER_STATUS
        if self._must_release:
            self._release_if_answered()
        elif order.stops_run:
            arrived = order.call is not None and order.call.may_have_arrived
            self._owner.on_stop_lost(self, reason, may_have_arrived=arrived)
        else:
            self._owner.on_copy_failed(self)

    def _release_if_answered(self) -> None:
        if not self.is_pending:
            self._release()

    def _release(self) -> None:
        if not self.handle or self._source.has_restarted:
            # After a restart the handle is unknown or belongs to another copy.
            return
        order = self._dialect.write_release(self.handle)
        _send_order(self._calls, self.source_address, order, upstream_calls.DiscardedAnswer())


def _send_order(
    calls: upstream_calls.UpstreamCalls,
    address: str,
    order: dialects.UpstreamOrder,
    listener: upstream_calls.CallListener,
) -> upstream_calls.UpstreamCall:
    headers = [("content-type", "application/json")] if order.body else []
    request = upstream_calls.make_request(order.method, order.target, address, headers, order.body)
    return calls.open(address, request, listener, fresh=True)
