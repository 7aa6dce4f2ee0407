"""Reads the platform's list of upstream instances, page by page, over HTTP."""

import logging
from collections.abc import Callable

from spoolhead._internal.models import dialects, fault, instances, settings
from spoolhead._internal.network import loop as loops
from spoolhead._internal.network import upstream_calls
from spoolhead._internal.policy import list_memory
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

READ_TIMEOUT_S = 1.5
"""Time limit for all pages of a read. A page takes some milliseconds, so a longer read is stuck."""
MAX_PAGES = 200
"""Maximum pages of a read; 1,600 instances at 50 a page are 32 pages."""
MAX_PAGE_BYTES = 4_194_304
"""Maximum size of a page; 50 entries take some 12 kB."""

_OK = 200


class ListReader:
    """Reads the complete list of instances on demand, one read at a time.

    A page that cannot be read ends the read. What the pages before it show is passed on.

    :param loop: the program's event loop.
    :param calls: sends the HTTP requests.
    :param config: settings with the list's address.
    :param dialect: decodes the pages of the list.
    :param on_list: called with the instances after each read; those on pages that were not read are
        the ones known before.
    :ivar on_fault: called for each read with a page or an entry that could not be read.
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
        self._body = bytearray()
        self._targets: set[str] = set()
        self._is_failing = False
        self._is_incomplete = False
        self._memory = list_memory.ListMemory()
        self.on_fault: Callable[[], None] = lambda: None
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
            self._end_early("the reading took too long")
        self._started_s = now_s
        self._page_count = 0
        self._instances = []
        self._faults = []
        self._targets = set()
        self._request_page(self._dialect.list_target)

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        """Handle the status of a page's answer."""
        del headers
        self._status = status

    def on_answer_body(self, data: bytes) -> None:
        """Handle a part of a page."""
        self._body += data
        if len(self._body) > MAX_PAGE_BYTES and self._call is not None:
            self._call.cancel()
            self._end_early("the page has no end")

    def on_answer_end(self) -> None:
        """Handle the end of a page: request the next one, or complete the read."""
        self._call = None
        if self._status != _OK:
            self._end_early(f"status {self._status}")
            return
        page = self._dialect.decode_instances(bytes(self._body))
        if page.is_error():
            self._end_early(str(page.error))
            return
        self._faults.extend(page.ok.faults)
        self._instances.extend(page.ok.instances)
        next_target = page.ok.next_target
        if page.ok.is_end_unknown:
            self._end_early("the token of the next page cannot be read")
        elif not next_target:
            self._complete(is_whole=True)
        elif next_target in self._targets:
            self._end_early("the page names one that was read before")
        elif self._page_count >= MAX_PAGES:
            self._end_early(f"more than {MAX_PAGES} pages")
        else:
            self._request_page(next_target)

    def on_call_lost(self, reason: str) -> None:
        """Handle a lost connection, which ends the read."""
        self._call = None
        self._end_early(reason)

    def _end_early(self, reason: str) -> None:
        """End a read before its last page; the instances that it has read are passed on."""
        self._call = None
        if self._instances:
            self._complete(is_whole=False, reason=reason)
        else:
            self._fail(reason)

    def _complete(self, *, is_whole: bool, reason: str = "") -> None:
        """Pass on the instances of a read.

        :param is_whole: whether all pages were read. If not, instances that were not read stay as
            they were.
        """
        if self._faults and not self._instances:
            self._fail(f"none of {len(self._faults)} entries can be read: {self._faults[0].text}")
            return
        if self._faults or not is_whole:
            self.on_fault()
        if self._is_failing:
            self._is_failing = False
            logger.info("instance list is readable again")
        self._log_faults()
        listed = instances.remove_duplicates(self._instances, self._memory.current)
        if len(listed) < len(self._instances):
            fields = {"entries": len(self._instances), "ids": len(listed)}
            logger.warning("instance list names ids more than once", extra={"fields": fields})
        update = self._memory.update(listed, is_whole=is_whole, now_s=clocks.get_s())
        self._log_completeness(is_whole, reason, update)
        self._on_list(update.listed)

    def _log_completeness(self, is_whole: bool, reason: str, update: list_memory.Update) -> None:
        """Log the first incomplete read in a row, and the first complete read after it."""
        if is_whole and self._is_incomplete:
            logger.info("instance list is complete again")
        elif not is_whole and not self._is_incomplete:
            fields = {
                "pages": self._page_count,
                "reason": reason,
                "entries": len(self._instances),
                "kept": update.kept,
            }
            logger.warning("instance list is incomplete", extra={"fields": fields})
        self._is_incomplete = not is_whole
        if update.expired:
            fields = {"count": update.expired}
            logger.warning("instances that no read shows are dropped", extra={"fields": fields})

    def _log_faults(self) -> None:
        """Log the first entry that could not be decoded, unless it was logged by the last read."""
        first = self._faults[0].text if self._faults else ""
        if first and first != self._last_logged_fault:
            fields = {"entries": len(self._faults), "first": first}
            logger.warning("entries of the instance list are passed over", extra={"fields": fields})
        self._last_logged_fault = first

    def _request_page(self, target: str) -> None:
        self._page_count += 1
        self._targets.add(target)
        self._status = 0
        self._body = bytearray()
        address = self._config.address
        request = upstream_calls.make_request("GET", target, address, (), b"")
        self._call = self._calls.open(address, request, self, fresh=True, max_body_bytes=None)

    def _fail(self, reason: str) -> None:
        self._call = None
        self.on_fault()
        if not self._is_failing:
            fields = {"address": self._config.address, "page": self._page_count, "reason": reason}
            logger.warning("instance list is not readable", extra={"fields": fields})
        self._is_failing = True
