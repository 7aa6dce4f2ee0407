"""Has the memory of one run copied from its instance to another.

The copy is made while the run goes on and can be brought up to date at little cost. The run
can go on from it at the other instance, which then reads only what the copy lacks, whether the
first instance still lives or not.
"""

from typing import Protocol

from spoolhead._internal.models import dialects
from spoolhead._internal.network import upstream_calls
from spoolhead._internal.policy import upstream_registry

_OK = 200
NO_ANSWER_STATUS = 0
"""Status of an order that got no answer."""


class CopyOwner(Protocol):
    """What the owner of a move is told."""

    def on_copied(self, move: "MemoryCopy") -> None:
        """The target holds a copy."""

    def on_copy_failed(self, move: "MemoryCopy") -> None:
        """The last order came to nothing."""


class MemoryCopy:
    """One move.

    :param request_id: id of the request that runs.
    :param source: instance where it runs.
    :param target_address: ``IP:PORT`` of the other instance.
    :param calls: makes HTTP requests.
    :param dialect: how instances speak.
    :param user: is told of it.
    :ivar status: HTTP status of the last answer; :data:`NO_ANSWER_STATUS` if none came.
    :ivar handle: handle of the copy; empty for none.
    """

    def __init__(
        self,
        *,
        request_id: str,
        source: upstream_registry.Upstream,
        target_address: str,
        calls: upstream_calls.UpstreamCalls,
        dialect: dialects.EntryDialect,
        user: CopyOwner,
    ) -> None:
        self.request_id = request_id
        self.source_address = source.instance.address
        self._source = source
        self.target_address = target_address
        self.status = NO_ANSWER_STATUS
        self.handle = ""
        self._calls = calls
        self._dialect = dialect
        self._user = user
        self._call: upstream_calls.UpstreamCall | None = None
        self._must_free = False
        self._body: list[bytes] = []

    def copy(self) -> None:
        """Make the copy, or bring it up to date."""
        self._body = []
        order = self._dialect.write_move(
            dialects.MoveOrder(request_id=self.request_id, target_address=self.target_address)
        )
        self._call = _send_order(self._calls, self.source_address, order, self)

    def abandon(self, *, must_free: bool) -> None:
        """Stop caring.

        An order under way takes memory at the target from its beginning, and only the handle in
        its answer can give that back. So the answer is waited for, unless the copy is used.

        :param must_free: the copy will not be used, so its memory is given back.
        """
        is_waiting = self._call is not None and not self._call.is_over
        if not must_free:
            if self._call is not None and is_waiting:
                self._call.cancel()
        elif is_waiting:
            self._must_free = True
        else:
            self._free()

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        """Take the head of an answer."""
        del headers
        self.status = status

    def on_answer_body(self, data: bytes) -> None:
        """Take a part of an answer."""
        self._body.append(data)

    def on_answer_end(self) -> None:
        """Take the end of an answer."""
        answer = self._dialect.read_move(self.status, b"".join(self._body))
        self.handle = answer.handle or self.handle
        if self._must_free:
            self._free()
            return
        if self.status != _OK:
            self._user.on_copy_failed(self)
            return
        self._user.on_copied(self)

    def on_call_lost(self, reason: str) -> None:
        """Take the loss of the connection."""
        del reason
        self.status = NO_ANSWER_STATUS
        if not self._must_free:
            self._user.on_copy_failed(self)

    def _free(self) -> None:
        if not self.handle or self._source.has_restarted:
            # What is at its address now knows nothing of the handle, or has given it to another.
            return
        order = self._dialect.write_release(self.handle)
        _send_order(self._calls, self.source_address, order, upstream_calls.DiscardedAnswer())


def _send_order(
    calls: upstream_calls.UpstreamCalls,
    address: str,
    order: dialects.UpstreamOrder,
    user: upstream_calls.CallUser,
) -> upstream_calls.UpstreamCall:
    headers = [("content-type", "application/json")] if order.body else []
    request = upstream_calls.make_request(order.method, order.target, address, headers, order.body)
    return calls.open(address, request, user, fresh=True)
