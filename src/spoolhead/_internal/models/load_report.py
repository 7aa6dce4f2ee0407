"""Load reports that upstreams serve."""


class LoadReport:
    """Load of an upstream at the time of a report.

    :ivar running: number of running requests.
    :ivar waiting: number of requests queued in the upstream.
    :ivar kv_used_tokens: used tokens of the engine's key-value cache; 0 for a plain service.
    :ivar kv_capacity_tokens: size of that cache in tokens; 0 if not reported.
    :ivar preemptions: number of preemptions since the engine started.
    :ivar received_s: monotonic time at which the report was received, in seconds.
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
