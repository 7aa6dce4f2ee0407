"""A routing or placement decision, as it is logged and explained."""

from collections.abc import Sequence

from spoolhead._internal.models import codes
from spoolhead._internal.policy import placement


class Decision:
    """One decision on one request.

    :ivar request_id: the request.
    :ivar workspace: whose it is; empty where the key was not known.
    :ivar service: for what; empty where that was not known.
    :ivar action: what was decided, such as ``run``, ``refuse``, ``retry``, ``resume``, ``end``.
    :ivar upstream: the chosen upstream; empty for none.
    :ivar code: result code.
    :ivar wait_ms: time since the request arrived.
    :ivar candidates: upstreams looked at and why the others lost.
    :ivar text: what else there is to say.
    """

    __slots__ = (
        "action",
        "candidates",
        "code",
        "request_id",
        "service",
        "text",
        "upstream",
        "wait_ms",
        "workspace",
    )

    def __init__(
        self,
        *,
        request_id: str,
        workspace: str,
        service: str,
        action: str,
        code: codes.ResultCode,
        wait_ms: int,
        upstream: str = "",
        candidates: Sequence[placement.Candidate] = (),
        text: str = "",
    ) -> None:
        self.request_id = request_id
        self.workspace = workspace
        self.service = service
        self.action = action
        self.code = code
        self.wait_ms = wait_ms
        self.upstream = upstream
        self.candidates = candidates
        self.text = text

    def get_fields(self) -> dict[str, object]:
        """Return the fields for a log line or an answer to an operator."""
        return {
            "request_id": self.request_id,
            "workspace": self.workspace,
            "service": self.service,
            "action": self.action,
            "upstream": self.upstream,
            "result_code": int(self.code),
            "result": self.code.name,
            "wait_ms": self.wait_ms,
            "candidates": [
                {
                    "upstream": item.name,
                    "fill": round(item.fill, 3),
                    "lost_because": item.lost_because,
                }
                for item in self.candidates
            ],
            "detail": self.text,
        }
