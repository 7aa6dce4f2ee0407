"""Requests that end the upstreams which run them, for the product's own interface.

The decisions are those of :mod:`spoolhead._internal.policy.quarantine`. What an entry finds goes to
the keeper, which passes it on to all others and tells all it knows to each that connects. An entry
that has a disk can serve by its saved table while no keeper answers, so it keeps this there, too.
"""

import pathlib
from collections.abc import Callable

from spoolhead._internal.contents import content_watch, end_watch, saved_contents
from spoolhead._internal.models import content_record, rows
from spoolhead._internal.network import scheduler, upstream_calls
from spoolhead._internal.policy import quarantine, replicas
from spoolhead._internal.utils import clocks

Records = list[content_record.AgedRecord]


class HeldContents:
    """What one entry knows of contents that may end upstreams.

    :param name: the entry's name.
    :param calls: makes requests to upstreams.
    :param timers: calls back.
    :param probe_path: what an upstream that lost a request is asked for.
    :param send_records: called with records that the keeper is to pass on.
    :param on_held: called with the name of a content that is held from now on.
    :param folder: the entry's data folder; None for none.
    """

    def __init__(
        self,
        name: str,
        calls: upstream_calls.UpstreamCalls,
        timers: scheduler.Scheduler,
        *,
        probe_path: str,
        send_records: Callable[[Records], None],
        on_held: Callable[[bytes], None],
        folder: pathlib.Path | None,
    ) -> None:
        self._name = name
        self._timers = timers
        self._probe_path = probe_path
        self._send_records = send_records
        self._restart_counts: dict[str, int] = {}
        self._watch = content_watch.ContentWatch(
            name,
            clock=clocks.get_s,
            request_broadcast=self._send_changed,
            on_held=on_held,
        )
        self._saved: saved_contents.SavedContents | None = None
        if folder is not None:
            self._saved = saved_contents.SavedContents(folder, self._watch.registry, timers)
        self._end_watch = end_watch.EndWatch(
            calls,
            timers,
            self._watch,
            read_instance_id=lambda status, headers: "",
            on_ended=self._record_restart,
        )

    @property
    def held_count(self) -> int:
        """Contents that are held."""
        return self._watch.held_count

    def get_all(self) -> Records:
        """Return all records."""
        return self._watch.get_all()

    def merge_records(self, peer: str, records: Records) -> None:
        """Take records that another process tells."""
        self._watch.merge_records(peer, records)
        self._save()

    def evaluate(self, content_id: bytes) -> quarantine.Verdict:
        """Decide on a request that has just come."""
        return self._watch.evaluate(content_id)

    def is_held(self, content_id: bytes) -> bool:
        """Tell whether a content is held."""
        return self._watch.is_held(content_id)

    def is_suspect(self, content_id: bytes) -> bool:
        """Tell whether a content was at an upstream that ended, and has not ended well since."""
        return self._watch.is_suspect(content_id)

    def claim_trial(self, content_id: bytes, on_settled: Callable[[bool], None]) -> None:
        """Claim the one run that a held content is given.

        :param on_settled: called with whether this entry got it.
        """
        self._watch.claim_trial(content_id)
        self._timers.call_later(
            quarantine.CLAIM_S, lambda: on_settled(self._watch.may_run_trial(content_id))
        )

    def get_incarnation_id(self, upstream: str) -> str:
        """Name the present run of an upstream, as far as this entry tells its runs apart."""
        return f"{upstream}@{self._name}.{self._restart_counts.get(upstream, 0)}"

    def record_abandoned(
        self, replica: replicas.Replica, incarnation_id: str, content_id: bytes, sent_s: float
    ) -> None:
        """Take note of a request that an upstream took and this entry has abandoned."""
        if replica.row.state is not rows.UpstreamState.LEAVING:
            self._watch.record_abandoned(incarnation_id, content_id, sent_s)

    def record_unreachable(self, replica: replicas.Replica) -> None:
        """Ask an upstream that refuses connections, if a request was abandoned there just now."""
        incarnation_id = self.get_incarnation_id(replica.name)
        if replica.row.state is rows.UpstreamState.LEAVING or not self._watch.has_abandoned(
            incarnation_id
        ):
            return
        self._query_end(replica, incarnation_id)

    def record_lost(
        self, replica: replicas.Replica, incarnation_id: str, content_id: bytes, sent_s: float
    ) -> None:
        """Take note of a request that an upstream took and lost, and ask the upstream."""
        if replica.row.state is rows.UpstreamState.LEAVING:
            return
        self._watch.record_lost(incarnation_id, content_id, sent_s)
        self._query_end(replica, incarnation_id)

    def _query_end(self, replica: replicas.Replica, incarnation_id: str) -> None:
        asked = end_watch.EndQuery(
            incarnation_id,
            instance_id="",
            address=replica.row.address,
            path=self._probe_path,
        )
        self._end_watch.query(asked)

    def record_harmless(self, content_id: bytes) -> None:
        """Take note of a request that has ended well."""
        self._watch.record_harmless(content_id)

    def _send_changed(self) -> None:
        self._send_records(self._watch.pop_changed())
        self._save()

    def _save(self) -> None:
        if self._saved is not None:
            self._saved.record()

    def _record_restart(self, incarnation_id: str) -> None:
        upstream = incarnation_id.rpartition("@")[0]
        self._restart_counts[upstream] = self._restart_counts.get(upstream, 0) + 1
