"""Copies the memory of one run to another instance, and stops the run to go on there.

A copy is made while the run goes on and can be brought up to date at little cost. Stopping the
run copies only what is new, so that the caller's stream stands still for a few milliseconds
and not for the time that the whole memory takes. A copy that is there serves also when the
source dies: the target then reads only what the copy lacks.
"""

import enum
from typing import Protocol

from spoolhead._internal.models import dialects
from spoolhead._internal.network import upstream_calls

_OK = 200
UNREACHABLE = 0
"""Status of an order that got no answer."""


class Step(enum.Enum):
    """What a move is doing."""

    COPYING = "copying"
    COPIED = "copied"
    STOPPING = "stopping"
    STOPPED = "stopped"
    FAILED = "failed"


class MoveUser(Protocol):
    """What the owner of a move is told."""

    def on_copied(self, move: "RunMove") -> None:
        """The target holds a copy."""

    def on_stopped(self, move: "RunMove") -> None:
        """The run was stopped and can go on at the target."""

    def on_move_failed(self, move: "RunMove") -> None:
        """The last order came to nothing."""


class RunMove:
    """One move.

    :param request_id: id of the request that runs.
    :param source_address: ``IP:PORT`` where it runs.
    :param target_address: ``IP:PORT`` of the other instance.
    :param calls: makes HTTP requests.
    :param dialect: how instances speak.
    :param user: is told of it.
    :ivar step: what it is doing.
    :ivar failed_step: what it was doing when it failed.
    :ivar status: HTTP status of the last answer; :data:`UNREACHABLE` if none came.
    :ivar handle: handle of the copy; empty for none.
    """

    def __init__(
        self,
        *,
        request_id: str,
        source_address: str,
        target_address: str,
        calls: upstream_calls.UpstreamCalls,
        dialect: dialects.EntryDialect,
        user: MoveUser,
    ) -> None:
        self.request_id = request_id
        self.source_address = source_address
        self.target_address = target_address
        self.step = Step.COPIED
        self.failed_step = Step.COPYING
        self.status = UNREACHABLE
        self.handle = ""
        self._calls = calls
        self._dialect = dialect
        self._user = user
        self._call: upstream_calls.UpstreamCall | None = None
        self._body: list[bytes] = []

    @property
    def is_busy(self) -> bool:
        """Whether an order is under way."""
        return self.step in (Step.COPYING, Step.STOPPING)

    def copy(self) -> None:
        """Make the copy, or bring it up to date."""
        self._send(Step.COPYING)

    def stop(self) -> None:
        """Stop the run, to go on at the target."""
        self._send(Step.STOPPING)

    def abandon(self, *, must_free: bool) -> None:
        """Stop caring.

        :param must_free: the copy will not be used, so its memory is given back.
        """
        if self._call is not None and not self._call.is_over:
            self._call.cancel()
        self.step = Step.FAILED
        if self.handle and must_free:
            order = self._dialect.write_release(self.handle)
            _send_order(self._calls, self.source_address, order, _Forgotten())

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
        if self.status != _OK:
            self._fail()
        elif self.step is Step.COPYING:
            self.step = Step.COPIED
            self._user.on_copied(self)
        else:
            self.step = Step.STOPPED
            self._user.on_stopped(self)

    def on_call_lost(self, reason: str) -> None:
        """Take the loss of the connection."""
        del reason
        self.status = UNREACHABLE
        self._fail()

    def _fail(self) -> None:
        self.failed_step, self.step = self.step, Step.FAILED
        self._user.on_move_failed(self)

    def _send(self, step: Step) -> None:
        self.step = step
        self._body = []
        order = self._dialect.write_move(
            dialects.MoveOrder(
                request_id=self.request_id,
                target_address=self.target_address,
                is_last=step is Step.STOPPING,
            )
        )
        self._call = _send_order(self._calls, self.source_address, order, self)


class _Forgotten:
    """Takes an answer that nobody waits for."""

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        pass

    def on_answer_body(self, data: bytes) -> None:
        pass

    def on_answer_end(self) -> None:
        pass

    def on_call_lost(self, reason: str) -> None:
        pass


def _send_order(
    calls: upstream_calls.UpstreamCalls,
    address: str,
    order: dialects.UpstreamOrder,
    user: upstream_calls.CallUser,
) -> upstream_calls.UpstreamCall:
    headers = [("content-type", "application/json")] if order.body else []
    request = upstream_calls.make_request(order.method, order.target, address, headers, order.body)
    return calls.open(address, request, user, fresh=True)
