"""Passes on between entries what they find out of contents that may end upstreams."""

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
"""Pause between looks at whether what an operator ordered is on the disk."""


class ContentRelay:
    """A keeper's records of contents, and what it does with messages about them.

    :param get_entries: returns the streams of all entries that are connected.
    :param folder: the keeper's data folder, where they outlast it.
    :param timers: calls back.
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
        """Tell all that is known to an entry that has just connected."""
        known = self._pack(self._registry.get_ids())
        if known:
            session.send(messages.Contents(items=known))

    def handle_contents(self, session: peer_server.PeerSession, message: messages.Contents) -> None:
        """Pass on what an entry found out."""
        try:
            records = content_record.unpack(message.items)
        except (TypeError, ValueError) as error:
            raise messages.MessageError(f"records of contents: {error}") from error
        changed = self._registry.merge(records, clocks.get_s())
        self._saved.record()
        self._broadcast([record.content_id for record in changed], except_to=session)

    def handle_hold_order(
        self, session: peer_server.PeerSession, message: messages.HoldContent
    ) -> None:
        """Have a content held, or let it go, by an operator's order.

        It is in force at once and confirmed once it is on the disk.
        """
        record = content_record.begin_epoch(
            message.content_id,
            self._registry.get(message.content_id),
            is_by_hand=message.is_held,
        )
        self._registry.set(record, clocks.get_s())
        self._saved.record()
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
