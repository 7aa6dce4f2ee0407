"""The entry's connection to a keeper: follows the table and claims idempotency keys."""

import itertools
import logging
import pathlib
from collections.abc import Callable, Sequence
from typing import Protocol

from spoolhead._internal.entry import held_contents, neighbours
from spoolhead._internal.models import codes, content_record, settings
from spoolhead._internal.network import links, messages, peer_client
from spoolhead._internal.network import loop as loops
from spoolhead._internal.table import packing, saved_copy, view
from spoolhead._internal.utils import clocks, files
from spoolhead.coordination import following, once_journal, versioned_table

logger = logging.getLogger(__name__)

ROLE = "entry"
CLAIM_TIMEOUT_S = 2.0
MAX_STORED_BODY_BYTES = 16_384
MAX_UNCONFIRMED = 512
"""Unconfirmed ends of claimed requests from which on no key is claimed."""
MIN_RESEND_INTERVAL_S = 5.0
"""Minimum age of a stream that is replaced to send unconfirmed ends again."""
FAILED_STATE = "failed"


class ClaimResult:
    """Result of a claim.

    :ivar state: state of the key; None if no keeper answered in time.
    :ivar outcome: stored answer of the first run; None if it is unknown.
    """

    __slots__ = ("outcome", "state")

    def __init__(
        self,
        state: once_journal.ClaimState | None,
        outcome: once_journal.Outcome | None = None,
    ) -> None:
        self.state = state
        self.outcome = outcome


class TableListener(Protocol):
    """Callbacks of :class:`KeeperLink`."""

    def on_table(self) -> None:
        """Handle a new version of the table that is in force."""

    def on_keeper_ready(self) -> None:
        """Handle a new connection to a keeper, to which messages can be sent now."""

    def on_contents(self, records: held_contents.Records) -> None:
        """Handle records of contents that may crash upstreams, relayed by a keeper."""

    def on_members(self, members: Sequence[neighbours.Member]) -> None:
        """Handle a change in the set of entries that follow the table."""


class _PendingClaim:
    __slots__ = ("key", "on_answer", "timer")

    def __init__(self, key: str, on_answer: Callable[[ClaimResult], None]) -> None:
        self.key = key
        self.on_answer = on_answer
        self.timer = None


class KeeperLink:
    """Keeps the entry's table current and exchanges messages with a keeper.

    :param loop: the program's event loop.
    :param outgoing: the program's outgoing connections.
    :param config: the entry's settings.
    :param table: view that is updated with each version.
    :param listener: receives the callbacks.
    :param control_address: ``IP:PORT`` at which other entries of the hall reach this one.
    """

    def __init__(
        self,
        loop: loops.Loop,
        outgoing: links.Links,
        config: settings.EntrySettings,
        table: view.TableView,
        listener: TableListener,
        control_address: str,
    ) -> None:
        self._hall = config.hall
        self._control_address = control_address
        self._scheduler = loop.scheduler
        self._table = table
        self._listener = listener
        self._followed = following.FollowedTable()
        self._saved_copy: saved_copy.SavedCopy | None = None
        self._folder_lock: files.FolderLock | None = None
        self._claim_numbers = itertools.count(1)
        self._claims: dict[int, _PendingClaim] = {}
        self._granted: set[str] = set()
        self._unconfirmed: dict[str, messages.FinishOnce] = {}
        self._is_full = False
        self._ready_s = clocks.get_s()
        self._unconfirmed_since_s: float | None = clocks.get_s()
        self._is_save_scheduled = False
        if config.data_dir is not None:
            self._load_saved_copy(pathlib.Path(config.data_dir))
        self._client = peer_client.PeerClient(
            loop,
            outgoing,
            config.keepers,
            role=ROLE,
            name=config.name,
            shared_key=config.shared_key,
            listener=self,
        )

    @property
    def is_connected(self) -> bool:
        """Whether a keeper is connected and confirms the table."""
        return self._client.is_ready

    @property
    def keeper_address(self) -> str:
        """``IP:PORT`` of the connected keeper, or of the keeper that was tried last."""
        return self._client.address

    @property
    def unconfirmed_ms(self) -> int:
        """Milliseconds without a keeper that confirms the table; 0 while a keeper confirms it."""
        if self._unconfirmed_since_s is None:
            return 0
        return int((clocks.get_s() - self._unconfirmed_since_s) * 1000)

    @property
    def unconfirmed_count(self) -> int:
        """Number of finished claims that no keeper has confirmed yet."""
        return len(self._unconfirmed)

    def claim(self, key: str, fingerprint: bytes, on_answer: Callable[[ClaimResult], None]) -> None:
        """Claim a key whose request may run only once.

        While :data:`MAX_UNCONFIRMED` ends wait for a keeper, nothing is claimed: an end must not be
        dropped, or its key would stay claimed without an outcome.

        :param key: the key to claim.
        :param fingerprint: digest of the request.
        :param on_answer: called exactly once, never before this method returns.
        """
        number = next(self._claim_numbers)
        pending = _PendingClaim(key, on_answer)
        self._claims[number] = pending
        message = messages.ClaimOnce(request=number, key=key, fingerprint=fingerprint)
        is_sent = self._may_claim() and self._client.send(message)
        delay_s = CLAIM_TIMEOUT_S if is_sent else 0
        pending.timer = self._scheduler.call_later(
            delay_s, lambda: self._expire_claim(number, is_sent)
        )

    def _may_claim(self) -> bool:
        """Return whether there is room for the end of one more claimed request."""
        is_full = len(self._unconfirmed) >= MAX_UNCONFIRMED
        if is_full and not self._is_full:
            fields = {"unconfirmed": len(self._unconfirmed)}
            logger.warning("no keys are claimed", extra={"fields": fields})
        elif self._is_full and not is_full:
            logger.info("keys are claimed again")
        self._is_full = is_full
        if is_full and clocks.get_s() - self._ready_s >= MIN_RESEND_INTERVAL_S:
            self._resend()
        return not is_full

    def _resend(self) -> None:
        """Send the unconfirmed ends again, which a new stream begins with."""
        if self._client.is_ready:
            self._client.reconnect("ends of claimed requests are not confirmed")

    def finish(self, key: str, ran: codes.Ran, outcome: once_journal.Outcome | None) -> None:
        """Report the end of a claimed request; the report is resent until a keeper has stored it.

        :param outcome: the answer; its body is not sent if it exceeds
            :data:`MAX_STORED_BODY_BYTES`.
        """
        is_stored = outcome is not None and len(outcome.body) <= MAX_STORED_BODY_BYTES
        message = messages.FinishOnce(
            key=key,
            ran=ran.value,
            status=outcome.status if is_stored else 0,
            content_type=outcome.content_type if is_stored else "",
            body=outcome.body if is_stored else b"",
        )
        self._granted.discard(key)
        self._unconfirmed[key] = message
        self._client.send(message)

    def send_contents(self, records: held_contents.Records) -> None:
        """Send records of contents for the keeper to relay.

        Without a connected keeper, nothing is queued: all records are sent on connecting anyway.
        """
        if records:
            self._client.send(messages.Contents(items=content_record.pack(records)))

    def on_peer_ready(self) -> None:
        """Introduce this entry, request newer versions and resend unconfirmed claim results."""
        self._ready_s = clocks.get_s()
        logger.info("connected to keeper at %s", self._client.address)
        self._client.send(messages.Introduce(hall=self._hall, address=self._control_address))
        self._client.send(
            messages.Follow(log_id=self._followed.log_id, version=self._followed.version)
        )
        for message in self._unconfirmed.values():
            self._client.send(message)
        self._listener.on_keeper_ready()

    def on_peer_lost(self) -> None:
        """Continue with the last known table."""
        self._unconfirmed_since_s = clocks.get_s()
        logger.warning(
            "no keeper confirms the table", extra={"fields": {"version": self._table.version}}
        )

    def on_peer_message(self, message: messages.Message) -> None:
        """Handle a message from a keeper."""
        match message:
            case messages.Snapshot():
                self._handle_snapshot(message)
            case messages.ChangeMade():
                self._handle_change(message)
            case messages.Current():
                self._confirm()
            case messages.Members():
                self._handle_members(message)
            case messages.Contents():
                self._handle_contents(message)
            case messages.ClaimAnswer():
                self._handle_claim_answer(message)
            case messages.FinishNoted():
                self._unconfirmed.pop(message.key, None)
            case _:
                self._client.reconnect(f"unexpected {type(message).__name__}")

    def _reject_malformed(self, message: messages.Message, error: Exception) -> None:
        self._client.reject(f"malformed {type(message).__name__}: {error}")

    def _handle_members(self, message: messages.Members) -> None:
        try:
            members = [neighbours.Member(*entry) for entry in message.entries]
        except TypeError as error:
            self._reject_malformed(message, error)
            return
        self._listener.on_members(members)

    def _handle_contents(self, message: messages.Contents) -> None:
        try:
            records = content_record.unpack(message.items)
        except (TypeError, ValueError) as error:
            self._reject_malformed(message, error)
            return
        self._listener.on_contents(records)

    def _load_saved_copy(self, folder: pathlib.Path) -> None:
        self._folder_lock = files.FolderLock(folder)
        self._saved_copy = saved_copy.SavedCopy(folder)
        if self._saved_copy.load(self._followed):
            self._table.replace((key, row.value) for key, row in self._followed.rows.items())
            self._table.version = self._followed.version
            logger.info("loaded table version %d from disk", self._followed.version)

    def _handle_snapshot(self, message: messages.Snapshot) -> None:
        try:
            rows = packing.unpack_rows(message.rows)
        except ValueError as error:
            self._reject_malformed(message, error)
            return
        result = self._followed.take_snapshot(message.log_id, message.version, rows)
        if result.is_error():
            self._reject_table(result.error, message.version)
            return
        if result.ok:
            self._table.replace((key, row.value) for key, row in rows.items())
            self._activate_version()
        self._confirm()

    def _handle_change(self, message: messages.ChangeMade) -> None:
        try:
            change = versioned_table.Change.unpack(message.change)
        except (TypeError, ValueError) as error:
            self._reject_malformed(message, error)
            return
        result = self._followed.take_change(message.log_id, change)
        if result.is_error():
            self._reject_table(result.error, change.version)
            return
        if result.ok:
            for edit in change.proposal.edits:
                self._table.set_row(edit.key, edit.value)
            self._activate_version()
        self._confirm()

    def _reject_table(self, reason: following.FollowFault, version: int) -> None:
        logger.error(
            "rejected a keeper's table: %s",
            reason.value,
            extra={"fields": {"offered": version, "in_force": self._followed.version}},
        )
        self._client.reconnect(f"its table is not taken: {reason.value}")

    def _activate_version(self) -> None:
        self._table.version = self._followed.version
        self._listener.on_table()
        logger.info("table in force", extra={"fields": {"version": self._table.version}})
        if self._saved_copy is not None and not self._is_save_scheduled:
            # Changes arrive in bursts; one write covers all that arrive in the same loop iteration.
            self._is_save_scheduled = True
            self._scheduler.call_later(0, self._save)

    def _save(self) -> None:
        self._is_save_scheduled = False
        if self._saved_copy is not None:
            self._saved_copy.save(self._followed)

    def _confirm(self) -> None:
        self._unconfirmed_since_s = None
        self._client.send(messages.InForce(version=self._table.version))

    def _handle_claim_answer(self, message: messages.ClaimAnswer) -> None:
        try:
            result = _decode_claim_answer(message)
        except ValueError as error:
            self._reject_malformed(message, error)
            self._expire_claim(message.request, is_sent=True)
            return
        pending = self._claims.pop(message.request, None)
        if pending is None:
            return
        if pending.timer is not None:
            pending.timer.cancel()
        if result.state is once_journal.ClaimState.GRANTED:
            self._granted.add(pending.key)
        pending.on_answer(result)

    def _expire_claim(self, number: int, is_sent: bool) -> None:
        pending = self._claims.pop(number, None)
        if pending is None:
            return
        if is_sent and not self._has_claim(pending.key):
            # The claim may have been granted although its answer was lost. Nothing was run under
            # it, so release it.
            self.finish(pending.key, codes.Ran.NO, None)
        pending.on_answer(ClaimResult(None))

    def _has_claim(self, key: str) -> bool:
        """Return whether an earlier claim of this entry was granted, and its request may run."""
        end = self._unconfirmed.get(key)
        return key in self._granted or end is not None and end.ran != codes.Ran.NO.value


def _decode_claim_answer(message: messages.ClaimAnswer) -> ClaimResult:
    """Return the result of a claim that a keeper has answered.

    :raises ValueError: if the state is unknown.
    """
    if message.state == FAILED_STATE:
        return ClaimResult(None)
    outcome = None
    if message.status:
        outcome = once_journal.Outcome(message.status, message.content_type, message.body)
    return ClaimResult(once_journal.ClaimState(message.state), outcome)
