"""Sends requests of services that this entry cannot reach to other entries."""

from collections.abc import Callable

from spoolhead._internal.gateway import reach_watch, routed_job
from spoolhead._internal.models import fleet, settings
from spoolhead._internal.network import (
    forward_messages,
    forward_server,
    links,
    upstream_calls,
)
from spoolhead._internal.network import loop as loops
from spoolhead._internal.policy import peer_choice

CONNECT_MS = 250
"""Timeout for connecting to another entry."""
ACCEPT_TIMEOUT_S = 0.25
"""Time within which another entry must request the body of a forwarded request. Until then the
request cannot have run, so another entry can be asked."""


class Forwarding:
    """The way from this entry to others.

    :param calls: makes HTTP requests to other entries.
    :param config: the entry's settings.
    :param reach: services that this entry cannot reach.
    :ivar peers: chooses the entry to ask.
    :ivar get_silent_halls: returns the silent halls.
    :ivar take_over: called with a job and its caller, to forward the request from now on.
    """

    __slots__ = ("_calls", "_config", "_reach", "get_silent_halls", "peers", "take_over")

    def __init__(
        self,
        calls: upstream_calls.UpstreamCalls,
        config: settings.GatewaySettings,
        reach: reach_watch.ReachWatch,
        peers: peer_choice.PeerChoice,
        *,
        get_silent_halls: Callable[[], frozenset[str]],
        take_over: Callable[[routed_job.Job, forward_server.AnyCaller], None],
    ) -> None:
        self._calls = calls
        self._config = config
        self._reach = reach
        self.peers = peers
        self.get_silent_halls = get_silent_halls
        self.take_over = take_over

    def is_needed(self, service: str) -> bool:
        """Return whether requests of a service must be forwarded."""
        return self._reach.is_out_of_reach(service) and self.peers.has_peers

    def open_call(
        self,
        peer: fleet.Process,
        item: forward_messages.ForwardedRequest,
        listener: upstream_calls.CallListener,
    ) -> upstream_calls.UpstreamCall:
        """Forward a request to another entry."""
        body = forward_messages.encode_parts(item)
        proof = forward_messages.sign(self._config.shared_key, *body)
        headers = [(forward_messages.PROOF_HEADER, proof), ("expect", "100-continue")]
        head = upstream_calls.make_head(
            "POST",
            forward_messages.PATH,
            peer.address,
            headers,
            body_bytes=sum(len(part) for part in body),
        )
        return self._calls.open(
            peer.address,
            head,
            listener,
            fresh=True,
            is_head=item.request.method == "HEAD",
            body=body,
            withholds_body=True,
            max_body_bytes=None,
        )


def make_calls(loop: loops.Loop, outgoing: links.Links) -> upstream_calls.UpstreamCalls:
    """Return a client for other entries."""
    return upstream_calls.UpstreamCalls(
        loop, outgoing, settings.UpstreamSettings(connect_ms=CONNECT_MS)
    )
