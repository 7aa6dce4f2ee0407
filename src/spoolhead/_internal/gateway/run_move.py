"""Moves the memory of one run from an instance to another, in two steps.

The first step copies while the run goes on. The second stops the run and copies only what is
new, so that the caller's stream stands still for a few milliseconds and not for the time that
the whole memory takes.
"""

import enum
from typing import Protocol

from spoolhead._internal.models import dialects
from spoolhead._internal.network import upstream_calls

_OK = 200
_UNREACHABLE = 0


class Step(enum.Enum):
    """Where a move stands."""

    COPY = "copy"
    STOP = "stop"
    DONE = "done"
    FAILED = "failed"


class MoveUser(Protocol):
    """What the owner of a move is told."""

    def on_move_stopping(self, move: "RunMove") -> None:
        """The run is about to be stopped; its stream will end without its end."""

    def on_move_done(self, move: "RunMove") -> None:
        """The run can go on at the target."""

    def on_move_failed(self, move: "RunMove") -> None:
        """The move came to nothing; in step ``STOP`` the run may have been stopped."""


class RunMove:
    """One move.

    :param request_id: id of the request that runs.
    :param source_address: ``IP:PORT`` where it runs.
    :param target_address: ``IP:PORT`` where it shall go on.
    :param calls: makes HTTP requests.
    :param dialect: how instances speak.
    :param user: is told of it.
    :ivar step: where it stands.
    :ivar failed_step: step in which it failed.
    :ivar status: HTTP status of the last answer; 0 if none came.
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
        self.step = Step.COPY
        self.failed_step = Step.COPY
        self.status = _UNREACHABLE
        self.handle = ""
        self._calls = calls
        self._dialect = dialect
        self._user = user
        self._call: upstream_calls.UpstreamCall | None = None
        self._body: list[bytes] = []
        self._send()

    def cancel(self) -> None:
        """Stop caring; a copy that was made is freed."""
        if self._call is not None and not self._call.is_over:
            self._call.cancel()
        if self.handle and self.step is not Step.DONE:
            free_copy(self._calls, self._dialect, self.source_address, self.handle)
        if self.step is not Step.DONE:
            self.step = Step.FAILED

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
        elif self.step is Step.COPY:
            self.step = Step.STOP
            self._user.on_move_stopping(self)
            self._send()
        else:
            self.step = Step.DONE
            self._user.on_move_done(self)

    def on_call_lost(self, reason: str) -> None:
        """Take the loss of the connection."""
        del reason
        self.status = _UNREACHABLE
        self._fail()

    def _fail(self) -> None:
        self.failed_step, self.step = self.step, Step.FAILED
        self._user.on_move_failed(self)

    def _send(self) -> None:
        self._body = []
        order = self._dialect.write_move(
            dialects.MoveOrder(
                request_id=self.request_id,
                target_address=self.target_address,
                is_last=self.step is Step.STOP,
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


def free_copy(
    calls: upstream_calls.UpstreamCalls,
    dialect: dialects.EntryDialect,
    address: str,
    handle: str,
) -> None:
    """Free the copy of a run's memory that will not be used."""
    _send_order(calls, address, dialect.write_release(handle), _Forgotten())


def _send_order(
    calls: upstream_calls.UpstreamCalls,
    address: str,
    order: dialects.UpstreamOrder,
    user: upstream_calls.CallUser,
) -> upstream_calls.UpstreamCall:
    headers = [("content-type", "application/json")] if order.body else []
    request = upstream_calls.make_request(order.method, order.target, address, headers, order.body)
    return calls.open(address, request, user, fresh=True)
