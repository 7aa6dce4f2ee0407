"""A caller's request after it has been checked."""

from collections.abc import Sequence

from spoolhead._internal.models import rows

Headers = Sequence[tuple[str, str]]


class CallerRequest:
    """What a caller asked for.

    :ivar request_id: id given by this entry.
    :ivar workspace: workspace of the API key.
    :ivar service_name: model or plain service.
    :ivar service: its row when the request arrived.
    :ivar method: HTTP method.
    :ivar target: path and query at the upstream.
    :ivar headers: headers that the upstream gets.
    :ivar body: body that the upstream gets.
    :ivar wants_stream: the answer is to be streamed.
    :ivar is_once: the request must not be repeated.
    :ivar once_key: key under which it may run only once; empty without one.
    :ivar prompt_tokens: size of the prompt, estimated.
    :ivar limit_tokens: longest that the answer may become; 0 for a plain service.
    :ivar arrived_s: monotonic time of arrival, in seconds.
    :ivar deadline_s: monotonic time by which the answer must be complete.
    :ivar content_id: name of what it asks, the same for each repeat of it.
    :ivar is_trial: it is held and runs by itself, to show whether it is sound.
    :ivar resume: where to go on with a generation that runs already, or None.
    """

    __slots__ = (
        "arrived_s",
        "body",
        "content_id",
        "deadline_s",
        "headers",
        "is_once",
        "is_trial",
        "limit_tokens",
        "method",
        "once_key",
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
        self.content_id = b""
        self.resume: ResumePoint | None = None

    @property
    def is_model(self) -> bool:
        """Whether it goes to a model engine."""
        return self.service.kind is rows.ServiceKind.MODEL


class ResumePoint:
    """Where an answer is to go on.

    :ivar upstream: name of the upstream that runs the generation.
    :ivar generation: id of the generation there.
    :ivar next_index: index of the first event that the caller has not got.
    """

    __slots__ = ("generation", "next_index", "upstream")

    def __init__(self, upstream: str, generation: str, next_index: int) -> None:
        self.upstream = upstream
        self.generation = generation
        self.next_index = next_index
