"""Load report of an upstream."""


class LoadReport:
    """What an upstream said of its load, some time ago.

    :ivar running: requests running.
    :ivar waiting: requests waiting inside the upstream.
    :ivar kv_used_tokens: tokens held in the engine's key-value memory; 0 for a plain service.
    :ivar kv_capacity_tokens: size of that memory in tokens; 0 where it is not reported.
    :ivar preemptions: preemptions since the engine started.
    :ivar received_s: monotonic time of its arrival here, in seconds.
    """

    __slots__ = (
        "kv_capacity_tokens",
        "kv_used_tokens",
        "preemptions",
        "received_s",
        "running",
        "waiting",
    )

    def __init__(
        self,
        *,
        running: int,
        waiting: int,
        kv_used_tokens: int,
        kv_capacity_tokens: int,
        preemptions: int,
        received_s: float,
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.kv_used_tokens = kv_used_tokens
        self.kv_capacity_tokens = kv_capacity_tokens
        self.preemptions = preemptions
        self.received_s = received_s
