"""Quarantines request contents that crash upstreams, for the OpenAI interface.

:mod:`spoolhead._internal.policy.quarantine` makes the decisions. An entry sends its records to the
keeper, which relays them to all other entries and sends all known records to each entry that
connects. An entry with a data folder can serve from its saved table while no keeper answers, so it
saves the records in that folder too.
"""

import pathlib
from collections.abc import Callable

from spoolhead._internal.contents import content_watch, saved_contents, termination_watch
from spoolhead._internal.models import content_record, request_keys, rows, sent_run
from spoolhead._internal.network import scheduler, upstream_calls
from spoolhead._internal.policy import quarantine, replicas
from spoolhead._internal.utils import clocks

Records = list[content_record.AgedRecord]


class HeldContents:
    """Contents that may crash upstreams, as known to one entry.

    :param name: the entry's name.
    :param calls: sends requests to upstreams.
    :param timers: the program's scheduler.
    :param probe_path: path requested from an upstream that lost a request, to find out whether the
        upstream crashed.
    :param send_records: called with records that the keeper should relay.
    :param on_held: called with a key that has become held.
    :param folder: the entry's data folder; None if it has none.
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
        self._answered_replicas: dict[str, replicas.Replica] = {}
        self._watch = content_watch.ContentWatch(
            name,
            clock=clocks.get_s,
            timers=timers,
            request_broadcast=self._send_changed,
            on_held=on_held,
            query_alive=self._query_alive,
        )
        self._saved: saved_contents.SavedContents | None = None
        if folder is not None:
            self._saved = saved_contents.SavedContents(folder, self._watch.registry, timers)
        self._termination_watch = termination_watch.TerminationWatch(
            calls,
            timers,
            self._watch,
            read_instance_id=lambda status, headers: "",
            on_terminated=self._record_restart,
        )

    @property
    def held_count(self) -> int:
        """Number of held contents."""
        return self._watch.held_count

    def get_all(self) -> Records:
        """Return all records."""
        return self._watch.get_all()

    def merge_records(self, peer: str, records: Records) -> None:
        """Merge records received from another process.

        :param peer: name or address of that process.
        """
        self._watch.merge_records(peer, records)
        self._save()

    def evaluate(self, keys: request_keys.RequestKeys) -> quarantine.Verdict:
        """Return the verdict on a new request."""
        return self._watch.evaluate(keys)

    def is_held(self, keys: request_keys.RequestKeys) -> bool:
        """Return whether a request with these keys is held."""
        return self._watch.is_held(keys)

    def is_suspect(self, keys: request_keys.RequestKeys) -> bool:
        """Return whether an upstream crashed with a key and no run succeeded since."""
        return self._watch.is_suspect(keys)

    def claim_trial(
        self, keys: request_keys.RequestKeys, on_settled: Callable[[bool], None]
    ) -> None:
        """Claim the trial of a held request.

        :param on_settled: called with True if this entry may run the trial, else with False.
        """
        self._watch.claim_trial(keys)
        self._timers.call_later(
            quarantine.TRIAL_CLAIM_WAIT_S, lambda: on_settled(self._watch.may_run_trial(keys))
        )

    def get_incarnation_id(self, upstream: str) -> str:
        """Return the id of an upstream's current incarnation, as counted by this entry."""
        return f"{upstream}@{self._name}.{self._restart_counts.get(upstream, 0)}"

    def record_abandoned(self, replica: replicas.Replica, run: sent_run.SentRun) -> None:
        """Record a request that an upstream received and this entry abandoned."""
        if replica.row.state is not rows.UpstreamState.LEAVING:
            self._watch.record_abandoned(run)

    def record_unreachable(self, replica: replicas.Replica) -> None:
        """Query an upstream that refuses connections if a request was abandoned there recently."""
        incarnation_id = self.get_incarnation_id(replica.name)
        if replica.row.state is rows.UpstreamState.LEAVING or not self._watch.has_abandoned(
            incarnation_id
        ):
            return
        self._query_termination(replica, incarnation_id)

    def record_lost(self, replica: replicas.Replica, run: sent_run.SentRun) -> None:
        """Record a request that an upstream received and lost, and query the upstream."""
        if replica.row.state is rows.UpstreamState.LEAVING:
            return
        self._watch.record_lost(run)
        self._query_termination(replica, run.incarnation_id)

    def _query_termination(self, replica: replicas.Replica, incarnation_id: str) -> None:
        query = termination_watch.TerminationQuery(
            incarnation_id,
            instance_id="",
            address=replica.row.address,
            path=self._probe_path,
        )
        self._termination_watch.query(query)

    def record_answered(self, replica: replicas.Replica, run: sent_run.SentRun) -> None:
        """Record that a request was answered."""
        self._answered_replicas[replica.name] = replica
        self._watch.record_answered(run)

    def record_established(self, run: sent_run.SentRun) -> None:
        """Record that an answer has gone on for some time."""
        self._watch.record_established(run)

    def record_instance_answer(self, incarnation_id: str) -> None:
        """Record that an incarnation of an upstream has answered."""
        self._watch.record_instance_answer(incarnation_id)

    def _query_alive(self, incarnation_id: str) -> None:
        """Query whether an upstream is still alive."""
        replica = self._answered_replicas.get(incarnation_id.rpartition("@")[0])
        if replica is not None and incarnation_id == self.get_incarnation_id(replica.name):
            self._query_termination(replica, incarnation_id)

    def _send_changed(self) -> None:
        self._send_records(self._watch.pop_changed())
        self._save()

    def _save(self) -> None:
        if self._saved is not None:
            self._saved.schedule_save()

    def _record_restart(self, incarnation_id: str) -> None:
        upstream = incarnation_id.rpartition("@")[0]
        self._restart_counts[upstream] = self._restart_counts.get(upstream, 0) + 1
