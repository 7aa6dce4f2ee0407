"""Decides which requests are held because they may crash the instances that run them.

Performs no I/O.

Some requests crash every engine that starts to run them: because of their whole content, which
callers send again, or because of a part of their prompts, which many different requests share. Each
request has a key for its content and one for each of these parts; this module does not tell them
apart. A single entry sees only some of the crashes, so entries share which keys were in flight at
an instance when it crashed. All of these keys become suspects, most of them harmless. The key that
causes the crashes differs from them: it is in flight at every crash, and no run with it lives on.
"""

import dataclasses
import enum
import math

from spoolhead._internal.models import content_record, request_keys
from spoolhead._internal.policy import content_registry, explained_crashes, sound_runs

WAVES_TO_HOLD = 2
"""Successive crashes after which a key is held. A single crash proves little: some twenty requests
are in flight at an engine."""
ENDS_TO_HOLD = 3
"""Crashed instances after which a key is held in any case. Several may crash at the same time,
through one fault or because callers sent requests with the key to several at once; together these
count as one wave."""
TRIAL_DELAY_S = 60.0
"""Time after the last crash at which a request with a held key may be run once more. It is longer
than a series of crashes and the deadlines of most callers, so the trial costs an engine only if
such requests still come a minute later; a key held by mistake is cleared by it."""
MAX_EXPLAINED_ENDS = 5
"""Crashed instances after which only a key that crashed an instance in a trial still explains the
crashes of another. Held keys that were at the same crashes would otherwise explain each other for
ever."""
EARLY_TRIAL_DELAY_S = 3.0
"""The same for keys that are likely to be held by mistake: those of a request whose suspect keys
were all harmless shortly before the crashes, and parts most of whose crashes others explain."""
UNEXPLAINED_TRIAL_DELAY_S = 2.0
"""The same for parts that were at too many crashes for an explanation. Nothing but a trial tells
them apart, and until then all requests with any of them are refused. It is longer than a trial
takes, so that the next one begins only after the result."""
MAX_TRIALS = 2
"""Maximum number of trials of a key: the second one is for a first trial without a result, for
example because its caller left."""
PROVED_WAVES = WAVES_TO_HOLD + 1
"""Wave count set when an instance crashed during a trial; no further trial follows."""
TRIAL_CLAIM_WAIT_S = 0.5
"""Time for which the entry that claims a trial waits for competing claims: longer than a broadcast
takes to reach all entries, also if a report is lost and repeated."""
MIN_ERROR_STATUS = 400
"""Lowest HTTP status that reports any error."""
MIN_SERVER_ERROR_STATUS = 500
"""Lowest HTTP status that reports a server error."""


class Verdict(enum.Enum):
    """Decision on a request."""

    RUN = "run"
    RUN_ISOLATED = "run apart"
    """One of the keys is suspect; the request is run where the fewest others are in flight."""
    CLAIM = "claim"
    """The request is held, and this entry may run a trial if no other entry does."""
    REFUSE = "refuse"


class Quarantine:
    """The suspect and held keys that one entry knows, and the decisions about requests.

    :param name: the entry's name.
    :ivar registry: the records.
    """

    def __init__(self, name: str) -> None:
        self.registry = content_registry.ContentRegistry()
        self._name = name
        self._crash_recorded_s: dict[bytes, float] = {}
        self._started_trials: set[bytes] = set()
        self._sound_runs = sound_runs.SoundRuns()
        self._explained = explained_crashes.ExplainedCrashes(self.registry, is_held, is_proved)

    @property
    def held_count(self) -> int:
        """Number of held keys."""
        return sum(is_held(record) for record in self.registry.get_all())

    def is_suspect_key(self, key: bytes) -> bool:
        """Return whether a key was at an instance that crashed and is not known to be harmless."""
        record = self.registry.get(key)
        return record is not None and record.is_suspect

    def is_suspect(self, keys: request_keys.RequestKeys, now_s: float) -> bool:
        """Return whether any key of a request is suspect and not presumed to be harmless."""
        return any(
            record.is_suspect and not self._is_presumed_harmless(record, now_s)
            for record in self._get_records(keys)
        )

    def is_held(self, keys: request_keys.RequestKeys, now_s: float) -> bool:
        """Return whether a request with these keys is held."""
        return bool(self._get_held(keys, now_s))

    def evaluate(self, keys: request_keys.RequestKeys, now_s: float) -> Verdict:
        """Decide on a new request."""
        held = self._get_held(keys, now_s)
        if not held:
            return Verdict.RUN_ISOLATED if self.is_suspect(keys, now_s) else Verdict.RUN
        is_clean = all(
            self._sound_runs.was_harmless(record.content_id)
            for record in self._get_records(keys)
            if record.is_suspect
        )
        if all(
            self._may_be_tried(
                record, now_s, self._get_trial_delay_s(record, keys, is_clean=is_clean)
            )
            for record in held
        ):
            return Verdict.CLAIM
        return Verdict.REFUSE

    def claim_trial(
        self, keys: request_keys.RequestKeys, now_s: float
    ) -> list[content_record.ContentRecord]:
        """Claim the next trial of each key for which a request is held.

        :meth:`may_run_trial` returns whether the claim won.

        :returns: the changed records.
        """
        changed = []
        for record in self._get_held(keys, now_s):
            self._started_trials.discard(record.content_id)
            claimed = dataclasses.replace(record, trials=record.trials + 1, trier=self._name)
            changed.append(self._store(claimed, now_s))
        return changed

    def may_run_trial(self, keys: request_keys.RequestKeys, now_s: float) -> bool:
        """Return whether this entry's claim stands after :data:`TRIAL_CLAIM_WAIT_S`.

        True only once.
        """
        held = self._get_held(keys, now_s)
        if any(
            record.trier != self._name or record.content_id in self._started_trials
            for record in held
        ):
            return False
        self._started_trials.update(record.content_id for record in held)
        return True

    def record_crash(
        self, key: bytes, instance_key: int, sent_s: float, now_s: float
    ) -> content_record.ContentRecord | None:
        """Record that an instance crashed while it had a request with a key.

        :param instance_key: key of the incarnation that crashed.
        :param sent_s: monotonic time at which the request was sent there.
        :returns: the record of the key, if that changed.
        """
        record = self.registry.get(key) or content_record.ContentRecord(content_id=key)
        if instance_key in record.ends:
            return None
        is_in_trial = key in self._started_trials
        self._sound_runs.record_crash(key, now_s)
        is_later = record.waves and sent_s > self._crash_recorded_s.get(key, math.inf)
        waves = max(record.waves, 1)
        if is_later:
            # Higher counts are reserved for crashes during trials.
            waves = max(waves, min(waves + 1, WAVES_TO_HOLD))
        if is_in_trial:
            waves = max(waves, PROVED_WAVES)
        self._crash_recorded_s[key] = now_s
        ends = tuple(sorted({*record.ends, instance_key}))
        return self._store(dataclasses.replace(record, ends=ends, waves=waves), now_s)

    def record_run(self, key: bytes, incarnation_id: str, begun_s: float) -> None:
        """Record a run of a key whose answer was complete or has gone on.

        It shows that the key is harmless once its instance has answered late enough.
        """
        self._sound_runs.record_run(key, incarnation_id, begun_s)

    def record_instance_answer(self, incarnation_id: str, now_s: float) -> None:
        """Record that an incarnation of an instance has answered."""
        self._sound_runs.record_instance_answer(incarnation_id, now_s)

    def get_unproved_run(self, key: bytes) -> sound_runs.UnprovedRun | None:
        """Return the latest run of a key if it is not known whether its instance lived on."""
        return self._sound_runs.get_unproved(key)

    def clear_if_harmless(self, key: bytes, now_s: float) -> content_record.ContentRecord | None:
        """Clear a suspect key that runs of this entry show to be harmless.

        :returns: the record of the key, if that changed.
        """
        if not self._sound_runs.is_harmless(key, now_s):
            return None
        return self._clear(key, now_s)

    def merge_records(
        self, items: list[content_record.AgedRecord], now_s: float
    ) -> list[content_record.ContentRecord]:
        """Merge records reported by other processes.

        :returns: the records that changed.
        """
        changed = self.registry.merge(items, now_s)
        for record in changed:
            if record.ends:
                self._crash_recorded_s[record.content_id] = now_s
                self._sound_runs.record_crash(record.content_id, now_s)
            else:
                self._clear_local_state(record.content_id)
                self._sound_runs.end_series(record.content_id)
        self._evict_unknown()
        return changed

    def _clear(self, key: bytes, now_s: float) -> content_record.ContentRecord | None:
        record = self.registry.get(key)
        if record is None or not record.ends or record.is_by_hand:
            return None
        self._clear_local_state(key)
        self._sound_runs.end_series(key)
        return self._store(content_record.begin_epoch(key, record), now_s)

    def _get_records(self, keys: request_keys.RequestKeys) -> list[content_record.ContentRecord]:
        records = [self.registry.get(key) for key in keys.all]
        return [record for record in records if record is not None]

    def _get_held(
        self, keys: request_keys.RequestKeys, now_s: float
    ) -> list[content_record.ContentRecord]:
        """Return the records because of which a request with these keys is held."""
        held = [record for record in self._get_records(keys) if is_held(record)]
        return [record for record in held if not self._is_excused(record, keys, now_s)]

    def _is_excused(
        self,
        record: content_record.ContentRecord,
        keys: request_keys.RequestKeys,
        now_s: float,
    ) -> bool:
        """Return whether a request may run although one of its keys is held."""
        if record.is_by_hand:
            return False
        if self._is_presumed_harmless(record, now_s):
            return True
        return record.content_id in keys.parts and self._is_explained(record, keys)

    def _is_presumed_harmless(self, record: content_record.ContentRecord, now_s: float) -> bool:
        if record.is_by_hand or is_proved(record):
            return False
        return self._sound_runs.is_presumed_harmless(
            record.content_id, now_s, crashes=len(record.ends)
        )

    def _is_explained(
        self, record: content_record.ContentRecord, keys: request_keys.RequestKeys
    ) -> bool:
        """Return whether other held keys, which a request does not have, explain the crashes.

        A part of a prompt is in flight wherever one of its prompts is, so this says little against
        it. Different contents are in flight at one instance by chance only.
        """
        if self._is_beyond_explanation(record, keys):
            return self._explained.has_proved(record, keys)
        # The explanation has failed once another crash followed without the held key, but a key
        # that was harmless shortly before may have been at one crash for another reason.
        is_tested = len(record.ends) >= ENDS_TO_HOLD
        is_tested = is_tested and not self._sound_runs.was_harmless(record.content_id)
        needed = 1 if is_tested or is_proved(record) else WAVES_TO_HOLD
        return self._explained.count_unexplained(record, keys) < needed

    def _is_beyond_explanation(
        self, record: content_record.ContentRecord, keys: request_keys.RequestKeys
    ) -> bool:
        """Return whether a part was at so many crashes that it is held whatever else was there."""
        return record.content_id in keys.parts and len(record.ends) >= MAX_EXPLAINED_ENDS

    def _is_doubtful(
        self, record: content_record.ContentRecord, keys: request_keys.RequestKeys
    ) -> bool:
        """Return whether a part is held although other keys explain most of its crashes."""
        if record.content_id not in keys.parts:
            return False
        return 2 * self._explained.count_unexplained(record, keys) < len(record.ends)

    def _get_trial_delay_s(
        self,
        record: content_record.ContentRecord,
        keys: request_keys.RequestKeys,
        *,
        is_clean: bool,
    ) -> float:
        """Return the time after the last crash from which a held key has its trial.

        :param is_clean: whether all suspect keys of the request were harmless shortly before.
        """
        if self._is_beyond_explanation(record, keys):
            return UNEXPLAINED_TRIAL_DELAY_S
        if is_clean or self._is_doubtful(record, keys):
            return EARLY_TRIAL_DELAY_S
        return TRIAL_DELAY_S

    def _may_be_tried(
        self, record: content_record.ContentRecord, now_s: float, delay_s: float
    ) -> bool:
        """Return whether a trial of a held key is due.

        :param delay_s: time after the last crash from which it is.
        """
        if record.is_by_hand or record.trials >= MAX_TRIALS or is_proved(record):
            return False
        return now_s - self.registry.get_changed_s(record.content_id) >= delay_s

    def _clear_local_state(self, content_id: bytes) -> None:
        """Clear the local state of a content whose record no longer lists crashes."""
        self._crash_recorded_s.pop(content_id, None)
        self._started_trials.discard(content_id)

    def _store(
        self, record: content_record.ContentRecord, now_s: float
    ) -> content_record.ContentRecord:
        self.registry.set(record, now_s)
        self._evict_unknown()
        return self.registry.get(record.content_id) or record

    def _evict_unknown(self) -> None:
        """Evict local state of contents whose records are no longer known."""
        if len(self._crash_recorded_s) <= 2 * len(self.registry) + 1:
            return
        known = set(self.registry.get_ids())
        self._crash_recorded_s = {
            key: at_s for key, at_s in self._crash_recorded_s.items() if key in known
        }
        self._started_trials &= known


def must_cancel_running(record: content_record.ContentRecord) -> bool:
    """Return whether running requests of a held content must be cancelled too.

    False if it is held only because several instances crashed at the same time: a run elsewhere may
    still show that the content is harmless, and most instances that it would crash have crashed by
    then.
    """
    return record.is_by_hand or record.waves >= WAVES_TO_HOLD


def is_harmless_status(status: int, *, is_trial: bool) -> bool:
    """Return whether an instance's complete answer shows that a request did not harm it.

    An instance that rejects some requests, or finds one too large or past its deadline, may not
    have started to run it. In a trial every answer but a server error counts: otherwise a content
    that is always rejected would stay held.
    """
    return status < MIN_ERROR_STATUS or (is_trial and status < MIN_SERVER_ERROR_STATUS)


def is_held(record: content_record.ContentRecord) -> bool:
    """Return whether the content of a record is held."""
    has_enough_crashes = record.waves >= WAVES_TO_HOLD or len(record.ends) >= ENDS_TO_HOLD
    return record.is_by_hand or has_enough_crashes


def is_proved(record: content_record.ContentRecord) -> bool:
    """Return whether a request with the key of a record crashed an instance in a trial."""
    return record.waves >= PROVED_WAVES
