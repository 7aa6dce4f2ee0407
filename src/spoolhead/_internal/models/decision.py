"""Routing and placement decisions, as logged and shown to operators."""

from collections.abc import Sequence

from spoolhead._internal.models import codes
from spoolhead._internal.policy import placement


class Decision:
    """A decision on a request.

    :ivar request_id: id of the request.
    :ivar workspace: workspace of the request; empty if the API key is unknown.
    :ivar service: service of the request; empty if it is unknown.
    :ivar action: the decision, such as ``run``, ``refuse``, ``retry``, ``resume``, ``end``.
    :ivar upstream: the chosen upstream; empty for none.
    :ivar code: result code.
    :ivar wait_ms: time since the request arrived.
    :ivar candidates: upstreams that were considered, and why each was not chosen.
    :ivar text: further details for a person.
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
        """Return the fields of a log line or of an answer to an operator."""
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
