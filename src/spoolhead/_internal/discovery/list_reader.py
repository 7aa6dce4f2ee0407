"""Reads the platform's list of upstream instances, page by page, over HTTP."""

import logging
from collections.abc import Callable

from spoolhead._internal.models import dialects, fault, instances, settings
from spoolhead._internal.network import loop as loops
from spoolhead._internal.network import upstream_calls
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

READ_TIMEOUT_S = 1.5
"""Time limit for all pages of a read. A page takes some milliseconds, so a longer read is stuck."""
MAX_PAGES = 200
"""Maximum pages of a read; 1,600 instances at 50 a page are 32 pages."""
KEPT_TTL_S = 60.0
"""Age of the previous read up to which an incomplete read keeps its instances."""
MAX_KEPT = 1_600
"""Maximum number of instances that an incomplete read keeps, those that were read last."""

_OK = 200


class ListReader:
    """Reads the complete list of instances on demand, one read at a time.

    :param loop: the program's event loop.
    :param calls: sends the HTTP requests.
    :param config: settings with the list's address.
    :param dialect: decodes the pages of the list.
    :param on_list: called with the instances of each read; those behind the page limit are the ones
        known before.
    """

    def __init__(
        self,
        loop: loops.Loop,
        calls: upstream_calls.UpstreamCalls,
        config: settings.InstanceListSettings,
        dialect: dialects.TableDialect,
        on_list: Callable[[list[instances.Instance]], None],
    ) -> None:
        self._loop = loop
        self._calls = calls
        self._config = config
        self._dialect = dialect
        self._on_list = on_list
        self._call: upstream_calls.UpstreamCall | None = None
        self._started_s = 0.0
        self._page_count = 0
        self._instances: list[instances.Instance] = []
        self._status = 0
        self._body: list[bytes] = []
        self._is_failing = False
        self._is_incomplete = False
        self._previous: dict[str, instances.Instance] = {}
        self._previous_s = 0.0
        self._faults: list[fault.Fault] = []
        self._last_logged_fault = ""

    def read(self) -> None:
        """Start a read, unless one is in progress.

        A read that has exceeded :data:`READ_TIMEOUT_S` is cancelled first.
        """
        now_s = clocks.get_s()
        if self._call is not None:
            if now_s - self._started_s < READ_TIMEOUT_S:
                return
            self._call.cancel()
            self._fail("the reading took too long")
        self._started_s = now_s
        self._page_count = 0
        self._instances = []
        self._faults = []
        self._request_page(self._dialect.list_target)

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        """Handle the status of a page's answer."""
        del headers
        self._status = status

    def on_answer_body(self, data: bytes) -> None:
        """Handle a part of a page."""
        self._body.append(data)

    def on_answer_end(self) -> None:
        """Handle the end of a page: request the next one, or complete the read."""
        self._call = None
        if self._status != _OK:
            self._fail(f"status {self._status}")
            return
        page = self._dialect.decode_instances(b"".join(self._body))
        if page.is_error():
            self._fail(str(page.error))
            return
        self._faults.extend(page.ok.faults)
        self._instances.extend(page.ok.instances)
        if page.ok.next_target and self._page_count < MAX_PAGES:
            self._request_page(page.ok.next_target)
            return
        self._complete(is_whole=not page.ok.next_target)

    def on_call_lost(self, reason: str) -> None:
        """Handle a lost connection, which fails the read."""
        self._call = None
        self._fail(reason)

    def _complete(self, *, is_whole: bool) -> None:
        """Pass on the instances of a read.

        :param is_whole: whether all pages were read. If not, instances that were not read stay as
            they were in a previous read that is not too old.
        """
        if self._is_failing:
            self._is_failing = False
            logger.info("instance list is readable again")
        self._log_faults()
        listed = instances.remove_duplicates(self._instances, self._previous)
        if len(listed) < len(self._instances):
            fields = {"entries": len(self._instances), "ids": len(listed)}
            logger.warning("instance list names ids more than once", extra={"fields": fields})
        current = {item.instance_id: item for item in listed}
        now_s = clocks.get_s()
        if not is_whole and now_s - self._previous_s < KEPT_TTL_S:
            current = {**self._get_kept(current), **current}
        self._log_completeness(is_whole, kept=len(current) - len(listed))
        self._previous = current
        self._previous_s = now_s
        self._on_list(list(current.values()))

    def _get_kept(self, current: dict[str, instances.Instance]) -> dict[str, instances.Instance]:
        """Return the previous instances that an incomplete read keeps, the last read at the end.

        Some of them may have ended, which only a complete read shows.
        """
        unread = [item for name, item in self._previous.items() if name not in current]
        return {item.instance_id: item for item in unread[-MAX_KEPT:]}

    def _log_completeness(self, is_whole: bool, *, kept: int) -> None:
        """Log the first incomplete read in a row, and the first complete read after it."""
        if is_whole and self._is_incomplete:
            logger.info("instance list is complete again")
        elif not is_whole and not self._is_incomplete:
            fields = {"pages": self._page_count, "entries": len(self._instances), "kept": kept}
            logger.warning("instance list is incomplete", extra={"fields": fields})
        self._is_incomplete = not is_whole

    def _log_faults(self) -> None:
        """Log the first entry that could not be decoded, unless it was logged by the last read."""
        first = self._faults[0].text if self._faults else ""
        if first and first != self._last_logged_fault:
            fields = {"entries": len(self._faults), "first": first}
            logger.warning("entries of the instance list are passed over", extra={"fields": fields})
        self._last_logged_fault = first

    def _request_page(self, target: str) -> None:
        self._page_count += 1
        self._status = 0
        self._body = []
        address = self._config.address
        request = upstream_calls.make_request("GET", target, address, (), b"")
        self._call = self._calls.open(address, request, self, fresh=True)

    def _fail(self, reason: str) -> None:
        self._call = None
        if not self._is_failing:
            fields = {"address": self._config.address, "reason": reason}
            logger.warning("instance list is not readable", extra={"fields": fields})
        self._is_failing = True
