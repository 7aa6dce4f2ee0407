"""An entry's datagrams about permits: those it asks for and those it grants."""

import collections
import logging
from collections.abc import Callable, Iterable, Sequence

import xxhash

from spoolhead._internal.gateway import upstream_limits
from spoolhead._internal.models import fleet, permits, rate_limit, settings
from spoolhead._internal.network import scheduler
from spoolhead._internal.policy import (
    granter_choice,
    permit_backoff,
    permit_granter,
    upstream_gate,
    upstream_registry,
)
from spoolhead._internal.utils import clocks, endpoints

logger = logging.getLogger(__name__)

REPLY_TIMEOUT_S = 0.06
"""Wait for a reply: a few times the longest way between two regions."""
MAX_MISSED_REPLIES = 3
"""Asks in a row without a reply after which a granter counts as silent."""
UNANSWERED_BACKOFF_MS = 250
"""Time without an ask for an instance after none of its granters replied."""
SILENT_GRANTER_TTL_S = 5.0
"""Time for which a silent granter is passed over."""
MIN_POLL_DELAY_S = 0.001


class PermitTerms:
    """What a granter has to know of a request.

    :ivar request_priority: its rank and workspace.
    :ivar is_retry: it is not the request's first attempt.
    :ivar wait_ms: time for which it may wait for a permit.
    :ivar is_final: there is no other instance that it could ask for.
    """

    __slots__ = ("request_priority", "is_final", "is_retry", "wait_ms")

    def __init__(
        self,
        request_priority: upstream_gate.RequestPriority,
        *,
        is_retry: bool,
        wait_ms: int,
        is_final: bool,
    ) -> None:
        self.request_priority = request_priority
        self.is_retry = is_retry
        self.wait_ms = wait_ms
        self.is_final = is_final


class _PendingRequest:
    """An ask without a last reply."""

    __slots__ = ("on_reply", "request", "timer", "turn", "upstream")

    def __init__(
        self,
        upstream: upstream_registry.Upstream,
        request: PermitTerms,
        on_reply: Callable[[bool], None],
        turn: int,
    ) -> None:
        self.upstream = upstream
        self.request = request
        self.on_reply = on_reply
        self.turn = turn
        self.timer: scheduler.Timer | None = None


class PermitExchange:
    """Asks other entries for permits, and grants them.

    :param timers: calls back.
    :param config: the entry's settings.
    :param limits: rate limits that instances stated.
    :param send: sends a datagram.
    :param first_id: above every number that a former run of the entry gave out.
    :ivar backoff: rejections that this entry got.
    """

    def __init__(
        self,
        timers: scheduler.Scheduler,
        config: settings.GatewaySettings,
        limits: upstream_limits.UpstreamLimits,
        *,
        send: Callable[[bytes, endpoints.Endpoint], None],
        first_id: int,
        clock: clocks.Clock = clocks.get_s,
    ) -> None:
        self._timers = timers
        self._limits = limits
        self._send = send
        self._clock = clock
        self._name = config.name
        self._hall = config.hall
        own = fleet.Process(name=config.name, hall=config.hall, address="")
        self._entries: Sequence[fleet.Process] = (own,)
        self._granters: dict[str, list[fleet.Process]] = {}
        self._granter = permit_granter.PermitGranter(limits.registry)
        self._addresses: dict[str, endpoints.Endpoint] = {}
        self._silent_until_s: dict[str, float] = {}
        self._missed: collections.Counter[str] = collections.Counter()
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._last_id = first_id
        self._poll_timer: scheduler.Timer | None = None
        self.backoff = permit_backoff.PermitBackoff()

    def set_entries(self, entries: Sequence[fleet.Process]) -> None:
        """Take over which entries there are, this one among them."""
        self._entries = entries
        self._granters.clear()
        known = {entry.name for entry in entries}
        self._addresses = {name: to for name, to in self._addresses.items() if name in known}
        self._missed.clear()
        self._silent_until_s = {
            name: until_s for name, until_s in self._silent_until_s.items() if name in known
        }

    def request_permit(
        self,
        upstream: upstream_registry.Upstream,
        request: PermitTerms,
        on_reply: Callable[[bool], None],
    ) -> None:
        """Ask for a permit to send a request to an instance.

        :param on_reply: called later with whether the request may go there.
        """
        self._last_id += 1
        ask = _PendingRequest(upstream, request, on_reply, self._find_responsive_turn(upstream, 0))
        self._pending_requests[self._last_id] = ask
        self._send_request(self._last_id)

    def handle_datagram(
        self, message: permits.PermitRequest | permits.PermitReply, sender: endpoints.Endpoint
    ) -> None:
        """Take a datagram of another entry."""
        if isinstance(message, permits.PermitReply):
            self._record_reply(message.permit_id)
            self._handle_reply(message)
            return
        self._addresses[message.sender] = sender
        self._handle_permit_request(message)

    def refresh(self) -> None:
        """Work out anew who grants for whom; due when the list of instances has changed."""
        now_s = self._clock()
        self._granters.clear()
        self._granter.expire(now_s)
        self.backoff.expire(now_s)

    def _get_granters(self, upstream: upstream_registry.Upstream) -> list[fleet.Process]:
        incarnation_id = upstream.instance.incarnation_id
        granters = self._granters.get(incarnation_id)
        if granters is None:
            granters = granter_choice.get_granters(self._entries, upstream.instance)
            self._granters[incarnation_id] = granters
        return granters

    def _find_responsive_turn(self, upstream: upstream_registry.Upstream, from_turn: int) -> int:
        """Return the first granter from one on that is not known to be silent."""
        granters = self._get_granters(upstream)
        now_s = self._clock()
        for turn in range(from_turn, len(granters)):
            if self._silent_until_s.get(granters[turn].name, 0.0) <= now_s:
                return turn
        return len(granters)

    def _send_request(self, permit_id: int) -> None:
        ask = self._pending_requests[permit_id]
        granters = self._get_granters(ask.upstream)
        if ask.turn >= len(granters):
            self._reject_unanswered(permit_id)
            return
        ask.timer = self._timers.call_later(
            REPLY_TIMEOUT_S, lambda: self._on_reply_timeout(permit_id)
        )
        granter = granters[ask.turn]
        message = self._make_permit_request(permit_id, ask)
        if granter.name == self._name:
            # Replies come after this call, as those of other entries do.
            self._timers.call_later(0.0, lambda: self._handle_permit_request(message))
        else:
            self._send(permits.encode_permit_request(message), granter.endpoint)

    def _make_permit_request(self, permit_id: int, ask: _PendingRequest) -> permits.PermitRequest:
        key = ask.upstream.key
        stated = self._limits.registry.get_aged([key], self._clock())
        return permits.PermitRequest(
            sender=self._name,
            hall=self._hall,
            permit_id=permit_id,
            key=key,
            turn=ask.turn,
            rank=ask.request.request_priority.rank,
            is_retry=ask.request.is_retry,
            workspace=xxhash.xxh32_intdigest(ask.request.request_priority.workspace.encode()),
            wait_ms=ask.request.wait_ms,
            is_final=ask.request.is_final,
            stated=stated[0] if stated else rate_limit.AgedLimit(key, None, 0),
        )

    def _on_reply_timeout(self, permit_id: int) -> None:
        ask = self._pending_requests.get(permit_id)
        if ask is None:
            return
        granters = self._get_granters(ask.upstream)
        if ask.turn < len(granters):
            self._record_missed(granters[ask.turn], ask)
        if not ask.request.wait_ms:
            # Another instance may take the request at once.
            self._reject_unanswered(permit_id)
            return
        ask.turn = self._find_responsive_turn(ask.upstream, ask.turn)
        self._send_request(permit_id)

    def _record_missed(self, granter: fleet.Process, ask: _PendingRequest) -> None:
        self._missed[granter.name] += 1
        if self._missed[granter.name] < MAX_MISSED_REPLIES:
            return
        del self._missed[granter.name]
        self._silent_until_s[granter.name] = self._clock() + SILENT_GRANTER_TTL_S
        fields = {"entry": granter.name, "upstream": ask.upstream.instance.incarnation_id}
        logger.warning("granter of permits does not reply", extra={"fields": fields})

    def _reject_unanswered(self, permit_id: int) -> None:
        """Take the silence of all granters for a rejection."""
        reply = permits.PermitReply(
            permit_id=permit_id,
            verdict=permits.Verdict.REJECTED,
            retry_after_ms=UNANSWERED_BACKOFF_MS,
            backoff_ms=UNANSWERED_BACKOFF_MS,
        )
        self._timers.call_later(0.0, lambda: self._handle_reply(reply))

    def _handle_reply(self, reply: permits.PermitReply) -> None:
        now_s = self._clock()
        if reply.stated is not None:
            self._limits.merge([reply.stated], now_s, reported_by="granter")
        ask = self._pending_requests.get(reply.permit_id)
        if ask is None:
            return
        if ask.timer is not None:
            ask.timer.cancel()
        if reply.verdict is permits.Verdict.QUEUED:
            wait_s = ask.request.wait_ms / 1000 + REPLY_TIMEOUT_S
            ask.timer = self._timers.call_later(
                wait_s, lambda: self._reject_unanswered(reply.permit_id)
            )
            return
        del self._pending_requests[reply.permit_id]
        is_granted = reply.verdict is not permits.Verdict.REJECTED
        if not is_granted:
            self._record_backoff(ask, reply, now_s)
        ask.on_reply(is_granted)

    def _record_reply(self, permit_id: int) -> None:
        ask = self._pending_requests.get(permit_id)
        granters = self._get_granters(ask.upstream) if ask is not None else []
        if ask is not None and ask.turn < len(granters):
            self._missed.pop(granters[ask.turn].name, None)

    def _record_backoff(
        self, ask: _PendingRequest, reply: permits.PermitReply, now_s: float
    ) -> None:
        request_priority = ask.request.request_priority
        self.backoff.record(
            ask.upstream.key,
            request_priority.rank,
            request_priority.workspace,
            retry_after_ms=reply.retry_after_ms,
            backoff_ms=reply.backoff_ms,
            now_s=now_s,
        )

    def _handle_permit_request(self, ask: permits.PermitRequest) -> None:
        now_s = self._clock()
        self._limits.merge([ask.stated], now_s, reported_by=ask.sender)
        self._send_replies(self._granter.handle_request(ask, now_s))
        self._schedule_poll()

    def _poll(self) -> None:
        self._poll_timer = None
        self._send_replies(self._granter.poll(self._clock()))
        self._schedule_poll()

    def _schedule_poll(self) -> None:
        if self._poll_timer is not None:
            self._poll_timer.cancel()
            self._poll_timer = None
        now_s = self._clock()
        due_s = self._granter.get_due_s(now_s)
        if due_s is not None:
            delay_s = max(MIN_POLL_DELAY_S, due_s - now_s)
            self._poll_timer = self._timers.call_later(delay_s, self._poll)

    def _send_replies(self, replies: Iterable[permit_granter.AddressedReply]) -> None:
        for item in replies:
            if item.receiver == self._name:
                self._handle_reply(item.reply)
            elif item.receiver in self._addresses:
                self._send(permits.encode_reply(item.reply), self._addresses[item.receiver])
