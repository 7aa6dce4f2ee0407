"""Requests permits for rate-limited instances from other entries, and grants permits to them."""

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
"""Wait for a reply; a few times the longest latency between two regions."""
MAX_MISSED_REPLIES = 3
"""Consecutive requests without a reply after which a granter counts as silent."""
UNANSWERED_BACKOFF_MS = 250
"""Backoff of requests for an instance if none of its granters replied."""
SILENT_GRANTER_TTL_S = 5.0
"""Time for which a silent granter is skipped."""
MIN_POLL_DELAY_S = 0.001


class PermitTerms:
    """The properties of a request that a granter considers.

    :ivar request_priority: rank and workspace of the request.
    :ivar is_retry: whether this is not the request's first attempt.
    :ivar wait_ms: time for which the request can wait for a permit.
    :ivar is_final: whether no other instance is left for the request.
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
    """A permit request without a final reply."""

    __slots__ = ("on_reply", "terms", "timer", "turn", "upstream")

    def __init__(
        self,
        upstream: upstream_registry.Upstream,
        terms: PermitTerms,
        on_reply: Callable[[bool], None],
        turn: int,
    ) -> None:
        self.upstream = upstream
        self.terms = terms
        self.on_reply = on_reply
        self.turn = turn
        self.timer: scheduler.Timer | None = None


class PermitExchange:
    """Requests permits from the granters of instances, and grants permits itself.

    :param timers: scheduler for timers.
    :param config: the entry's settings.
    :param limits: rate limits that instances stated.
    :param send: sends a datagram.
    :param first_id: greater than every id that a previous incarnation of the entry used.
    :param clock: monotonic time in seconds.
    :ivar backoff: backoff after the rejections that this entry received.
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
        self._missed_replies: collections.Counter[str] = collections.Counter()
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._last_id = first_id
        self._poll_timer: scheduler.Timer | None = None
        self.backoff = permit_backoff.PermitBackoff()

    def set_entries(self, entries: Sequence[fleet.Process]) -> None:
        """Set the known entries, including this one."""
        self._entries = entries
        self._granters.clear()
        known = {entry.name for entry in entries}
        self._addresses = {
            name: address for name, address in self._addresses.items() if name in known
        }
        self._missed_replies.clear()
        self._silent_until_s = {
            name: until_s for name, until_s in self._silent_until_s.items() if name in known
        }

    def request_permit(
        self,
        upstream: upstream_registry.Upstream,
        request: PermitTerms,
        on_reply: Callable[[bool], None],
    ) -> None:
        """Request a permit to send a request to an instance.

        :param on_reply: called later with whether the permit was granted.
        """
        self._last_id += 1
        pending = _PendingRequest(
            upstream, request, on_reply, self._find_responsive_turn(upstream, 0)
        )
        self._pending_requests[self._last_id] = pending
        self._send_request(self._last_id)

    def handle_datagram(
        self, message: permits.PermitRequest | permits.PermitReply, sender: endpoints.Endpoint
    ) -> None:
        """Handle a datagram of another entry."""
        if isinstance(message, permits.PermitReply):
            self._record_reply(message.permit_id)
            self._handle_reply(message)
            return
        self._addresses[message.sender] = sender
        self._handle_permit_request(message)

    def refresh(self) -> None:
        """Clear the cached granters and expired state; due after the instance list has changed."""
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
        """Return the index of the first granter that is not silent, beginning at an index.

        :returns: the number of granters if the remaining ones are all silent.
        """
        granters = self._get_granters(upstream)
        now_s = self._clock()
        for turn in range(from_turn, len(granters)):
            if self._silent_until_s.get(granters[turn].name, 0.0) <= now_s:
                return turn
        return len(granters)

    def _send_request(self, permit_id: int) -> None:
        pending = self._pending_requests[permit_id]
        granters = self._get_granters(pending.upstream)
        if pending.turn >= len(granters):
            self._reject_unanswered(permit_id)
            return
        pending.timer = self._timers.call_later(
            REPLY_TIMEOUT_S, lambda: self._on_reply_timeout(permit_id)
        )
        granter = granters[pending.turn]
        message = self._make_permit_request(permit_id, pending)
        if granter.name == self._name:
            # Reply asynchronously, as other entries do.
            self._timers.call_later(0.0, lambda: self._handle_permit_request(message))
        else:
            self._send(permits.encode_permit_request(message), granter.endpoint)

    def _make_permit_request(
        self, permit_id: int, pending: _PendingRequest
    ) -> permits.PermitRequest:
        key = pending.upstream.key
        stated = self._limits.registry.get_aged([key], self._clock())
        return permits.PermitRequest(
            sender=self._name,
            hall=self._hall,
            permit_id=permit_id,
            key=key,
            turn=pending.turn,
            rank=pending.terms.request_priority.rank,
            is_retry=pending.terms.is_retry,
            workspace=xxhash.xxh32_intdigest(pending.terms.request_priority.workspace.encode()),
            wait_ms=pending.terms.wait_ms,
            is_final=pending.terms.is_final,
            stated=stated[0] if stated else rate_limit.AgedLimit(key, None, 0),
        )

    def _on_reply_timeout(self, permit_id: int) -> None:
        pending = self._pending_requests.get(permit_id)
        if pending is None:
            return
        granters = self._get_granters(pending.upstream)
        if pending.turn < len(granters):
            self._record_missed(granters[pending.turn], pending)
        if not pending.terms.wait_ms:
            # A request that cannot wait tries another instance instead of another granter.
            self._reject_unanswered(permit_id)
            return
        pending.turn = self._find_responsive_turn(pending.upstream, pending.turn)
        self._send_request(permit_id)

    def _record_missed(self, granter: fleet.Process, pending: _PendingRequest) -> None:
        self._missed_replies[granter.name] += 1
        if self._missed_replies[granter.name] < MAX_MISSED_REPLIES:
            return
        del self._missed_replies[granter.name]
        self._silent_until_s[granter.name] = self._clock() + SILENT_GRANTER_TTL_S
        fields = {"entry": granter.name, "upstream": pending.upstream.instance.incarnation_id}
        logger.warning("granter of permits does not reply", extra={"fields": fields})

    def _reject_unanswered(self, permit_id: int) -> None:
        """Treat a request that no granter answers as rejected."""
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
        pending = self._pending_requests.get(reply.permit_id)
        if pending is None:
            return
        if pending.timer is not None:
            pending.timer.cancel()
        if reply.verdict is permits.Verdict.QUEUED:
            wait_s = pending.terms.wait_ms / 1000 + REPLY_TIMEOUT_S
            pending.timer = self._timers.call_later(
                wait_s, lambda: self._reject_unanswered(reply.permit_id)
            )
            return
        del self._pending_requests[reply.permit_id]
        is_granted = reply.verdict is not permits.Verdict.REJECTED
        if not is_granted:
            self._record_backoff(pending, reply, now_s)
        pending.on_reply(is_granted)

    def _record_reply(self, permit_id: int) -> None:
        pending = self._pending_requests.get(permit_id)
        granters = self._get_granters(pending.upstream) if pending is not None else []
        if pending is not None and pending.turn < len(granters):
            self._missed_replies.pop(granters[pending.turn].name, None)

    def _record_backoff(
        self, pending: _PendingRequest, reply: permits.PermitReply, now_s: float
    ) -> None:
        request_priority = pending.terms.request_priority
        self.backoff.record(
            pending.upstream.key,
            request_priority.rank,
            request_priority.workspace,
            retry_after_ms=reply.retry_after_ms,
            backoff_ms=reply.backoff_ms,
            now_s=now_s,
        )

    def _handle_permit_request(self, message: permits.PermitRequest) -> None:
        now_s = self._clock()
        self._limits.merge([message.stated], now_s, reported_by=message.sender)
        self._send_replies(self._granter.handle_request(message, now_s))
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
        for addressed_reply in replies:
            if addressed_reply.receiver == self._name:
                self._handle_reply(addressed_reply.reply)
            elif addressed_reply.receiver in self._addresses:
                self._send(
                    permits.encode_reply(addressed_reply.reply),
                    self._addresses[addressed_reply.receiver],
                )
