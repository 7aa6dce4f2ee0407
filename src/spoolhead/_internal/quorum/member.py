"""One keeper as a member of the group: connects consensus, disk and streams."""

import logging
import pathlib
import random
import secrets
import socket
from collections.abc import Callable

from spoolhead._internal.models import settings
from spoolhead._internal.network import loop as loops
from spoolhead._internal.quorum import (
    group_report,
    mesh,
    replicated_state,
    storage,
    table_register,
)
from spoolhead._internal.utils import clocks
from spoolhead.coordination import consensus, consensus_types, replicated_log
from spoolhead.coordination import consensus_messages as messages

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.02
"""A fifth of the heartbeat interval, so that elections start with little delay."""
JOIN_REQUEST_INTERVAL_S = 0.5
"""Interval between requests to join: a third of the time for which a request is valid."""
FIRST_START_MARK = "first"
"""Mark in the member ids of the system's first start. Each keeper can derive these ids from the
seed addresses alone."""
MARK_BYTES = 4


class Member:
    """Runs a keeper's part in the consensus.

    :param loop: event loop of the program.
    :param config: the keeper's settings.
    :param address: ``IP:PORT`` at which other keepers reach this one.
    :param peers: streams to other keepers.
    :param on_change: called after a new table or an order on a hall was committed, and once this
        keeper has caught up.
    :param on_leading: called when this keeper becomes the leader.
    :raises exceptions.DiskError: if the data folder cannot be used.
    :ivar state: the committed state.
    :ivar register: the committed route table.
    """

    def __init__(
        self,
        loop: loops.Loop,
        config: settings.QuorumKeeperSettings,
        address: str,
        peers: mesh.Mesh,
        on_change: Callable[[], None],
        on_leading: Callable[[], None],
    ) -> None:
        self.state = replicated_state.ReplicatedState()
        self.register = self.state.table
        self._config = config
        self._peers = peers
        self._on_change = on_change
        self._on_leading = on_leading
        self._reported_leader = ""
        self._reported_members: tuple[str, ...] = ()
        self._reported_changing = False
        self._join_requested_s = 0.0
        self._join_addresses: set[str] = set()
        self._join_requesters: set[str] = set()
        self._unsent: list[consensus_types.Envelope] = []
        self._synced_number = 0
        log = self._open_log(address, pathlib.Path(config.data_dir))
        self._log = log
        self._consensus = consensus.Consensus(
            self.member_id,
            log,
            self.state,
            consensus_types.Timing(),
            random.Random(),
            clocks.get_s(),
        )
        self._group_report = group_report.GroupReport(self._consensus, clocks.get_s())
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._wake_write.setblocking(False)
        loop.poller.add_direct_reader(loop, self._wake_read, self._on_wake)
        loop.scheduler.call_every(TICK_INTERVAL_S, self._tick)
        self._reported_version = self.register.version
        self._reported_revision = self.state.evacuations.revision
        self._reported_caught_up = False

    @property
    def is_leader(self) -> bool:
        """Whether this keeper is the leader, as far as it knows."""
        return self._consensus.is_leader

    @property
    def term(self) -> int:
        """Latest consensus term."""
        return self._consensus.term

    @property
    def has_caught_up(self) -> bool:
        """Whether this keeper has applied, since its start, all changes that a leader committed."""
        return self._consensus.has_caught_up

    @property
    def leader_address(self) -> str:
        """``IP:PORT`` of the leader; empty if there is none."""
        return messages.get_address(self._consensus.leader)

    @property
    def member_addresses(self) -> list[str]:
        """``IP:PORT`` of each member; during a change of members, of all involved."""
        return sorted({messages.get_address(member) for member in self._consensus.members})

    @property
    def heard_count(self) -> int:
        """Number of members that this leader can count on; 0 if it does not lead."""
        return len(self._consensus.get_heard_members(clocks.get_s())) if self.is_leader else 0

    @property
    def is_changing_members(self) -> bool:
        """Whether a change of members is in progress."""
        return self._consensus.is_changing_members

    @property
    def has_conflict(self) -> bool:
        """Whether a committed entry differs from the leader's; this keeper then takes no part."""
        return self._consensus.conflict is not None

    def propose(self, version: int, document: bytes) -> bool:
        """Propose a table; return False if this keeper is not the leader."""
        return self._propose(table_register.pack_change(version, document))

    def propose_hall_order(self, order: bytes) -> bool:
        """Propose a serialized order on a hall; return False if this keeper is not the leader."""
        return self._propose(order)

    def _propose(self, change: bytes) -> bool:
        accepted = self._consensus.propose(change, clocks.get_s())
        self._apply_effects()
        return accepted

    def begin_read(self) -> int | None:
        """Start to confirm that this keeper is the leader; see :meth:`is_confirmed`."""
        number = self._consensus.begin_read(clocks.get_s())
        self._apply_effects()
        return number

    def is_confirmed(self, round_number: int) -> bool:
        """Return whether this keeper was still the leader after the confirmation started."""
        return self._consensus.is_confirmed(round_number)

    def receive(self, message: messages.Message) -> None:
        """Handle a message from another keeper."""
        if isinstance(message, messages.JoinRequest):
            self._log_join_request(message)
        self._consensus.receive(message, clocks.get_s())
        self._apply_effects()

    def _open_log(self, address: str, folder: pathlib.Path) -> replicated_log.ReplicatedLog:
        saved = storage.read(folder)
        seeds = [messages.make_member_id(seed, FIRST_START_MARK) for seed in self._config.keepers]
        mark = FIRST_START_MARK if self._config.is_first_start else secrets.token_hex(MARK_BYTES)
        self.member_id = saved.member_id or messages.make_member_id(address, mark)
        initial_members = seeds if self.member_id in seeds and self._config.is_first_start else []
        log = replicated_log.ReplicatedLog(
            replicated_log.Snapshot(0, 0, initial_members, len(initial_members), b"")
        )
        for record in saved.records:
            log.restore(record)
        fields = {
            "member": self.member_id,
            "had_memory": bool(saved.member_id),
            "term": log.vote.term,
            "last_index": log.last_index,
            "members": list(log.membership.members),
        }
        logger.info("log read", extra={"fields": fields})
        self._storage = storage.Storage(
            folder, self.member_id, log.get_records(), self._wake_from_thread
        )
        return log

    def _wake_from_thread(self, number: int) -> None:
        """Wake the event loop; called from the storage's writer thread."""
        self._synced_number = number
        try:
            self._wake_write.send(b"\0")
        except BlockingIOError:
            # The socket is full of wake-ups that the loop has not handled yet. Handling any of them
            # reads the new number.
            return

    def _on_wake(self, sock: socket.socket) -> None:
        sock.recv(4_096)
        self._consensus.note_synced(self._synced_number, clocks.get_s())
        self._apply_effects()

    def _tick(self) -> None:
        now_s = clocks.get_s()
        self._consensus.tick(now_s)
        self._group_report.update(now_s)
        if not self._consensus.leader or not self._consensus.is_member:
            self._request_join(now_s)
        self._apply_effects()

    def _request_join(self, now_s: float) -> None:
        if now_s - self._join_requested_s < JOIN_REQUEST_INTERVAL_S:
            return
        self._join_requested_s = now_s
        request = messages.JoinRequest(
            member=self.member_id, is_first_start=self._config.is_first_start
        )
        own_address = messages.get_address(self.member_id)
        addresses = {*self._config.keepers, *self._consensus.get_known_addresses()} - {own_address}
        if addresses != self._join_addresses:
            self._join_addresses = addresses
            fields = {
                "member": self.member_id,
                "asked": sorted(addresses),
                "leader": self._reported_leader,
            }
            logger.info("join request sent", extra={"fields": fields})
        for address in addresses:
            self._peers.send(address, request)

    def _log_join_request(self, request: messages.JoinRequest) -> None:
        """Log the first request of each process that is not a member."""
        if request.member in self._consensus.members or request.member in self._join_requesters:
            return
        self._join_requesters.add(request.member)
        fields = {
            "member": request.member,
            "leads": self.is_leader,
            "leader": self._reported_leader,
        }
        logger.info("join request received", extra={"fields": fields})

    def _apply_effects(self) -> None:
        """Write the records that the consensus has produced, and send its messages."""
        while True:
            effects = self._consensus.take_effects()
            if not effects.records and not effects.envelopes:
                break
            if effects.records:
                self._storage.write(effects.records)
            self._unsent.extend(effects.envelopes)
            if self._storage.needs_rewrite:
                self._storage.rewrite(self._log.get_records())
        self._send_ready()
        self._report_changes()

    def _send_ready(self) -> None:
        """Send the messages whose record is synced; keep the others."""
        if not self._unsent:
            return
        envelopes, self._unsent = self._unsent, []
        for envelope in envelopes:
            if envelope.after_record > self._synced_number:
                self._unsent.append(envelope)
            else:
                self._peers.send(envelope.address, envelope.message)

    def _report_changes(self) -> None:
        if self._reported_leader != self._consensus.leader:
            self._reported_leader = self._consensus.leader
            fields = {"leader": self._reported_leader, "term": self.term}
            logger.info("leader changed", extra={"fields": fields})
            if self._consensus.is_leader:
                self._on_leading()
        members = tuple(self._consensus.members)
        is_changing = self._consensus.is_changing_members
        if (self._reported_members, self._reported_changing) != (members, is_changing):
            self._reported_members = members
            self._reported_changing = is_changing
            self._join_requesters.difference_update(self._reported_members)
            fields = {
                "members": list(members),
                "is_changing": is_changing,
                "term": self.term,
            }
            logger.info("members changed", extra={"fields": fields})
        self._report_state()

    def _report_state(self) -> None:
        """Log new committed state and the end of catching up, and notify the entries of either."""
        has_new_table = self._reported_version != self.register.version
        has_new_evacuations = self._reported_revision != self.state.evacuations.revision
        has_just_caught_up = self.has_caught_up and not self._reported_caught_up
        self._reported_version = self.register.version
        self._reported_revision = self.state.evacuations.revision
        self._reported_caught_up = self.has_caught_up
        fields = {"version": self._reported_version, "term": self.term}
        if has_new_table:
            logger.info("table committed", extra={"fields": fields})
        if has_new_evacuations:
            halls = sorted(self.state.evacuations.evacuated_halls)
            evacuation_fields = {
                "revision": self._reported_revision,
                "halls": halls,
                "term": self.term,
            }
            logger.info("evacuated halls changed", extra={"fields": evacuation_fields})
        if has_just_caught_up:
            logger.info("caught up with the leader", extra={"fields": fields})
        if has_new_table or has_new_evacuations or has_just_caught_up:
            self._on_change()
