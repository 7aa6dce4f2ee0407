"""A request at an instance, as the evidence about what crashes instances describes it."""

from spoolhead._internal.models import request_keys


class SentRun:
    """A request that an instance received.

    :ivar incarnation_id: incarnation of the instance.
    :ivar keys: keys of the request.
    :ivar sent_s: monotonic time at which it was sent there.
    :ivar begun_s: monotonic time at which its answer began: the first event of a stream, or the
        head of another answer; None if it has not begun.
    """

    __slots__ = ("begun_s", "incarnation_id", "keys", "sent_s")

    def __init__(
        self,
        incarnation_id: str,
        keys: request_keys.RequestKeys,
        *,
        sent_s: float,
        begun_s: float | None = None,
    ) -> None:
        self.incarnation_id = incarnation_id
        self.keys = keys
        self.sent_s = sent_s
        self.begun_s = begun_s
