"""The event loop of a program, with its poller, timers, signal and exception handlers."""

import logging
import signal
from collections.abc import Callable

import circuits

from spoolhead._internal.network import direct_poller, scheduler
from spoolhead._internal.utils import heap

logger = logging.getLogger(__name__)


class Loop(circuits.BaseComponent):
    """Root component of a program.

    The default poller is limited to 1,024 descriptors, so EPoll is registered before any socket.

    :param on_stop: called once on SIGTERM or SIGINT; the program ends when :meth:`finish` is
        called.
    :ivar poller: poller that sockets are registered with.
    :ivar scheduler: timers.
    :ivar on_reload: called on SIGHUP; None to ignore the signal.
    :ivar exceptions: number of exceptions that reached the loop since the start.
    """

    channel = "loop"

    def __init__(self, on_stop: Callable[[], None]) -> None:
        super().__init__()
        heap.return_large_blocks()
        timers = scheduler.Scheduler()
        self.poller = direct_poller.DirectPoller(timers.run_overdue).register(self)
        self.scheduler = timers.register(self)
        self.exceptions = 0
        self.on_reload: Callable[[], None] | None = None
        self._on_stop = on_stop
        self._is_stopping = False
        # Without a handler, SIGHUP would terminate the program.
        signal.signal(signal.SIGHUP, self._signal_handler)

    def finish(self) -> None:
        """End the program after the current loop iteration, with exit code 0."""
        self.stop()

    @circuits.handler("signal", channel="*", priority=10)
    def _on_signal(self, event: circuits.Event, number: int, _frame: object) -> None:
        event.stop()
        if number == signal.SIGHUP and self.on_reload is not None:
            self.on_reload()
        if number not in (signal.SIGTERM, signal.SIGINT) or self._is_stopping:
            return
        self._is_stopping = True
        logger.info("stop requested by signal %d", number)
        self._on_stop()

    @circuits.handler("exception", channel="*", priority=10)
    def _on_exception(
        self,
        event: circuits.Event,
        kind: type[BaseException],
        error: BaseException,
        trace: object,
        handler: object = None,
        fevent: object = None,
    ) -> None:
        event.stop()
        self.exceptions += 1
        logger.error(
            "exception while handling %s", fevent, exc_info=(kind, error, error.__traceback__)
        )
