"""Datagrams by which an entry requests a permit to send a request to a rate-limited instance."""

import enum

import msgpack

from spoolhead._internal.models import rate_limit

REQUEST = 4
REPLY = 5
"""Tags of the datagrams."""


class Verdict(enum.IntEnum):
    """Answer of the granter to a request for a permit."""

    GRANTED = 1
    QUEUED = 2
    """The request waits at the granter; another reply follows."""
    REJECTED = 3
    UNLIMITED = 4
    """The instance no longer states a limit, so no permit is needed."""


class PermitRequest:
    """Request for a permit to send a caller's request to a rate-limited instance.

    :ivar sender: name of the requesting entry.
    :ivar hall: hall of that entry.
    :ivar permit_id: number of the permit, unique at that entry; the same in each retransmission.
    :ivar key: key of the instance, see :func:`shared_load.get_key`.
    :ivar turn: 0 for the first granter of the instance, 1 for its first substitute, and so on.
    :ivar rank: rank of the caller's request, 0 for the most urgent.
    :ivar is_retry: whether the permit is for a repeated attempt of the caller's request.
    :ivar workspace: number that stands for the workspace.
    :ivar wait_ms: time for which the permit request may wait at the granter.
    :ivar is_final: whether no other instance is available, so that the caller's request is refused
        if the permit request is rejected.
    :ivar stated: the limit that the instance stated, as known to the sender.
    """

    __slots__ = (
        "permit_id",
        "hall",
        "is_final",
        "is_retry",
        "key",
        "rank",
        "sender",
        "stated",
        "turn",
        "wait_ms",
        "workspace",
    )

    def __init__(
        self,
        *,
        sender: str,
        hall: str,
        permit_id: int,
        key: int,
        turn: int,
        rank: int,
        is_retry: bool,
        workspace: int,
        wait_ms: int,
        is_final: bool,
        stated: rate_limit.AgedLimit,
    ) -> None:
        self.sender = sender
        self.hall = hall
        self.permit_id = permit_id
        self.key = key
        self.turn = turn
        self.rank = rank
        self.is_retry = is_retry
        self.workspace = workspace
        self.wait_ms = wait_ms
        self.is_final = is_final
        self.stated = stated


class PermitReply:
    """Reply to a :class:`PermitRequest`.

    :ivar permit_id: number of the permit.
    :ivar verdict: the granter's answer.
    :ivar retry_after_ms: time after which the caller of a refused request should retry.
    :ivar backoff_ms: time for which the entry should request no permits after a rejection.
    :ivar stated: the limit that the instance stated, as known to the granter; None if unknown.
    """

    __slots__ = ("permit_id", "backoff_ms", "retry_after_ms", "stated", "verdict")

    def __init__(
        self,
        *,
        permit_id: int,
        verdict: Verdict,
        retry_after_ms: int = 0,
        backoff_ms: int = 0,
        stated: rate_limit.AgedLimit | None = None,
    ) -> None:
        self.permit_id = permit_id
        self.verdict = verdict
        self.retry_after_ms = retry_after_ms
        self.backoff_ms = backoff_ms
        self.stated = stated


def encode_permit_request(request: PermitRequest) -> bytes:
    """Return a request as a datagram."""
    fields = [
        request.sender,
        request.hall,
        request.permit_id,
        request.turn,
        request.rank,
        request.is_retry,
    ]
    fields += [request.workspace, request.wait_ms, request.is_final]
    return msgpack.packb([REQUEST, *fields, rate_limit.pack([request.stated])])


def encode_reply(reply: PermitReply) -> bytes:
    """Return a reply as a datagram."""
    stated = rate_limit.pack([reply.stated] if reply.stated is not None else [])
    fields = [reply.permit_id, int(reply.verdict), reply.retry_after_ms, reply.backoff_ms]
    return msgpack.packb([REPLY, *fields, stated])


def read_permit_request(
    sender: object,
    hall: object,
    permit_id: int,
    turn: int,
    rank: int,
    is_retry: object,
    workspace: int,
    wait_ms: int,
    is_final: object,
    stated: list,
) -> PermitRequest:
    """Return the request from the fields of a datagram.

    :raises ValueError: if the fields are not valid.
    """
    (limit,) = rate_limit.unpack(stated)
    return PermitRequest(
        sender=str(sender),
        hall=str(hall),
        permit_id=int(permit_id),
        key=limit.key,
        turn=int(turn),
        rank=int(rank),
        is_retry=bool(is_retry),
        workspace=int(workspace),
        wait_ms=int(wait_ms),
        is_final=bool(is_final),
        stated=limit,
    )


def read_reply(
    permit_id: int, verdict: int, retry_after_ms: int, backoff_ms: int, stated: list
) -> PermitReply:
    """Return the reply from the fields of a datagram.

    :raises ValueError: if the fields are not valid.
    """
    limits = rate_limit.unpack(stated)
    return PermitReply(
        permit_id=int(permit_id),
        verdict=Verdict(verdict),
        retry_after_ms=int(retry_after_ms),
        backoff_ms=int(backoff_ms),
        stated=limits[0] if limits else None,
    )
