"""Keys of what may crash the instance that runs a request: its content and parts of its prompt."""


class RequestKeys:
    """The keys of one request.

    :ivar content: key of the whole request, equal for repeated requests; empty for a request that
        starts no run.
    :ivar all: all keys.
    :ivar parts: for the key of each part of its prompt that other requests may share, the id of
        the part.
    """

    __slots__ = ("all", "content", "parts")

    def __init__(self, content: bytes = b"", parts: dict[bytes, str] | None = None) -> None:
        self.content = content
        self.parts = parts or {}
        contents = (content,) if content else ()
        self.all: tuple[bytes, ...] = (*contents, *self.parts)
