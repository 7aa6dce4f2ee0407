"""Connects to instances whose answers ended with their connection, to see whether they crashed."""

import logging

from spoolhead._internal.network import links, scheduler
from spoolhead._internal.policy import answer_end, end_confirmation, process_evidence
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

CONNECT_MS = 150
"""Timeout for connecting."""
STAY_S = 0.05
"""Time for which an accepted connection must stay open. A proxy whose instance is gone accepts
connections and closes them soon after."""
MAX_IDLE_STATES = 512
"""Instances whose last probe is remembered; beyond it, those without waiting ends are removed."""


class _Probe:
    """One connection to an instance."""

    __slots__ = ("_owner", "address", "link", "opened_s", "timer")

    def __init__(self, owner: "EndProbes", address: str, opened_s: float) -> None:
        self._owner = owner
        self.address = address
        self.opened_s = opened_s
        self.link: links.Link | None = None
        self.timer: scheduler.Timer | None = None

    def on_connected(self) -> None:
        """Wait whether the connection stays open."""
        self.timer = self._owner.timers.call_later(STAY_S, self._on_stayed)

    def on_data(self, data: bytes) -> None:
        """Do nothing: nothing was requested."""

    def on_lost(self, reason: str) -> None:
        """Handle the end of the connection, which shows something only if it was refused."""
        if self.timer is not None:
            self.timer.cancel()
        evidence = answer_end.Evidence.NONE
        if reason == links.REFUSED and self._owner.has_terminated(self.address):
            evidence = answer_end.Evidence.TERMINATED
        self._owner.handle_result(self, evidence, reason)

    def _on_stayed(self) -> None:
        assert self.link is not None
        if self.link.is_closed:
            return
        self.link.close()
        self._owner.handle_result(self, answer_end.Evidence.ALIVE, "")


class EndProbes:
    """Finds out whether instances crashed as they ended connections.

    :param timers: scheduler for timers.
    :param outgoing: outgoing connections of the program.
    """

    def __init__(self, timers: scheduler.Scheduler, outgoing: links.Links) -> None:
        self.timers = timers
        self._outgoing = outgoing
        self._states: dict[str, end_confirmation.EndConfirmation] = {}
        self._scheduled: set[str] = set()

    def confirm(self, address: str, on_evidence: end_confirmation.OnEvidence) -> None:
        """Check an instance whose connection has just ended.

        :param address: ``IP:PORT`` of the instance.
        :param on_evidence: called once, later, with the evidence.
        """
        if len(self._states) > MAX_IDLE_STATES:
            self._remove_idle()
        state = self._states.setdefault(address, end_confirmation.EndConfirmation())
        state.add(clocks.get_s(), on_evidence)
        self._schedule(address)

    def has_terminated(self, address: str) -> bool:
        """Return whether a connection that an instance has just refused shows that it crashed."""
        state = process_evidence.judge(
            process_evidence.Observation.REFUSED,
            has_open_connection=self._outgoing.has_established(address),
        )
        return state is process_evidence.ProcessState.TERMINATED

    def record_alive(self, address: str, opened_s: float) -> None:
        """Record that an instance itself answered a call that was made at a time."""
        state = self._states.get(address)
        if state is not None:
            _notify(state.pop_alive(opened_s), answer_end.Evidence.ALIVE)

    def handle_result(self, probe: _Probe, evidence: answer_end.Evidence, reason: str) -> None:
        """Handle the result of a probe."""
        # A later answer may have decided all ends meanwhile, and the state may be removed.
        state = self._states.setdefault(probe.address, end_confirmation.EndConfirmation())
        fields = {"address": probe.address, "evidence": evidence.value, "reason": reason}
        fields["took_ms"] = int((clocks.get_s() - probe.opened_s) * 1000)
        logger.info("end of answers checked", extra={"fields": fields})
        match evidence:
            case answer_end.Evidence.ALIVE:
                ends = state.pop_alive(probe.opened_s)
            case answer_end.Evidence.TERMINATED:
                ends = state.pop_terminated(probe.opened_s)
            case answer_end.Evidence.NONE:
                ends = state.pop_unknown(probe.opened_s)
        _notify(ends, evidence)
        self._schedule(probe.address)

    def _remove_idle(self) -> None:
        for address, state in list(self._states.items()):
            if state.is_idle and address not in self._scheduled:
                del self._states[address]

    def _schedule(self, address: str) -> None:
        due_s = self._states[address].get_next_probe_s()
        if due_s is None or address in self._scheduled:
            return
        self._scheduled.add(address)
        self.timers.call_later(max(0.0, due_s - clocks.get_s()), lambda: self._begin(address))

    def _begin(self, address: str) -> None:
        self._scheduled.discard(address)
        state = self._states[address]
        if state.get_next_probe_s() is None:
            return
        now_s = clocks.get_s()
        state.record_probe(now_s)
        probe = _Probe(self, address, now_s)
        probe.link = self._outgoing.open(address, probe, connect_ms=CONNECT_MS)
        self._schedule(address)


def _notify(ends: list[end_confirmation.WaitingEnd], evidence: answer_end.Evidence) -> None:
    for item in ends:
        item.on_evidence(evidence)
