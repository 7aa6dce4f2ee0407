"""Decides which requests are held back because they end the instances that run them; no I/O.

Some requests end every engine that begins to run them, and callers send them again. An entry sees a
part of that at best, so entries tell each other which contents were at an instance when it ended.
All of those are suspects: the ones beside the culprit as well. What tells them apart is that the
culprit is there each time, and that it never ends well.
"""

import dataclasses
import enum
import math

from spoolhead._internal.models import content_record
from spoolhead._internal.policy import content_registry

WAVES_TO_HOLD = 2
"""Ends, one after the other, after which a content is held. One end shows nothing: some twenty
requests are at an engine. In a series, with three runs at each of nine engines, 3.7 answers beside
it were cut off (mean of 30 simulated ones); held at the third end 5.3, never held nor run apart 31.
Held at the first 2.5, but 2.5 sound requests that came again were refused in each series, as they
would be after any other end of an engine."""
ENDS_TO_HOLD = 3
"""Instances after whose end a content is held in any case. Several may end at the same time, by one
fault or since callers sent it to several at once, and that alone counts as one wave: counted
singly, 1.1 sound requests of one that many send were refused when two ended together, else 0."""
TRIAL_DELAY_S = 60.0
"""Time after the last end at which a content that is held may be run once more. It outlasts a
series (15 s were seen) and the deadlines of most callers, so that the run costs an engine only
where the request still comes a minute later; a sound one held by mistake is served from then on."""
MAX_TRIALS = 2
"""Such runs that a content is given: a second one only if the first showed nothing, as when its
caller left."""
PROVED_WAVES = WAVES_TO_HOLD + 1
"""Waves counted once an instance has ended under a content that was run by itself; there is no
further trial."""
CLAIM_S = 0.5
"""Time for which the entry that wants to run a held content once more waits for others which want
the same: ten times what news takes to reach all of 350 entries (45 ms at most, simulated), and two
of the quarters of a second after which a lost report is made good."""
MIN_ERROR_STATUS = 400
"""Least status that tells of a failure, whoever's."""
MIN_SERVER_ERROR_STATUS = 500
"""Least status that tells of the instance's own."""


class Verdict(enum.Enum):
    """What may be done with a request."""

    RUN = "run"
    RUN_APART = "run apart"
    """It is suspected; where it runs, as few others as possible should: 3.7 answers beside were cut
    off in a series instead of 5.2, simulated as for :data:`WAVES_TO_HOLD`."""
    CLAIM = "claim"
    """It is held, and this entry may run it once more if no other entry does."""
    REFUSE = "refuse"


class Quarantine:
    """What one entry knows of contents that may end instances, and its decisions.

    :param name: the entry's name.
    :ivar registry: the records.
    """

    def __init__(self, name: str) -> None:
        self.registry = content_registry.ContentRegistry()
        self._name = name
        self._crash_recorded_s: dict[bytes, float] = {}
        self._started_trials: set[bytes] = set()

    @property
    def held_count(self) -> int:
        """Contents that are held."""
        return sum(is_held(record) for record in self.registry.get_all())

    def is_suspect(self, content_id: bytes) -> bool:
        """Tell whether a content was at an instance that ended, and has not ended well since."""
        record = self.registry.get(content_id)
        return record is not None and record.is_suspect

    def is_held(self, content_id: bytes) -> bool:
        """Tell whether a content is held."""
        record = self.registry.get(content_id)
        return record is not None and is_held(record)

    def evaluate(self, content_id: bytes, now_s: float) -> Verdict:
        """Decide on a request that has just come."""
        record = self.registry.get(content_id)
        if record is None or not record.is_suspect:
            return Verdict.RUN
        if not is_held(record):
            return Verdict.RUN_APART
        if record.is_by_hand or record.trials >= MAX_TRIALS or record.waves >= PROVED_WAVES:
            return Verdict.REFUSE
        if now_s - self.registry.get_changed_s(content_id) < TRIAL_DELAY_S:
            return Verdict.REFUSE
        return Verdict.CLAIM

    def claim_trial(self, content_id: bytes, now_s: float) -> content_record.ContentRecord:
        """Claim the one run that a held content is given.

        :meth:`may_run_trial` tells who got it.
        """
        record = self.registry.get(content_id)
        assert record is not None
        self._started_trials.discard(content_id)
        claimed = dataclasses.replace(record, trials=record.trials + 1, trier=self._name)
        return self._store(claimed, now_s)

    def may_run_trial(self, content_id: bytes) -> bool:
        """Tell whether a claim of this entry still stands, once, after :data:`CLAIM_S`."""
        record = self.registry.get(content_id)
        if record is None or record.trier != self._name or content_id in self._started_trials:
            return False
        self._started_trials.add(content_id)
        return True

    def record_end(
        self, content_id: bytes, instance_key: int, sent_s: float, now_s: float
    ) -> content_record.ContentRecord | None:
        """Take note that an instance has ended while it had a request of this entry.

        :param instance_key: number of the run of the instance that ended.
        :param sent_s: when the request was sent there.
        :returns: the record of its content, if that changed.
        """
        record = self.registry.get(content_id) or content_record.ContentRecord(
            content_id=content_id
        )
        if instance_key in record.ends:
            return None
        is_later = record.waves and sent_s > self._crash_recorded_s.get(content_id, math.inf)
        waves = record.waves + 1 if is_later else max(record.waves, 1)
        if content_id in self._started_trials:
            waves = max(waves, PROVED_WAVES)
        self._crash_recorded_s[content_id] = now_s
        ends = tuple(sorted({*record.ends, instance_key}))
        return self._store(dataclasses.replace(record, ends=ends, waves=waves), now_s)

    def record_harmless(
        self, content_id: bytes, now_s: float
    ) -> content_record.ContentRecord | None:
        """Take note that a request has ended well.

        :returns: the record of its content, if it was suspected.
        """
        record = self.registry.get(content_id)
        if record is None or not record.ends or record.is_by_hand:
            return None
        self._clear_local_state(content_id)
        return self._store(content_record.begin_epoch(content_id, record), now_s)

    def merge_records(
        self, items: list[content_record.AgedRecord], now_s: float
    ) -> list[content_record.ContentRecord]:
        """Take what other processes tell.

        :returns: the records that this changed.
        """
        changed = self.registry.merge(items, now_s)
        for record in changed:
            if record.ends:
                self._crash_recorded_s[record.content_id] = now_s
            else:
                self._clear_local_state(record.content_id)
        self._evict_unknown()
        return changed

    def _clear_local_state(self, content_id: bytes) -> None:
        """Forget what is kept beside a record that became void."""
        self._crash_recorded_s.pop(content_id, None)
        self._started_trials.discard(content_id)

    def _store(
        self, record: content_record.ContentRecord, now_s: float
    ) -> content_record.ContentRecord:
        self.registry.set(record, now_s)
        self._evict_unknown()
        return self.registry.get(record.content_id) or record

    def _evict_unknown(self) -> None:
        """Forget what is kept beside records that are no longer known."""
        if len(self._crash_recorded_s) <= 2 * len(self.registry) + 1:
            return
        known = set(self.registry.get_ids())
        self._crash_recorded_s = {
            key: at_s for key, at_s in self._crash_recorded_s.items() if key in known
        }
        self._started_trials &= known


def must_end_running(record: content_record.ContentRecord) -> bool:
    """Tell whether what runs of a held content is to be ended, too.

    Not where several instances ended at one moment and nothing more is known: a run that is under
    way elsewhere may show that it is sound, and most of what would end has ended by then.
    """
    return record.is_by_hand or record.waves >= WAVES_TO_HOLD


def shows_harmless(status: int, *, is_trial: bool) -> bool:
    """Tell whether an instance's whole answer shows that the request did it no harm.

    An instance that fails part of its requests, finds one too large or its time over may not have
    begun to run it. In a trial all but its server errors count: else what it always refuses would
    stay held. Where four in ten are failed before they run, a series ended 2 instances, and up to 5
    (mean 2.7) with every answer taken for a good one, in 30 simulated series.
    """
    return status < MIN_ERROR_STATUS or (is_trial and status < MIN_SERVER_ERROR_STATUS)


def is_held(record: content_record.ContentRecord) -> bool:
    """Tell whether a record has its content held."""
    has_enough_crashes = record.waves >= WAVES_TO_HOLD or len(record.ends) >= ENDS_TO_HOLD
    return record.is_by_hand or has_enough_crashes
