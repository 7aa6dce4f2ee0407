"""Collects evidence about requests that crash instances, and exchanges it with other processes.

The decisions are made in :mod:`spoolhead._internal.policy.quarantine`.
"""

import logging
import random
from collections.abc import Callable

from spoolhead._internal.models import content_record, request_keys, sent_run, shared_load
from spoolhead._internal.network import scheduler
from spoolhead._internal.policy import content_registry, lost_runs, quarantine
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

MAX_QUERY_DELAY_S = 0.2
"""Maximum delay before an instance is queried for proof, different at each entry: the proof of one
entry saves the queries of the others."""
MAX_SOUGHT_INSTANCES = 100
"""Maximum number of instances from which proof is awaited."""


class ContentWatch:
    """Records and decisions of one entry about requests that may crash instances.

    :param name: the entry's name.
    :param clock: monotonic time in seconds.
    :param timers: schedules callbacks.
    :param request_broadcast: called when records are to be sent at once.
    :param on_held: called with a key whose running requests must be cancelled if they are held.
    :param query_alive: called with the incarnation id of an instance that is to be queried, to find
        out whether it is alive.
    :ivar is_in_sync: whether a hub has reported the same digest as this entry's, so that no record
        is missing.
    """

    def __init__(
        self,
        name: str,
        *,
        clock: clocks.Clock,
        timers: scheduler.Scheduler,
        request_broadcast: Callable[[], None],
        on_held: Callable[[bytes], None],
        query_alive: Callable[[str], None],
    ) -> None:
        self.is_in_sync = False
        self._clock = clock
        self._request_broadcast = request_broadcast
        self._on_held = on_held
        self._timers = timers
        self._query_alive = query_alive
        self._query_delay_s = random.Random(name).uniform(0.0, MAX_QUERY_DELAY_S)
        self._sought_keys: dict[str, set[bytes]] = {}
        self._quarantine = quarantine.Quarantine(name)
        self._broadcast = content_registry.ContentBroadcast(self._quarantine.registry)
        self._lost_runs = lost_runs.LostRuns()

    @property
    def registry(self) -> content_registry.ContentRegistry:
        """The content records that this entry knows."""
        return self._quarantine.registry

    @property
    def held_count(self) -> int:
        """Number of held contents."""
        return self._quarantine.held_count

    @property
    def has_unsent(self) -> bool:
        """Whether any record is left to send."""
        return self._broadcast.has_pending

    def evaluate(self, keys: request_keys.RequestKeys) -> quarantine.Verdict:
        """Decide how to handle a new request."""
        return self._quarantine.evaluate(keys, self._clock())

    def is_held(self, keys: request_keys.RequestKeys) -> bool:
        """Return whether a request with these keys is held."""
        return self._quarantine.is_held(keys, self._clock())

    def is_suspect(self, keys: request_keys.RequestKeys) -> bool:
        """Return whether any key of a request is suspect and not presumed to be harmless."""
        return self._quarantine.is_suspect(keys, self._clock())

    def claim_trial(self, keys: request_keys.RequestKeys) -> None:
        """Claim the next trial of a held request."""
        for record in self._quarantine.claim_trial(keys, self._clock()):
            self._publish(record, "trial claimed by this entry")

    def may_run_trial(self, keys: request_keys.RequestKeys) -> bool:
        """Return whether this entry's claim stands; True only once."""
        return self._quarantine.may_run_trial(keys, self._clock())

    def record_lost(self, run: sent_run.SentRun) -> None:
        """Record a request that an instance received and lost."""
        lost = lost_runs.LostRun(run, self._clock())
        if self._lost_runs.record_lost(lost):
            self._record_crash(lost, "known before the loss")

    def record_abandoned(self, run: sent_run.SentRun) -> None:
        """Record a request that an instance received and this entry has abandoned."""
        lost = lost_runs.LostRun(run, self._clock())
        if self._lost_runs.record_abandoned(lost):
            self._record_crash(lost, "known before the request was abandoned")

    def has_abandoned(self, incarnation_id: str) -> bool:
        """Return whether this entry recently abandoned a request at an instance."""
        return self._lost_runs.has_abandoned(incarnation_id, self._clock())

    def record_terminated(self, incarnation_id: str, evidence: str) -> None:
        """Record that an incarnation of an instance crashed or is gone, and the evidence for it."""
        for lost in self._lost_runs.record_crashed(incarnation_id, self._clock()):
            self._record_crash(lost, evidence)

    def record_alive(self, incarnation_id: str) -> None:
        """Record that an incarnation of an instance is alive."""
        self._lost_runs.record_alive(incarnation_id)
        self.record_instance_answer(incarnation_id)

    def record_answered(self, run: sent_run.SentRun) -> None:
        """Record a complete answer, which may show that the request's keys are harmless."""
        now_s = self._clock()
        self._lost_runs.record_answered(run, now_s)
        begun_s = run.begun_s if run.begun_s is not None else now_s
        for key in run.keys.all:
            # A content may crash the instance until the end of its run.
            shown_s = begun_s if key in run.keys.parts else now_s
            self._quarantine.record_run(key, run.incarnation_id, shown_s)
            self._seek_proof(key)

    def record_established(self, run: sent_run.SentRun) -> None:
        """Record an answer that has gone on for some time, and that its instance is alive.

        This shows that the parts of the prompt are harmless. The content may still crash the
        instance.
        """
        now_s = self._clock()
        self._quarantine.record_instance_answer(run.incarnation_id, now_s)
        assert run.begun_s is not None
        for key in run.keys.parts:
            self._quarantine.record_run(key, run.incarnation_id, run.begun_s)
            self._clear_if_harmless(key)

    def record_instance_answer(self, incarnation_id: str) -> None:
        """Record that an incarnation of an instance has answered."""
        self._quarantine.record_instance_answer(incarnation_id, self._clock())
        for key in self._sought_keys.pop(incarnation_id, ()):
            self._clear_if_harmless(key)

    def handle_update(self, hub: str, update: shared_load.ContentUpdate) -> None:
        """Handle the content records and digest sent by a hub."""
        self.merge_records(hub, update.records)
        if update.digest == self._quarantine.registry.digest:
            self.is_in_sync = True
        self._broadcast.record_digest(hub, update.digest, self._clock())

    def pop_changed(self) -> list[content_record.AgedRecord]:
        """Return the changed records that have not been sent, for a reliable channel."""
        return self._broadcast.pop_changed(self._clock())

    def get_all(self) -> list[content_record.AgedRecord]:
        """Return all records."""
        registry = self._quarantine.registry
        return registry.get_all_aged(registry.get_ids(), self._clock())

    def merge_records(self, peer: str, items: list[content_record.AgedRecord]) -> None:
        """Merge records reported by another process."""
        changed = self._quarantine.merge_records(items, self._clock())
        for record in changed:
            self._log(record, f"reported by {peer}")
            self._seek_proof(record.content_id)
        self._report_held(changed)

    def make_content_update(self) -> shared_load.ContentUpdate:
        """Return the records and digest for the next report."""
        records = self._broadcast.pop_batch(self._clock())
        return shared_load.ContentUpdate(records, self._quarantine.registry.digest)

    def make_digest_update(self) -> shared_load.ContentUpdate:
        """Return an update with the digest alone, for a report without records."""
        return shared_load.ContentUpdate(digest=self._quarantine.registry.digest)

    def _record_crash(self, lost: lost_runs.LostRun, evidence: str) -> None:
        run = lost.run
        instance_key = shared_load.get_key(run.incarnation_id)
        reason = f"{run.incarnation_id} terminated: {evidence}"
        changed = []
        for key in lost.get_suspect_keys():
            record = self._quarantine.record_crash(key, instance_key, run.sent_s, lost.lost_s)
            if record is not None:
                changed.append(record)
                self._publish(record, reason, part_id=run.keys.parts.get(key, ""))
                self._seek_proof(key)
        self._report_held(changed)

    def _seek_proof(self, key: bytes) -> None:
        """Find out soon whether the instance of the latest run of a suspect key is alive."""
        if not self._quarantine.is_suspect_key(key) or self._clear_if_harmless(key):
            return
        run = self._quarantine.get_unproved_run(key)
        if run is None:
            return
        delay_s = max(0.0, run.due_s - self._clock()) + self._query_delay_s
        self._timers.call_later(delay_s, lambda: self._query_unproved(key))

    def _query_unproved(self, key: bytes) -> None:
        if self._clear_if_harmless(key) or not self._quarantine.is_suspect_key(key):
            return
        run = self._quarantine.get_unproved_run(key)
        if run is None or run.due_s > self._clock():
            return
        is_queried = run.incarnation_id in self._sought_keys
        if not is_queried and len(self._sought_keys) >= MAX_SOUGHT_INSTANCES:
            self._sought_keys.clear()
        self._sought_keys.setdefault(run.incarnation_id, set()).add(key)
        self._query_alive(run.incarnation_id)

    def _clear_if_harmless(self, key: bytes) -> bool:
        """Clear a suspect key that runs of this entry show to be harmless.

        :returns: whether the key was cleared.
        """
        record = self._quarantine.clear_if_harmless(key, self._clock())
        if record is None:
            return False
        self._publish(record, "runs of this entry show that it is harmless")
        return True

    def _publish(
        self, record: content_record.ContentRecord, reason: str, *, part_id: str = ""
    ) -> None:
        """Broadcast a record that this entry has changed itself.

        :param part_id: id of the part of a prompt; empty for a content, or if it is not known.
        """
        self._log(record, reason, part_id=part_id)
        self._broadcast.record_changed(record.content_id)
        self._request_broadcast()

    def _report_held(self, changed: list[content_record.ContentRecord]) -> None:
        """Have running requests cancelled, after all keys of a crash were recorded.

        Before that, a request might seem to be held because of a part that another one explains.
        """
        for record in changed:
            if quarantine.must_cancel_running(record):
                self._on_held(record.content_id)

    def _log(self, record: content_record.ContentRecord, reason: str, *, part_id: str = "") -> None:
        fields = {
            "content": record.content_id.hex(),
            "part": part_id,
            "epoch": record.epoch,
            "ends": len(record.ends),
            "waves": record.waves,
            "trials": record.trials,
            "trier": record.trier,
            "is_held": quarantine.is_held(record),
            "is_by_hand": record.is_by_hand,
            "reason": reason,
        }
        logger.info("content record changed", extra={"fields": fields})
