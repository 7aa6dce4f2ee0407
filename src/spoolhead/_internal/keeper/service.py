"""Handles the messages that entries and operators send to a keeper."""

import functools
import logging
import pathlib
import secrets
import time
import typing

from spoolhead._internal import exceptions
from spoolhead._internal.keeper import content_relay, log_file, records, state
from spoolhead._internal.models import codes, settings
from spoolhead._internal.network import messages, peer_server, scheduler
from spoolhead._internal.table import packing
from spoolhead._internal.utils import clocks
from spoolhead.coordination import once_journal, versioned_table

logger = logging.getLogger(__name__)

ENTRY_ROLE = "entry"
OPERATOR_ROLE = "operator"
OWNER_GONE_TIMEOUT_S = 5.0


class Follower:
    """An entry that follows the table.

    :ivar session: stream of the entry; None while it is disconnected.
    :ivar is_following: whether the entry has requested the table on this stream; no changes are
        sent before.
    :ivar version: version that the entry has reported as in force.
    :ivar seen_s: monotonic time of the entry's last message, in seconds.
    :ivar hall: hall of the entry; empty until it has introduced itself.
    :ivar address: ``IP:PORT`` at which other entries reach this one.
    """

    __slots__ = ("address", "hall", "is_following", "seen_s", "session", "version")

    def __init__(self) -> None:
        self.session: peer_server.PeerSession | None = None
        self.is_following = False
        self.version = 0
        self.seen_s = 0.0
        self.hall = ""
        self.address = ""


class KeeperService:
    """Handles messages; implements :class:`peer_server.PeerService`.

    :param config: the keeper's settings.
    :param log: the opened log file.
    :param timers: scheduler for delayed calls.
    :raises exceptions.LogDamagedError: if the records of the log contradict each other.
    :ivar contents: relays records of contents that crash instances.
    """

    def __init__(
        self,
        config: settings.KeeperSettings,
        log: log_file.LogFile,
        timers: scheduler.Scheduler,
    ) -> None:
        self._config = config
        self._log = log
        self._state = state.KeeperState(kept_changes=config.kept_changes)
        self._followers: dict[str, Follower] = {}
        self.contents = content_relay.ContentRelay(
            self._get_entries, pathlib.Path(config.data_dir), timers
        )
        self._started_s = clocks.get_s()
        self._replay()

    @property
    def version(self) -> int:
        """Version of the table."""
        return self._state.table.version

    def on_opened(self, session: peer_server.PeerSession) -> None:
        """Register a peer; an entry counts as connected from now on."""
        logger.info("%s %s connected", session.role, session.name)
        if session.role == ENTRY_ROLE:
            follower = self._followers.setdefault(session.name, Follower())
            follower.session = session
            follower.is_following = False
            follower.seen_s = clocks.get_s()

    def on_closed(self, session: peer_server.PeerSession) -> None:
        """Record that a peer has disconnected."""
        logger.info("%s %s disconnected", session.role, session.name)
        follower = self._followers.get(session.name)
        if follower is not None and follower.session is session:
            follower.session = None
            follower.seen_s = clocks.get_s()
            self._broadcast_members()

    def on_message(self, session: peer_server.PeerSession, message: messages.Message) -> None:
        """Handle one message."""
        _dispatch(message, self, session)

    def handle_introduce(
        self, session: peer_server.PeerSession, message: messages.Introduce
    ) -> None:
        """Record an entry's hall and address, and send the new list of members to all entries."""
        follower = self._followers.get(session.name)
        if follower is None or follower.session is not session:
            raise messages.MessageError("an entry must introduce itself on its current stream")
        follower.hall = message.hall
        follower.address = message.address
        self._broadcast_members()
        self.contents.send_known(session)

    def handle_follow(self, session: peer_server.PeerSession, message: messages.Follow) -> None:
        """Send a follower the changes that it has missed, or the whole table."""
        follower = self._followers.get(session.name)
        if follower is None or follower.session is not session:
            raise messages.MessageError("an entry must follow on its current stream")
        follower.is_following = True
        missed_changes = self._state.get_changes_after(message.log_id, message.version)
        if missed_changes is None:
            session.send(
                messages.Snapshot(
                    log_id=self._state.log_id,
                    version=self.version,
                    rows=packing.pack_rows(self._state.table.rows),
                )
            )
            return
        for change in missed_changes:
            session.send_encoded(self._encode_change(change))
        session.send(messages.Current(version=self.version))

    def record_in_force(self, session: peer_server.PeerSession, message: messages.InForce) -> None:
        """Record the version that is in force at an entry."""
        follower = self._followers.get(session.name)
        if follower is not None:
            follower.version = message.version
            follower.seen_s = clocks.get_s()

    def handle_propose(self, session: peer_server.PeerSession, message: messages.Propose) -> None:
        """Accept an edit, or refuse it as a whole."""
        answer = self._decide(message)
        session.send(answer)
        logger.info(
            "edit decided",
            extra={
                "fields": {
                    "edit_id": message.edit_id,
                    "author": message.author,
                    "result_code": answer.code,
                    "version": answer.version,
                    "rows": len(message.edits),
                }
            },
        )

    def send_table(self, session: peer_server.PeerSession, message: messages.GetTable) -> None:
        """Send all rows to an operator."""
        session.send(
            messages.TableAnswer(
                request=message.request,
                log_id=self._state.log_id,
                version=self.version,
                rows=packing.pack_rows(self._state.table.rows),
            )
        )

    def send_history(self, session: peer_server.PeerSession, message: messages.GetHistory) -> None:
        """Send the latest changes to an operator."""
        history = self._state.table.get_history()[::-1][: max(0, message.limit)]
        changes = [change.pack() for change in history]
        session.send(messages.HistoryAnswer(request=message.request, changes=changes))

    def send_status(self, session: peer_server.PeerSession, message: messages.GetStatus) -> None:
        """Send the status of the keeper and its followers to an operator."""
        now_s = clocks.get_s()
        entries = [
            {
                "name": name,
                "connected": follower.session is not None,
                "version_in_force": follower.version,
                "is_current": follower.version == self.version,
                "seen_ms_ago": int((now_s - follower.seen_s) * 1000),
            }
            for name, follower in sorted(self._followers.items())
        ]
        status = {
            "role": "keeper",
            "name": self._config.name,
            "hall": self._config.hall,
            "log_id": self._state.log_id,
            "version": self.version,
            "claims": len(self._state.once.claims),
            "entries": entries,
        }
        session.send(messages.StatusAnswer(request=message.request, status=status))

    def handle_claim(self, session: peer_server.PeerSession, message: messages.ClaimOnce) -> None:
        """Grant a claim, or answer with the state of the first claim of the key."""
        time_ms = _get_time_ms()
        claim = self._state.once.claims.get(message.key)
        owner_is_gone = claim is not None and self._is_owner_gone(claim.owner)
        claim_state = self._state.once.get_state(
            message.key, message.fingerprint, owner_is_gone=owner_is_gone, now_ms=time_ms
        )
        state_name = claim_state.value
        if claim_state is once_journal.ClaimState.GRANTED:
            state_name = self._grant(session.name, message, time_ms)
        outcome = (
            claim.outcome if claim_state is once_journal.ClaimState.FINISHED and claim else None
        )
        session.send(
            messages.ClaimAnswer(
                request=message.request,
                state=state_name,
                status=outcome.status if outcome else 0,
                content_type=outcome.content_type if outcome else "",
                body=outcome.body if outcome else b"",
            )
        )

    def handle_finish(self, session: peer_server.PeerSession, message: messages.FinishOnce) -> None:
        """Record the end of a claimed request; confirm it only if the record is durable."""
        claim = self._state.once.claims.get(message.key)
        if claim is not None and claim.owner == session.name and not claim.is_finished:
            try:
                self._record_end(session.name, message)
            except exceptions.DiskError as error:
                logger.error("cannot record the end of a claimed request: %s", error)
                return
        session.send(messages.FinishNoted(key=message.key))

    def _replay(self) -> None:
        for number, payload in enumerate(self._log.payloads):
            try:
                self._state.replay(payload)
            except (ValueError, TypeError) as error:
                raise exceptions.LogDamagedError("table.log", number, str(error)) from error
        self._log.payloads = []
        if not self._state.log_id:
            log_id = secrets.token_hex(8)
            self._log.append(records.make_log_id(log_id))
            self._state.log_id = log_id
        logger.info("log %s read: version %d", self._state.log_id, self.version)

    def _decide(self, message: messages.Propose) -> messages.ProposeAnswer:
        try:
            edits = [versioned_table.RowEdit.unpack(edit) for edit in message.edits]
        except (ValueError, TypeError):
            return self._refuse(message, codes.ResultCode.PEER_PROTOCOL)
        proposal = versioned_table.Proposal(
            edit_id=message.edit_id,
            author=message.author,
            time_ms=message.time_ms,
            edits=edits,
        )
        prepared = self._state.prepare_change(proposal)
        if prepared.is_error():
            return self._refuse_edit(message, prepared.error)
        change = prepared.ok.change
        if not prepared.ok.is_resend:
            try:
                self._log.append(records.make_change(change))
            except exceptions.DiskError as error:
                logger.error(
                    "edit %s refused because it cannot be recorded: %s", message.edit_id, error
                )
                faults = [["", str(error)]]
                return self._refuse(message, codes.ResultCode.DISK_FAILED, faults=faults)
            self._state.apply_change(change)
            self._broadcast_change(change)
        return messages.ProposeAnswer(
            request=message.request,
            code=codes.ResultCode.OK,
            version=change.version,
            faults=[],
            conflicts=[],
        )

    def _refuse_edit(
        self, message: messages.Propose, refusal: versioned_table.Refusal
    ) -> messages.ProposeAnswer:
        code = _REFUSAL_CODES[refusal.kind]
        faults = [[item.path, item.text] for item in refusal.faults]
        conflicts = [
            [key.sheet, key.name, row.version if row else 0, row.value if row else None]
            for key, row in refusal.conflicts.items()
        ]
        return self._refuse(message, code, faults=faults, conflicts=conflicts)

    def _refuse(
        self,
        message: messages.Propose,
        code: codes.ResultCode,
        *,
        faults: list | None = None,
        conflicts: list | None = None,
    ) -> messages.ProposeAnswer:
        return messages.ProposeAnswer(
            request=message.request,
            code=code,
            version=self.version,
            faults=faults or [],
            conflicts=conflicts or [],
        )

    def _broadcast_change(self, change: versioned_table.Change) -> None:
        data = self._encode_change(change)
        for follower in self._followers.values():
            if follower.session is not None and follower.is_following:
                follower.session.send_encoded(data)

    def _get_entries(self) -> list[peer_server.PeerSession]:
        sessions = [follower.session for follower in self._followers.values()]
        return [session for session in sessions if session is not None]

    def _broadcast_members(self) -> None:
        present = {
            name: follower
            for name, follower in self._followers.items()
            if follower.session is not None and follower.address
        }
        entries = [
            [name, follower.hall, follower.address] for name, follower in sorted(present.items())
        ]
        data = messages.encode(messages.Members(entries=entries))
        for follower in present.values():
            follower.session.send_encoded(data)

    def _encode_change(self, change: versioned_table.Change) -> bytes:
        return messages.encode(messages.ChangeMade(log_id=self._state.log_id, change=change.pack()))

    def _grant(self, owner: str, message: messages.ClaimOnce, time_ms: int) -> str:
        try:
            self._log.append(records.make_claim(message.key, message.fingerprint, owner, time_ms))
        except exceptions.DiskError as error:
            logger.error("claim refused because it cannot be recorded: %s", error)
            return "failed"
        self._state.once.claim(message.key, message.fingerprint, owner, time_ms)
        return once_journal.ClaimState.GRANTED.value

    def _record_end(self, owner: str, message: messages.FinishOnce) -> None:
        if message.ran == codes.Ran.NO:
            self._log.append(records.make_release(message.key, owner))
            self._state.once.release(message.key, owner)
            return
        outcome = None
        if message.status:
            outcome = once_journal.Outcome(message.status, message.content_type, message.body)
        self._log.append(records.make_finish(message.key, owner, outcome))
        self._state.once.finish(message.key, owner, outcome)

    def _is_owner_gone(self, owner: str) -> bool:
        follower = self._followers.get(owner)
        now_s = clocks.get_s()
        if follower is None:
            return now_s - self._started_s > OWNER_GONE_TIMEOUT_S
        if follower.session is not None:
            return False
        return now_s - follower.seen_s > OWNER_GONE_TIMEOUT_S


_REFUSAL_CODES = {
    versioned_table.RefusalKind.INVALID: codes.ResultCode.EDIT_INVALID,
    versioned_table.RefusalKind.CONFLICT: codes.ResultCode.EDIT_CONFLICT,
    versioned_table.RefusalKind.EDIT_ID_REUSED: codes.ResultCode.EDIT_ID_REUSED,
}


def _get_time_ms() -> int:
    return time.time_ns() // 1_000_000


_Session = peer_server.PeerSession


@functools.singledispatch
def _dispatch(message: messages.Message, service: KeeperService, session: _Session) -> None:
    raise messages.MessageError(f"unexpected {type(message).__name__}")


def _register_handler(
    message_class: type, handler: typing.Callable[[KeeperService, _Session, typing.Any], None]
) -> None:
    _dispatch.register(
        message_class, lambda message, service, session: handler(service, session, message)
    )


_register_handler(messages.Introduce, KeeperService.handle_introduce)
_register_handler(messages.Follow, KeeperService.handle_follow)
_register_handler(messages.InForce, KeeperService.record_in_force)
_register_handler(messages.Propose, KeeperService.handle_propose)
_register_handler(messages.GetTable, KeeperService.send_table)
_register_handler(messages.GetHistory, KeeperService.send_history)
_register_handler(messages.GetStatus, KeeperService.send_status)
_register_handler(messages.Contents, lambda service, *args: service.contents.handle_contents(*args))
_register_handler(
    messages.HoldContent, lambda service, *args: service.contents.handle_hold_order(*args)
)
_register_handler(
    messages.GetContents, lambda service, *args: service.contents.send_contents(*args)
)
_register_handler(messages.ClaimOnce, KeeperService.handle_claim)
_register_handler(messages.FinishOnce, KeeperService.handle_finish)
