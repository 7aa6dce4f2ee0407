"""Requests room in the process's budget for the bodies of received requests."""

import logging
from collections.abc import Callable

from spoolhead._internal.network import request_reader
from spoolhead._internal.policy import body_budget
from spoolhead._internal.utils import clocks, heap

logger = logging.getLogger(__name__)

TRIM_BYTES = 8_000_000
"""Held bytes after which the heap is trimmed once they have been released."""

GetWaitMs = Callable[[request_reader.WireRequest], int | None]


class BodyAdmission:
    """Gives each request a lease on the room for its body.

    :param budget: the budget of the process.
    :param get_wait_ms: returns the time that a request has; None if it states none.
    :ivar budget: the budget of the process.
    """

    def __init__(self, budget: body_budget.BodyBudget, get_wait_ms: GetWaitMs) -> None:
        self.budget = budget
        self._get_wait_ms = get_wait_ms
        self._peak_bytes = 0

    def admit(
        self,
        wire: request_reader.WireRequest,
        size_bytes: int,
        on_decided: Callable[[], None],
    ) -> body_budget.State:
        """Request the room for a body, or adjust it to the size that the body turned out to have.

        :param size_bytes: size of the body, or its maximum while that is not known.
        :param on_decided: called later if the request has to wait.
        """
        now_s = clocks.get_s()
        lease = wire.body_lease
        if lease is not None and size_bytes <= lease.size_bytes:
            self.budget.resize(lease, size_bytes, now_s)
            return lease.state
        if lease is not None:
            self.budget.release(lease, now_s)
        owner = ""
        wait_ms = None
        if size_bytes > body_budget.SMALL_BYTES:
            owner = wire.get_header("authorization") or ""
            wait_ms = self._get_wait_ms(wire)
        lease = self.budget.request(owner, size_bytes, wait_ms=wait_ms, now_s=now_s)
        wire.body_lease = lease
        if lease.state is body_budget.State.WAITING:
            lease.on_decided = lambda: self._handle_decision(lease, on_decided)
            logger.info("body waits for memory", extra={"fields": self._get_fields(lease)})
        return lease.state

    def release(self, wire: request_reader.WireRequest) -> None:
        """Discard the body of a request and return its room."""
        wire.release_body(self.budget, clocks.get_s())

    def check_waiting(self) -> None:
        """Reject the requests that have waited too long; trim the heap after a load."""
        self.budget.expire(clocks.get_s())
        held_bytes = self.budget.held_bytes
        self._peak_bytes = max(self._peak_bytes, held_bytes)
        if self._peak_bytes >= TRIM_BYTES and held_bytes < body_budget.SMALL_BYTES:
            self._peak_bytes = 0
            heap.trim()

    def is_too_slow(self, reader: request_reader.RequestReader) -> bool:
        """Return whether a body arrives so slowly that waiting ones go first."""
        wire = reader.incomplete_request
        if wire is None or wire.body_lease is None or not self.budget.waiting_count:
            return False
        lease = wire.body_lease
        if lease.state is not body_budget.State.GRANTED or lease.is_small:
            return False
        has_stalled = lease.has_stalled(reader.body_bytes)
        return has_stalled or lease.is_too_slow(reader.body_bytes, clocks.get_s())

    def _handle_decision(self, lease: body_budget.Lease, on_decided: Callable[[], None]) -> None:
        fields = {**self._get_fields(lease), "state": lease.state.value}
        fields["waited_ms"] = int((clocks.get_s() - lease.requested_s) * 1000)
        logger.info("wait for memory ended", extra={"fields": fields})
        on_decided()

    def _get_fields(self, lease: body_budget.Lease) -> dict[str, object]:
        return {
            "body_bytes": lease.size_bytes,
            "held_bytes": self.budget.held_bytes,
            "budget_bytes": self.budget.budget_bytes,
            "waiting": self.budget.waiting_count,
        }


def is_waiting(wire: request_reader.WireRequest) -> bool:
    """Return whether a request waits for the room for its body."""
    lease = wire.body_lease
    return lease is not None and lease.state is body_budget.State.WAITING
