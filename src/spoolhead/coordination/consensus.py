"""Raft consensus on one log among a few members; performs no I/O, the current time is passed in.

The algorithm is Raft (Ongaro and Ousterhout, 2014): a leader is elected for a term, and entries are
committed once a majority has them on disk. Three extensions from the Raft literature are used:
pre-votes (trial votes), so that a member that was cut off does not disrupt the others; linearizable
reads, confirmed by a round of heartbeats; and changes of members by joint consensus.

The owner passes in messages, the time and the progress of its disk, and carries out the effects
(:class:`~spoolhead.coordination.consensus_types.Effects`): records to write and messages to send. A
message that depends on durable state names the record that must be synced before it is sent.
"""

import random
from collections.abc import Sequence

from spoolhead.coordination import (
    ballot,
    consensus_types,
    joining,
    log_transfer,
    peer_progress,
    sync_progress,
)
from spoolhead.coordination import consensus_messages as messages
from spoolhead.coordination import membership as memberships
from spoolhead.coordination import replicated_log as logs

FIRST_ELECTION_PART = 0.4
"""Fraction of an election timeout after which a member that has just started becomes a candidate:
long enough for the other members to start and for a heartbeat of an existing leader to arrive."""


class Consensus:
    """One member of the group.

    :param member_id: id of this member.
    :param log: the member's log, as read from its disk.
    :param machine: state machine to which committed changes are applied.
    :param timing: timeouts and intervals.
    :param rng: random number generator.
    :param now_s: monotonic time in seconds.
    :ivar leader: id of the leader, if known; else empty.
    :ivar commit_index: index up to which entries are known to be committed and are applied.
    :ivar has_caught_up: whether this member, since its start, has learned from a leader up to which
        index entries are committed, and has applied them. Before that, the state is that of the
        last snapshot on its disk, which may be arbitrarily old.
    :ivar conflict: a committed entry that differs from the leader's; None as long as the members
        agree. No message is answered any more, since the state cannot be repaired from the log.
    """

    def __init__(
        self,
        member_id: str,
        log: logs.ReplicatedLog,
        machine: consensus_types.StateMachine,
        timing: consensus_types.Timing,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.member_id = member_id
        self.leader = ""
        self.commit_index = log.snapshot.index
        self.has_caught_up = False
        self.conflict: consensus_types.Conflict | None = None
        self._log = log
        self._machine = machine
        self._timing = timing
        self._rng = rng
        self._effects = consensus_types.Effects()
        self._sync_progress = sync_progress.SyncProgress(log.last_index)
        self._ballot = ballot.Ballot()
        self._peers = peer_progress.PeerProgress()
        self._newcomers = joining.Newcomers(timing)
        self._round_number = 0
        self._term_start_index = 0
        self._next_broadcast_s = now_s
        self._leader_heard_s = now_s
        # After a start no leader is known, so the first election need not wait for one. If there is
        # a leader, the other members refuse the trial vote.
        self._election_due_s = now_s + self._draw_election_timeout_s() * FIRST_ELECTION_PART
        if log.snapshot.state:
            machine.load(log.snapshot.state)

    @property
    def term(self) -> int:
        """Latest term seen."""
        return self._log.vote.term

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader, as far as it knows."""
        return self.leader == self.member_id

    @property
    def members(self) -> Sequence[str]:
        """Ids of the members by the latest membership entry; during a change, of all involved."""
        return self._log.membership.all_members

    @property
    def is_member(self) -> bool:
        """Whether this process is a member."""
        return self.member_id in self.members

    @property
    def is_changing_members(self) -> bool:
        """Whether a change of members is in progress, as far as this member knows."""
        return self._log.membership.is_joint

    def get_heard_members(self, now_s: float) -> list[str]:
        """Return the ids of the members that this leader can count on, itself included."""
        heard = self._peers.get_heard(now_s - self._get_heard_window_s())
        return [member for member in self.members if member in {*heard, self.member_id}]

    def get_voters(self) -> list[str]:
        """Return the ids of the members that vote for this member; empty if it is no candidate."""
        return sorted(self._ballot.get_voters()) if self._ballot.is_open else []

    def get_known_addresses(self) -> set[str]:
        """Return the addresses of the other members in the log and of the known leader.

        A new member's log lists no members, and all members in its settings may have been replaced.
        If its address belonged to a previous member, the leader still sends to that address and so
        becomes known.
        """
        others = {*self.members, self.leader} - {"", self.member_id}
        return {messages.get_address(member) for member in others}

    def take_effects(self) -> consensus_types.Effects:
        """Return and clear the effects that have accumulated since the last call."""
        effects, self._effects = self._effects, consensus_types.Effects()
        return effects

    def tick(self, now_s: float) -> None:
        """Check timeouts; must be called several times per heartbeat interval."""
        if self.conflict is not None:
            return
        if self.is_leader:
            self._tick_leader(now_s)
        elif now_s >= self._election_due_s and self.is_member:
            self._start_election(now_s, is_trial=True)

    def propose(self, data: bytes, now_s: float) -> bool:
        """Append a change if this member is the leader.

        :returns: whether the change was appended. It counts as committed only once it has been
            applied to the state machine.
        """
        if not self.is_leader:
            return False
        self._append(logs.EntryKind.CHANGE, data)
        self._broadcast(now_s)
        return True

    def begin_read(self, now_s: float) -> int | None:
        """Start a broadcast that confirms that this member is still the leader.

        :returns: number of the broadcast, for :meth:`is_confirmed`; None if this member is not the
            leader or has not yet committed an entry of its term.
        """
        if not self.is_leader or self.commit_index < self._term_start_index:
            return None
        self._broadcast(now_s)
        return self._round_number

    def is_confirmed(self, round_number: int) -> bool:
        """Return whether a majority has answered the given broadcast or a later one."""
        if not self.is_leader or self.commit_index < self._term_start_index:
            return False
        acked = self._peers.get_acked(round_number)
        return self._log.membership.has_majority({*acked, self.member_id})

    def note_synced(self, record_number: int, now_s: float) -> None:
        """Record that all records up to the given number are on disk."""
        self._sync_progress.note_synced(record_number)
        if self.is_leader:
            self._advance_commit(now_s)
        elif self._ballot.is_open:
            self._count_votes(now_s)

    def receive(self, message: messages.Message, now_s: float) -> None:
        """Handle a message from another process."""
        if self.conflict is not None:
            return
        match message:
            case messages.VoteRequest():
                self._handle_vote_request(message, now_s)
            case messages.VoteReply():
                self._handle_vote_reply(message, now_s)
            case messages.AppendRequest():
                self._handle_append_request(message, now_s)
            case messages.AppendReply():
                self._handle_append_reply(message, now_s)
            case messages.SnapshotOffer():
                self._handle_snapshot_offer(message, now_s)
            case messages.JoinRequest():
                self._handle_join_request(message, now_s)

    # Elections

    def _draw_election_timeout_s(self) -> float:
        return self._timing.election_ms * self._rng.uniform(1.0, 2.0) / 1000

    def _start_election(self, now_s: float, *, is_trial: bool) -> None:
        self.leader = ""
        self._ballot.begin(self.member_id, is_trial=is_trial)
        self._election_due_s = now_s + self._draw_election_timeout_s()
        term = self.term + 1
        if not is_trial:
            self._write(self._log.set_vote(term, self.member_id))
            self._ballot.record_number = self._sync_progress.written
        request = messages.VoteRequest(
            term=term,
            candidate=self.member_id,
            last_index=self._log.last_index,
            last_term=self._log.last_term,
            is_trial=is_trial,
        )
        for member in self._get_others():
            self._send(member, request, after_record=0 if is_trial else self._sync_progress.written)
        self._count_votes(now_s)

    def _handle_vote_request(self, request: messages.VoteRequest, now_s: float) -> None:
        if request.is_trial:
            granted = (
                request.term > self.term
                and self._is_log_current(request)
                and not self._has_live_leader(now_s)
            )
            term = request.term if granted else self.term
            self._send(request.candidate, self._make_vote_reply(term, granted, True))
            return
        if request.term > self.term:
            if self._has_live_leader(now_s):
                return
            self._step_down(request.term, now_s)
        granted = (
            request.term == self.term
            and self._log.vote.voted_for in ("", request.candidate)
            and self._is_log_current(request)
        )
        if granted and not self._log.vote.voted_for:
            self._write(self._log.set_vote(self.term, request.candidate))
        if granted:
            self._election_due_s = now_s + self._draw_election_timeout_s()
        reply = self._make_vote_reply(self.term, granted, False)
        self._send(request.candidate, reply, after_record=self._sync_progress.written)

    def _make_vote_reply(self, term: int, granted: bool, is_trial: bool) -> messages.VoteReply:
        return messages.VoteReply(
            term=term, voter=self.member_id, granted=granted, is_trial=is_trial
        )

    def _is_log_current(self, request: messages.VoteRequest) -> bool:
        candidate_last = (request.last_term, request.last_index)
        return candidate_last >= (self._log.last_term, self._log.last_index)

    def _has_live_leader(self, now_s: float) -> bool:
        # A member that lost only its own connection to the leader must not depose a leader that a
        # majority still answers.
        if self.is_leader:
            return True
        silence_s = now_s - self._leader_heard_s
        return bool(self.leader) and silence_s < self._timing.election_ms / 1000

    def _handle_vote_reply(self, reply: messages.VoteReply, now_s: float) -> None:
        if reply.term > self.term and not (reply.is_trial and reply.granted):
            self._step_down(reply.term, now_s)
            return
        expected_term = self.term + 1 if reply.is_trial else self.term
        if not self._ballot.is_open or reply.is_trial is not self._ballot.is_trial:
            return
        if reply.granted and reply.term == expected_term:
            self._ballot.add(reply.voter)
            self._count_votes(now_s)

    def _count_votes(self, now_s: float) -> None:
        is_elected = self._log.membership.has_majority(self._ballot.get_voters())
        if not self._ballot.is_open or not is_elected:
            return
        if self._ballot.is_trial:
            self._start_election(now_s, is_trial=False)
        elif self._sync_progress.synced >= self._ballot.record_number:
            self._become_leader(now_s)

    def _become_leader(self, now_s: float) -> None:
        self.leader = self.member_id
        self._ballot.close()
        self._newcomers.clear()
        self._peers.begin(self._get_others(), self._log.last_index + 1, now_s)
        self._append(logs.EntryKind.NOTHING, b"")
        self._term_start_index = self._log.last_index
        self._broadcast(now_s)

    def _step_down(self, term: int, now_s: float) -> None:
        if term > self.term:
            self._write(self._log.set_vote(term, ""))
        self.leader = ""
        self._ballot.close()
        self._election_due_s = now_s + self._draw_election_timeout_s()

    # Leading

    def _tick_leader(self, now_s: float) -> None:
        if not self._log.membership.has_majority(self.get_heard_members(now_s)):
            self._step_down(self.term, now_s)
            return
        self._newcomers.remove_expired(set(self.members), now_s)
        self._change_membership(now_s)
        if now_s >= self._next_broadcast_s:
            self._broadcast(now_s)

    def _append(self, kind: logs.EntryKind, data: bytes) -> None:
        self._write(self._log.append(logs.Entry(self.term, kind, data)))

    def _broadcast(self, now_s: float) -> None:
        self._round_number += 1
        self._next_broadcast_s = now_s + self._timing.heartbeat_ms / 1000
        for member in (*self._get_others(), *self._newcomers.get_ids()):
            self._send_entries(member)

    def _get_heard_window_s(self) -> float:
        return self._timing.election_ms * 2 / 1000

    def _send_entries(self, member: str) -> None:
        peer = self._peers.get(member)
        if peer is None:
            return
        request = log_transfer.make_append(
            self._log,
            self.member_id,
            peer.next_index,
            commit_index=self.commit_index,
            round_number=self._round_number,
        )
        if request is None:
            self._send_snapshot(member, peer)
            return
        # Assume that the entries arrive; if one is lost, the refusal of a later message resets the
        # index.
        peer.next_index += len(request.entries)
        self._send(member, request)

    def _send_snapshot(self, member: str, peer: peer_progress.Peer) -> None:
        peer.next_index = self._log.snapshot.index + 1
        offer = log_transfer.make_offer(self._log, self.member_id, round_number=self._round_number)
        self._send(member, offer)

    def _handle_append_reply(self, reply: messages.AppendReply, now_s: float) -> None:
        if reply.term > self.term:
            self._step_down(reply.term, now_s)
            return
        peer = self._peers.get(reply.follower)
        if not self.is_leader or reply.term != self.term or peer is None:
            return
        peer.heard_s = now_s
        peer.acked_round = max(peer.acked_round, reply.round_number)
        if reply.accepted:
            peer.match_index = max(peer.match_index, reply.match_index)
            self._advance_commit(now_s)
        else:
            peer.next_index = max(1, min(peer.next_index - 1, reply.match_index + 1))
            self._send_entries(reply.follower)

    def _advance_commit(self, now_s: float) -> None:
        indexes = self._peers.get_match_indexes()
        indexes[self.member_id] = self._sync_progress.durable_index
        index = self._log.membership.get_majority_index(indexes)
        # Entries of earlier terms are committed only together with an entry of the current term.
        if index > self.commit_index and self._log.get_term(index) == self.term:
            self._commit(index)
            self._update_caught_up(index)
            self._broadcast(now_s)
            self._leave_if_removed(now_s)

    def _leave_if_removed(self, now_s: float) -> None:
        is_settled = self._log.membership_index <= self.commit_index
        if is_settled and not self.is_member:
            self._step_down(self.term, now_s)

    def _update_caught_up(self, leader_index: int) -> None:
        """Set ``has_caught_up`` once this member has applied all that the leader has committed.

        An entry of the leader's own term must be among these entries. A new leader starts from
        its own disk, which may be as old as a follower's; a committed entry of its term shows that
        no acknowledged change is missing.
        """
        is_of_term = self._log.get_term(self.commit_index) == self.term
        if self.commit_index >= leader_index and is_of_term:
            self.has_caught_up = True

    def _commit(self, index: int) -> None:
        while self.commit_index < index:
            entry = self._log.get_entry(self.commit_index + 1)
            if entry.kind is logs.EntryKind.CHANGE:
                self._machine.apply(entry.data)
            self.commit_index += 1
        self._log.compact(self.commit_index, self._machine.dump())

    # Membership

    def _handle_join_request(self, request: messages.JoinRequest, now_s: float) -> None:
        if self.is_leader:
            if request.member not in self.members:
                self._newcomers.add(request, now_s)
                self._peers.add([request.member], self._log.first_index - 1, now_s)
        elif self.leader and not request.is_forwarded:
            # A newcomer knows only a few members, and the leader may not be among them. If the
            # request did not reach the leader, the group would stay one member short, and further
            # lost disks could cost it its majority.
            forwarded = messages.JoinRequest(
                member=request.member, is_first_start=request.is_first_start, is_forwarded=True
            )
            self._send(self.leader, forwarded)

    def _change_membership(self, now_s: float) -> None:
        """Take the next step of a change of members, once the previous one is committed."""
        is_settled = self._log.membership_index <= self.commit_index
        if not is_settled or self.commit_index < self._term_start_index:
            return
        current = self._log.membership
        if current.is_joint:
            following: memberships.Membership | None = current.finish_change()
        else:
            following = self._newcomers.begin_change(self._log, self._peers, self.member_id, now_s)
        if following is not None:
            self._append(logs.EntryKind.MEMBERS, following.pack())
            self._broadcast(now_s)

    # Following

    def _accept_leader(self, term: int, leader: str, now_s: float) -> bool:
        """Follow the sender of a leader's message; return False if its term is outdated."""
        if term < self.term:
            return False
        if term > self.term or self.leader != leader:
            self._step_down(term, now_s)
        self.leader = leader
        self._leader_heard_s = now_s
        self._election_due_s = now_s + self._draw_election_timeout_s()
        return True

    def _handle_append_request(self, request: messages.AppendRequest, now_s: float) -> None:
        if not self._accept_leader(request.term, request.leader, now_s):
            self._reply(request.leader, False, self._log.last_index, request.round_number)
            return
        index = request.previous_index
        if self._has_conflict(request.leader, index, request.previous_term):
            return
        known_term = self._log.get_term(index)
        if index > self._log.last_index or (
            known_term != request.previous_term and index > self.commit_index
        ):
            hint = min(self._log.last_index, index - 1)
            self._reply(request.leader, False, max(hint, self.commit_index), request.round_number)
            return
        for entry in log_transfer.read_entries(request):
            index += 1
            if self._has_conflict(request.leader, index, entry.term):
                return
            if index <= self.commit_index or self._log.get_term(index) == entry.term:
                continue
            self._sync_progress.note_void(index)
            self._write(self._log.append(entry, index))
        if request.commit_index > self.commit_index and index > self.commit_index:
            self._commit(min(index, request.commit_index))
        self._update_caught_up(request.commit_index)
        self._reply(request.leader, True, index, request.round_number)

    def _handle_snapshot_offer(self, offer: messages.SnapshotOffer, now_s: float) -> None:
        if not self._accept_leader(offer.term, offer.leader, now_s):
            self._reply(offer.leader, False, self._log.last_index, offer.round_number)
            return
        if self._has_conflict(offer.leader, offer.index, offer.entry_term):
            return
        if offer.index > self.commit_index:
            self._take_offer(offer)
        self._update_caught_up(offer.index)
        self._reply(offer.leader, True, offer.index, offer.round_number)

    def _has_conflict(self, leader: str, index: int, leader_term: int) -> bool:
        """Check an entry of the leader against the committed one here, and stop if they differ."""
        term = self._log.get_term(index)
        if index > self.commit_index or term in (None, leader_term):
            return False
        self.conflict = consensus_types.Conflict(index, term or 0, leader, leader_term)
        self.leader = ""
        self.has_caught_up = False
        return True

    def _take_offer(self, offer: messages.SnapshotOffer) -> None:
        if self._log.get_term(offer.index) == offer.entry_term:
            # The log has all that the offer has. The entries behind it may be confirmed already.
            self._commit(offer.index)
            return
        self._write(self._log.take_snapshot(log_transfer.read_snapshot(offer)))
        self._machine.load(offer.state)
        self.commit_index = offer.index

    def _reply(self, leader: str, accepted: bool, match_index: int, round_number: int) -> None:
        reply = messages.AppendReply(
            term=self.term,
            follower=self.member_id,
            accepted=accepted,
            match_index=match_index,
            round_number=round_number,
        )
        self._send(leader, reply, after_record=self._sync_progress.written)

    # Output

    def _get_others(self) -> list[str]:
        return [member for member in self.members if member != self.member_id]

    def _write(self, record: logs.Record) -> None:
        self._effects.records.append(record)
        self._sync_progress.note_written(self._log.last_index)

    def _send(self, member: str, message: messages.Message, *, after_record: int = 0) -> None:
        address = messages.get_address(member)
        self._effects.envelopes.append(consensus_types.Envelope(address, message, after_record))
