"""Relays records of contents that crash instances between entries."""

import logging
import pathlib
from collections.abc import Callable, Iterable

from spoolhead._internal.contents import saved_contents
from spoolhead._internal.models import content_record
from spoolhead._internal.network import messages, peer_server, scheduler
from spoolhead._internal.policy import content_registry
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

SYNC_CHECK_INTERVAL_S = 0.01
"""Interval between checks whether an operator's order has been synced to disk."""


class ContentRelay:
    """A keeper's records of contents, and the handling of messages about them.

    :param get_entries: returns the streams of all connected entries.
    :param folder: the keeper's data folder, in which the records are saved.
    :param timers: scheduler for delayed calls.
    """

    def __init__(
        self,
        get_entries: Callable[[], Iterable[peer_server.PeerSession]],
        folder: pathlib.Path,
        timers: scheduler.Scheduler,
    ) -> None:
        self._get_entries = get_entries
        self._timers = timers
        self._registry = content_registry.ContentRegistry()
        self._saved = saved_contents.SavedContents(folder, self._registry, timers)

    def send_known(self, session: peer_server.PeerSession) -> None:
        """Send all known records to an entry that has just connected."""
        items = self._pack(self._registry.get_ids())
        if items:
            session.send(messages.Contents(items=items))

    def handle_contents(self, session: peer_server.PeerSession, message: messages.Contents) -> None:
        """Merge the records of an entry, and relay the changed records."""
        try:
            records = content_record.unpack(message.items)
        except (TypeError, ValueError) as error:
            raise messages.MessageError(f"records of contents: {error}") from error
        changed = self._registry.merge(records, clocks.get_s())
        self._saved.schedule_save()
        self._broadcast([record.content_id for record in changed], except_to=session)

    def handle_hold_order(
        self, session: peer_server.PeerSession, message: messages.HoldContent
    ) -> None:
        """Hold or release a content by an operator's order.

        The order takes effect immediately and is confirmed once it is synced to disk.
        """
        record = content_record.begin_epoch(
            message.content_id,
            self._registry.get(message.content_id),
            is_by_hand=message.is_held,
        )
        self._registry.set(record, clocks.get_s())
        self._saved.schedule_save()
        fields = {
            "content": message.content_id.hex(),
            "is_held": message.is_held,
            "operator": session.name,
        }
        logger.info("order on a content", extra={"fields": fields})
        self._broadcast([message.content_id])
        self._confirm_when_synced(session, message)

    def _confirm_when_synced(
        self, session: peer_server.PeerSession, message: messages.HoldContent
    ) -> None:
        if self._saved.is_synced:
            self._answer(session, message.request, [message.content_id])
        else:
            self._timers.call_later(
                SYNC_CHECK_INTERVAL_S, lambda: self._confirm_when_synced(session, message)
            )

    def send_contents(
        self, session: peer_server.PeerSession, message: messages.GetContents
    ) -> None:
        """Send all records to an operator."""
        self._answer(session, message.request, self._registry.get_ids())

    def _answer(
        self, session: peer_server.PeerSession, request: int, content_ids: list[bytes]
    ) -> None:
        items = self._pack(content_ids)
        session.send(messages.ContentsAnswer(request=request, items=items))

    def _broadcast(
        self, content_ids: list[bytes], *, except_to: peer_server.PeerSession | None = None
    ) -> None:
        if not content_ids:
            return
        data = messages.encode(messages.Contents(items=self._pack(content_ids)))
        for session in self._get_entries():
            if session is not except_to:
                session.send_encoded(data)

    def _pack(self, content_ids: list[bytes]) -> list[list[object]]:
        return content_record.pack(self._registry.get_all_aged(content_ids, clocks.get_s()))
