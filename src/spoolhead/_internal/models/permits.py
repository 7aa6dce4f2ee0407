"""Messages by which an entry asks another for leave to send a request to a limited instance."""

import enum

import msgpack

from spoolhead._internal.models import rate_limit

REQUEST = 4
REPLY = 5
"""Tags of the datagrams."""


class Verdict(enum.IntEnum):
    """What becomes of an ask."""

    GRANTED = 1
    QUEUED = 2
    """It waits; another reply follows."""
    REJECTED = 3
    UNLIMITED = 4
    """The instance states no limit any more."""


class PermitRequest:
    """One request that wants to go to a limited instance.

    :ivar sender: name of the entry that asks.
    :ivar hall: its hall.
    :ivar permit_id: number of the ask, unique at that entry; sent again with the same number.
    :ivar key: number by which datagrams name the instance.
    :ivar turn: 0 for the first granter of the instance, 1 for the one that stands in for it, ...
    :ivar rank: rank of the request, 0 for the most urgent.
    :ivar is_retry: it is not the request's first attempt.
    :ivar workspace: number that stands for the workspace.
    :ivar wait_ms: time for which the ask may wait at the granter.
    :ivar is_final: the request is refused if this is rejected, for want of another instance.
    :ivar stated: what the sender knows that the instance stated.
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
    """What becomes of an ask.

    :ivar permit_id: its number.
    :ivar verdict: what becomes of it.
    :ivar retry_after_ms: when the caller of a request that is refused now should come back.
    :ivar backoff_ms: time for which the entry should not ask again where it was rejected.
    :ivar stated: what the granter knows that the instance stated; None if nothing.
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


def encode_permit_request(ask: PermitRequest) -> bytes:
    """Write an ask."""
    fields = [ask.sender, ask.hall, ask.permit_id, ask.turn, ask.rank, ask.is_retry]
    fields += [ask.workspace, ask.wait_ms, ask.is_final]
    return msgpack.packb([REQUEST, *fields, rate_limit.pack([ask.stated])])


def encode_reply(reply: PermitReply) -> bytes:
    """Write a reply."""
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
    """Read the fields of an ask.

    :raises ValueError: if they are none.
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
    """Read the fields of a reply.

    :raises ValueError: if they are none.
    """
    limits = rate_limit.unpack(stated)
    return PermitReply(
        permit_id=int(permit_id),
        verdict=Verdict(verdict),
        retry_after_ms=int(retry_after_ms),
        backoff_ms=int(backoff_ms),
        stated=limits[0] if limits else None,
    )
