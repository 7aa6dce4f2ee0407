"""The retry allowances of one entry, and their exchange with the other entries.

Every repeat of a request passes here: it is acquired where it is decided on, and recorded where the
request is sent. The rows travel with the reports of the load.
"""

import logging
from collections.abc import Callable, Collection

from spoolhead._internal.gateway import entry_metrics, load_sharing, routed_job
from spoolhead._internal.models import settings, shared_load
from spoolhead._internal.policy import retry_allowance
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

STALE_MS = 1_000
"""Age of the other entries' data above which an entry uses its own part of the allowance only."""

LogFields = dict[str, object]


class SharedAllowances:
    """The allowances of an entry, one for each service.

    :param config: the entry's settings.
    :param metrics: counters.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        config: settings.GatewaySettings,
        metrics: entry_metrics.EntryMetrics,
        *,
        clock: clocks.Clock = clocks.get_s,
    ) -> None:
        self._config = config
        self._metrics = metrics
        self._clock = clock
        self._started_s = clock()
        self._entry_count = 0
        self._entry_index = 0
        self._allowances: dict[str, retry_allowance.RetryAllowance] = {}
        self._get_other_load: Callable[[int], shared_load.InstanceLoad | None] = lambda key: None
        self._is_current: Callable[[], bool] = lambda: False

    def connect(
        self,
        get_other_load: Callable[[int], shared_load.InstanceLoad | None],
        *,
        is_current: Callable[[], bool],
    ) -> None:
        """Use what the other entries publish from now on.

        :param get_other_load: returns the load of the other entries under a key.
        :param is_current: returns whether that load is complete and current.
        """
        self._get_other_load = get_other_load
        self._is_current = is_current

    def set_entries(self, names: Collection[str]) -> None:
        """Set the names of all entries; the largest number that was ever known is used."""
        self._entry_count = max(self._entry_count, len(names))
        self._entry_index = sum(name < self._config.name for name in names)
        for allowance in self._allowances.values():
            self._update_entries(allowance)

    def get(self, service: str) -> retry_allowance.RetryAllowance:
        """Return the allowance of a service."""
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = self._allowances[service] = retry_allowance.RetryAllowance(
                ratio=self._config.retry_ratio,
                slack=self._config.retry_slack,
                window_ms=self._config.retry_window_ms,
                started_s=self._started_s,
            )
            self._update_entries(allowance)
        return allowance

    def count_request(self, job: routed_job.Job) -> None:
        """Count a caller's request, unless it was counted before."""
        if not job.is_counted:
            self.get(job.service.name).record_request(self._clock())
            job.is_counted = True

    def has_room(self, job: routed_job.Job, reason: retry_allowance.RepeatReason) -> bool:
        """Return whether one more arrival of a request at its service would be granted."""
        if job.granted_repeats:
            return True
        service = job.service.name
        self._update(service)
        return self.get(service).has_room(self._clock(), reason)

    def try_acquire(
        self, job: routed_job.Job, reason: retry_allowance.RepeatReason, log_fields: LogFields
    ) -> bool:
        """Acquire one more arrival of a request at its service; return whether one was left.

        One that was acquired before and was not used is taken first.
        """
        if job.granted_repeats:
            return True
        service = job.service.name
        self._update(service)
        if not self.get(service).try_acquire(self._clock(), reason):
            self._metrics.rejected_repeats.labels(reason.value).inc()
            fields = {**log_fields, **self._get_log_fields(job), "reason": reason.value}
            logger.info("retry allowance is used up", extra={"fields": fields})
            return False
        job.granted_repeats += 1
        return True

    def record_sent(
        self, job: routed_job.Job, reason: retry_allowance.RepeatReason, log_fields: LogFields
    ) -> None:
        """Record that a request is about to arrive at its service again.

        A repeat that was not acquired, because it could not be avoided, is counted here.
        """
        is_granted = job.granted_repeats > 0
        if is_granted:
            job.granted_repeats -= 1
        else:
            self.get(job.service.name).record_acquired(self._clock())
        self._metrics.repeats.labels(reason.value, str(is_granted).lower()).inc()
        fields = {**log_fields, **self._get_log_fields(job)}
        fields |= {"reason": reason.value, "is_granted": is_granted}
        logger.info("request sent again", extra={"fields": fields})

    def get_rows(self) -> shared_load.LoadByInstance:
        """Return the rows of this entry for a report."""
        now_s = self._clock()
        return {
            retry_allowance.get_key(service): allowance.get_row(now_s)
            for service, allowance in self._allowances.items()
        }

    def update_all(self) -> None:
        """Take over what the other entries have published; due after each change of it."""
        for service in self._allowances:
            self._update(service)

    def _update_entries(self, allowance: retry_allowance.RetryAllowance) -> None:
        allowance.entry_count = self._entry_count
        allowance.entry_index = self._entry_index

    def _update(self, service: str) -> None:
        row = None
        if self._is_current():
            known = self._get_other_load(retry_allowance.get_key(service))
            row = known if known is not None else shared_load.InstanceLoad()
        self.get(service).others.update(row, self._clock())

    def _get_log_fields(self, job: routed_job.Job) -> LogFields:
        return self.get(job.service.name).get_log_fields(self._clock())


def make(
    config: settings.GatewaySettings,
    sharing: load_sharing.LoadSharing,
    metrics: entry_metrics.EntryMetrics,
    *,
    clock: clocks.Clock = clocks.get_s,
) -> SharedAllowances:
    """Return the allowances of an entry, connected to its reports."""
    allowances = SharedAllowances(config, metrics, clock=clock)
    allowances.connect(
        sharing.get_other_load,
        is_current=lambda: sharing.has_snapshot and 0 <= sharing.get_load_age_ms() <= STALE_MS,
    )
    sharing.share_rows(allowances.get_rows)
    return allowances
