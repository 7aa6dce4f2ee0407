"""What an entry finds out about requests that end the instances which run them, and hears of them.

What is decided from it is worked out in :mod:`spoolhead._internal.policy.quarantine`.
"""

import logging
from collections.abc import Callable

from spoolhead._internal.models import content_record, shared_load
from spoolhead._internal.policy import content_book, lost_runs, quarantine
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)


class ContentWatch:
    """Keeps what one entry knows of contents that may end instances.

    :param name: the entry's name.
    :param clock: monotonic time in seconds.
    :param tell: called when something is to be told at once.
    :param on_held: called with the name of a content of which nothing may go on running.
    :ivar agrees: a hub has been heard that knew what is known here, and nothing else.
    """

    def __init__(
        self,
        name: str,
        *,
        clock: clocks.Clock,
        tell: Callable[[], None],
        on_held: Callable[[bytes], None],
    ) -> None:
        self.agrees = False
        self._clock = clock
        self._tell = tell
        self._on_held = on_held
        self._quarantine = quarantine.Quarantine(name)
        self._broadcast = content_book.ContentBroadcast(self._quarantine.book)
        self._runs = lost_runs.LostRuns()

    @property
    def book(self) -> content_book.ContentBook:
        """The records."""
        return self._quarantine.book

    @property
    def held_count(self) -> int:
        """Contents that are held."""
        return self._quarantine.held_count

    @property
    def has_more_to_tell(self) -> bool:
        """Whether something is left to tell."""
        return self._broadcast.has_more

    def judge(self, content_id: bytes) -> quarantine.Verdict:
        """Decide on a request that has just come."""
        return self._quarantine.judge(content_id, self._clock())

    def is_held(self, content_id: bytes) -> bool:
        """Tell whether a content is held."""
        return self._quarantine.is_held(content_id)

    def is_suspect(self, content_id: bytes) -> bool:
        """Tell whether a content was at an instance that ended, and has not ended well since."""
        return self._quarantine.is_suspect(content_id)

    def claim_trial(self, content_id: bytes) -> None:
        """Claim the one run that a held content is given."""
        self._note(self._quarantine.claim_trial(content_id, self._clock()), "claimed here")

    def may_try(self, content_id: bytes) -> bool:
        """Tell whether this entry's claim still stands, once."""
        return self._quarantine.may_try(content_id)

    def note_lost(self, life_id: str, content_id: bytes, sent_s: float) -> None:
        """Take note of a request that an instance took and lost."""
        run = self._make_run(content_id, sent_s)
        if self._runs.note_lost(life_id, run):
            self._count(life_id, run, "lost after that")

    def note_abandoned(self, life_id: str, content_id: bytes, sent_s: float) -> None:
        """Take note of a request that an instance took and this entry has abandoned."""
        run = self._make_run(content_id, sent_s)
        if self._runs.note_abandoned(life_id, run):
            self._count(life_id, run, "abandoned after that")

    def has_abandoned(self, life_id: str) -> bool:
        """Tell whether this entry abandoned a request at an instance just now."""
        return self._runs.has_abandoned(life_id, self._clock())

    def note_ended(self, life_id: str, evidence: str) -> None:
        """Take note that a run of an instance has ended, and of what shows it."""
        for run in self._runs.note_ended(life_id, self._clock()):
            self._count(life_id, run, evidence)

    def note_alive(self, life_id: str) -> None:
        """Take note that a run of an instance lives."""
        self._runs.note_alive(life_id)

    def note_sound(self, content_id: bytes) -> None:
        """Take note of a request that has ended well."""
        record = self._quarantine.note_sound(content_id, self._clock())
        if record is not None:
            self._note(record, "it ended well here")

    def handle_update(self, hub: str, news: shared_load.ContentNews) -> None:
        """Take what a hub tells."""
        self.take_records(hub, news.records)
        if news.digest == self._quarantine.book.digest:
            self.agrees = True
        self._broadcast.note_digest(hub, news.digest, self._clock())

    def take_changed(self) -> list[content_record.AgedRecord]:
        """Return the records that were not told since they changed, to be told without loss."""
        return self._broadcast.take_changed(self._clock())

    def get_all(self) -> list[content_record.AgedRecord]:
        """Return all records."""
        book = self._quarantine.book
        return book.get_all_aged(book.get_ids(), self._clock())

    def take_records(self, teller: str, items: list[content_record.AgedRecord]) -> None:
        """Take records that another process tells."""
        for record in self._quarantine.merge_records(items, self._clock()):
            self._log(record, f"told by {teller}")
            self._tell_if_held(record)

    def make_news(self) -> shared_load.ContentNews:
        """Return what a report made now should carry."""
        part = self._broadcast.take_part(self._clock())
        return shared_load.ContentNews(part, self._quarantine.book.digest)

    def make_sign(self) -> shared_load.ContentNews:
        """Return what a report carries that tells nothing."""
        return shared_load.ContentNews(digest=self._quarantine.book.digest)

    def _make_run(self, content_id: bytes, sent_s: float) -> lost_runs.LostRun:
        return lost_runs.LostRun(content_id, sent_s=sent_s, lost_s=self._clock())

    def _count(self, life_id: str, run: lost_runs.LostRun, evidence: str) -> None:
        key = shared_load.get_key(life_id)
        record = self._quarantine.note_end(run.content_id, key, run.sent_s, run.lost_s)
        if record is not None:
            self._note(record, f"{life_id} ended: {evidence}")

    def _note(self, record: content_record.ContentRecord, reason: str) -> None:
        """Pass on what this entry has found out itself."""
        self._log(record, reason)
        self._broadcast.note_changed(record.content_id)
        self._tell()
        self._tell_if_held(record)

    def _tell_if_held(self, record: content_record.ContentRecord) -> None:
        if quarantine.ends_what_runs(record):
            self._on_held(record.content_id)

    def _log(self, record: content_record.ContentRecord, reason: str) -> None:
        fields = {
            "content": record.content_id.hex(),
            "epoch": record.epoch,
            "ends": len(record.ends),
            "waves": record.waves,
            "trials": record.trials,
            "trier": record.trier,
            "is_held": quarantine.is_held(record),
            "is_by_hand": record.is_by_hand,
            "reason": reason,
        }
        logger.info("content is judged anew", extra={"fields": fields})
