"""Callers' requests after they were checked."""

from collections.abc import Sequence

from spoolhead._internal.models import request_keys, rows

Headers = Sequence[tuple[str, str]]


class CallerRequest:
    """A checked request from a caller.

    :ivar request_id: id given by this entry.
    :ivar workspace: workspace of the API key.
    :ivar service_name: name of the model or plain service.
    :ivar service: row of the service when the request arrived.
    :ivar method: HTTP method.
    :ivar target: path and query at the upstream.
    :ivar headers: headers to send to the upstream.
    :ivar body: body to send to the upstream.
    :ivar wants_stream: whether the answer is to be streamed.
    :ivar is_once: whether the request must not be repeated.
    :ivar once_key: idempotency key under which the request may run only once; empty for none.
    :ivar prompt_tokens: estimated number of tokens of the prompt.
    :ivar limit_tokens: maximum number of tokens of the answer; 0 for a plain service.
    :ivar arrived_s: monotonic time of arrival, in seconds.
    :ivar deadline_s: monotonic time by which the answer must be complete, in seconds.
    :ivar keys: keys of what may crash the upstream that runs the request.
    :ivar is_trial: whether the content is held and this request is its trial.
    :ivar part_ids: ids of the parts of its prompt that other requests may share.
    :ivar resume: point at which a running generation is to be continued; None for a new one.
    """

    __slots__ = (
        "arrived_s",
        "body",
        "deadline_s",
        "headers",
        "is_once",
        "is_trial",
        "keys",
        "limit_tokens",
        "method",
        "once_key",
        "part_ids",
        "prompt_tokens",
        "request_id",
        "resume",
        "service",
        "service_name",
        "target",
        "wants_stream",
        "workspace",
    )

    def __init__(
        self,
        *,
        request_id: str,
        workspace: str,
        service_name: str,
        service: rows.ServiceRow,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        arrived_s: float,
        deadline_s: float,
    ) -> None:
        self.request_id = request_id
        self.workspace = workspace
        self.service_name = service_name
        self.service = service
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.wants_stream = False
        self.is_once = False
        self.is_trial = False
        self.once_key = ""
        self.prompt_tokens = 0
        self.limit_tokens = 0
        self.keys = request_keys.RequestKeys()
        self.part_ids: tuple[str, ...] = ()
        self.resume: ResumePoint | None = None

    @property
    def is_model(self) -> bool:
        """Whether the request goes to a model engine."""
        return self.service.kind is rows.ServiceKind.MODEL


class ResumePoint:
    """Point at which the answer of a running generation is continued.

    :ivar upstream: name of the upstream that runs the generation.
    :ivar generation: id of the generation at the upstream.
    :ivar next_index: index of the first event that the caller has not received.
    """

    __slots__ = ("generation", "next_index", "upstream")

    def __init__(self, upstream: str, generation: str, next_index: int) -> None:
        self.upstream = upstream
        self.generation = generation
        self.next_index = next_index
