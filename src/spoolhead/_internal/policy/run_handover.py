"""Decides when a run may go on at another instance: only once it has ended at its own.

Performs no I/O. The end of a connection is no evidence by itself, since an instance may work on
without one. Evidence is the answer to an order to stop the run, the orderly end of the run's stream
after that order, or the end of the instance.

A stream without framing that ends after the order may have been stopped or be whole. In both cases
the run has ended and goes on from its copy: one that was whole generates no more events.
"""

import enum

from spoolhead._internal.policy import process_evidence

MAX_ORDERS = 4
"""Maximum number of orders to stop one run."""
ORDER_INTERVAL_S = 0.1
"""Interval after an order without an answer that shows the end of the run."""
ORDER_TIMEOUT_S = 1.0
"""Time after which an order without an answer is repeated."""
REFUSED_INTERVAL_S = 0.4
"""Longest interval after an order that was refused; it doubles with each one up to this."""
MAX_REFUSALS = 15
"""Refused orders after which a run whose stream is broken is given up: its copy is then about 5 s
old, and the target may have dropped it."""

_OK = 200
_NO_SUCH_RUN = 404
_NO_ROOM = 503


class StreamEnd(enum.Enum):
    """How the stream of a run ended."""

    IN_ORDER = "in order"
    """After an order to stop the run that may have arrived."""
    BROKEN = "broken"
    TERMINATED = "terminated"
    """Its instance has terminated or restarted."""


class Evidence(enum.Enum):
    """What shows that a run has ended at its instance."""

    STREAM_CLOSED = "stream closed after the order to stop"
    STOP_CONFIRMED = "order to stop confirmed"
    NO_SUCH_RUN = "the instance has no such run"
    TERMINATED = "the instance has terminated"


class Step(enum.Enum):
    """What to do next."""

    WAIT = "wait"
    ORDER_AGAIN = "order again"
    RESUME = "resume"
    KEEP = "keep"
    """The run goes on where it is, and needs another copy."""
    FAIL = "fail"


class RunHandover:
    """The end of one run at its instance.

    :ivar evidence: what shows that the run has ended; None while nothing does.
    :ivar stream_end: how its stream ended; None while that is open.
    """

    __slots__ = ("_orders", "_refusals", "evidence", "stream_end")

    def __init__(self) -> None:
        self._orders = 1
        self._refusals = 0
        self.evidence: Evidence | None = None
        self.stream_end: StreamEnd | None = None

    @property
    def is_refused(self) -> bool:
        """Whether the instance has refused a connection, so that it may no longer listen."""
        return self._refusals > 0

    @property
    def order_interval_s(self) -> float:
        """Time until an order is repeated."""
        return min(REFUSED_INTERVAL_S, ORDER_INTERVAL_S * 2 ** max(0, self._refusals - 1))

    def handle_stream_end(self, end: StreamEnd, *, is_order_pending: bool = True) -> Step:
        """Decide after the stream of the run has ended.

        :param is_order_pending: whether an order is still to be answered.
        """
        self.stream_end = end
        if end is StreamEnd.TERMINATED:
            return self._resume(Evidence.TERMINATED)
        if end is StreamEnd.IN_ORDER:
            return self._resume(Evidence.STREAM_CLOSED)
        if self.is_refused and not is_order_pending:
            # The end of the process may be what broke the stream.
            self._refusals = 1
            return Step.ORDER_AGAIN
        return Step.WAIT

    def handle_answer(self, status: int, *, has_handle: bool, is_other_pending: bool) -> Step:
        """Decide after the answer to an order to stop the run.

        :param status: HTTP status.
        :param has_handle: whether the answer names a copy, which a stopped run leaves.
        :param is_other_pending: whether another order is still to be answered.
        """
        if status in (_OK, _NO_ROOM) and has_handle:
            return self._resume(Evidence.STOP_CONFIRMED)
        if status == _NO_SUCH_RUN:
            return self._handle_no_such_run()
        if is_other_pending:
            return Step.WAIT
        if status == _NO_ROOM and self.stream_end is None:
            # The target has no room for the update; the run goes on and needs another copy.
            return Step.KEEP
        return self._order_again()

    def handle_order_lost(self, *, is_other_pending: bool) -> Step:
        """Decide after an order without an answer, which may have been carried out.

        :param is_other_pending: whether another order is still to be answered.
        """
        return Step.WAIT if is_other_pending else self._order_again()

    def handle_order_refused(self, *, has_open_connection: bool) -> Step:
        """Decide after an order was refused: no process listens at the instance's address.

        :param has_open_connection: whether any connection to the instance is still established.
        """
        is_connected = has_open_connection or self.stream_end is None
        state = process_evidence.judge(
            process_evidence.Observation.REFUSED, has_open_connection=is_connected
        )
        if state is process_evidence.ProcessState.TERMINATED:
            return self._resume(Evidence.TERMINATED)
        self._refusals += 1
        if self.stream_end is not None and self._refusals > MAX_REFUSALS:
            return Step.FAIL
        return Step.ORDER_AGAIN

    def handle_order_timeout(self) -> Step:
        """Decide after an order got no answer in time; it may still be answered."""
        return self._order_again()

    def _handle_no_such_run(self) -> Step:
        if self.stream_end is None:
            # The end of the stream is on its way.
            return Step.WAIT
        return self._resume(Evidence.NO_SUCH_RUN)

    def _order_again(self) -> Step:
        if self._orders < MAX_ORDERS:
            self._orders += 1
            return Step.ORDER_AGAIN
        return Step.KEEP if self.stream_end is None else Step.FAIL

    def _resume(self, evidence: Evidence) -> Step:
        self.evidence = evidence
        return Step.RESUME
