"""State of each upstream at an entry: its load report and the requests that the entry sent."""

from spoolhead._internal.models import load_report, rows
from spoolhead._internal.policy import health, lengths, operating_point

PROFILE_REFRESH_S = 0.1
"""Age at which the predicted memory profile is computed again."""

REPORT_STALE_S = 5.0
NEVER_S = float("-inf")

OTHER_ENTRIES_WORKSPACE = ""
"""Workspace name used to predict requests of other entries; it has no answers of its own, so the
model's overall length distribution applies."""

OTHER_ENTRIES_LIMIT_TOKENS = 1_000_000


class RunningRequest:
    """A request of this entry that runs on an upstream.

    :ivar workspace: workspace that sent the request.
    :ivar prompt_tokens: estimated length of the prompt.
    :ivar generated_tokens: tokens generated so far.
    :ivar limit_tokens: maximum length of the answer.
    """

    __slots__ = ("generated_tokens", "limit_tokens", "prompt_tokens", "workspace")

    def __init__(self, workspace: str, prompt_tokens: int, limit_tokens: int) -> None:
        self.workspace = workspace
        self.prompt_tokens = prompt_tokens
        self.limit_tokens = limit_tokens
        self.generated_tokens = 0


class Replica:
    """One upstream of a service.

    :param name: name of the upstream's row.
    :param row: the upstream's row.
    :param now_s: monotonic time at which the upstream was first seen, in seconds.
    :param is_new: whether it was added after this entry had started, so that it starts slowly.
    :ivar health: ejection state and slow start.
    :ivar operating_point: planning limit, adapted to the engine's preemptions.
    :ivar report: the last load report, or None.
    :ivar running: requests of this entry that run on the upstream.
    :ivar sent_tokens: planned memory of the requests sent since the last report.
    :ivar sent_since_report: number of requests sent since the last report.
    :ivar sent_before_report: number of requests sent between the last two reports.
    :ivar was_limited: whether the planning limit blocked a request since the last report.
    :ivar is_evacuated: whether the upstream's hall is evacuated.
    :ivar own_at_report_tokens: memory of this entry's requests at the last report.
    :ivar own_running_at_report: number of this entry's running requests at the last report.
    """

    __slots__ = (
        "_profile",
        "_profile_at_s",
        "health",
        "was_limited",
        "is_evacuated",
        "name",
        "operating_point",
        "own_at_report_tokens",
        "own_running_at_report",
        "report",
        "row",
        "running",
        "sent_before_report",
        "sent_since_report",
        "sent_tokens",
    )

    def __init__(self, name: str, row: rows.UpstreamRow, now_s: float, *, is_new: bool) -> None:
        self.name = name
        self.row = row
        self.health = health.Health(now_s, is_new=is_new)
        self.operating_point = operating_point.OperatingPoint()
        self.report: load_report.LoadReport | None = None
        self.running: set[RunningRequest] = set()
        self.sent_tokens = 0.0
        self.sent_before_report = 0
        self.sent_since_report = 0
        self.was_limited = False
        self.is_evacuated = False
        self.own_at_report_tokens = 0
        self.own_running_at_report = 0
        self._profile: lengths.Profile = ()
        self._profile_at_s = NEVER_S

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream is leaving and must receive no new requests."""
        return self.row.state is rows.UpstreamState.LEAVING

    @property
    def own_tokens(self) -> int:
        """Memory of this entry's running requests on the upstream, in tokens."""
        return sum(request.prompt_tokens + request.generated_tokens for request in self.running)

    def handle_report(self, report: load_report.LoadReport) -> None:
        """Apply a load report."""
        self.operating_point.handle_report(
            preemptions=report.preemptions,
            was_limiting=self.was_limited,
            now_s=report.received_s,
        )
        self.report = report
        self._profile_at_s = NEVER_S
        self.sent_tokens = 0.0
        self.sent_before_report = self.sent_since_report
        self.sent_since_report = 0
        self.was_limited = False
        self.own_at_report_tokens = self.own_tokens
        self.own_running_at_report = len(self.running)

    def has_fresh_report(self, now_s: float) -> bool:
        """Return whether the last load report is recent enough for planning."""
        return self.report is not None and now_s - self.report.received_s < REPORT_STALE_S

    def start(self, request: RunningRequest, planned_tokens: float) -> None:
        """Record a request that was sent to the upstream."""
        self.running.add(request)
        self.sent_tokens += planned_tokens
        self.sent_since_report += 1
        self._profile_at_s = NEVER_S

    def finish(self, request: RunningRequest) -> None:
        """Record the end of a request on the upstream."""
        self.running.discard(request)
        self._profile_at_s = NEVER_S

    def get_profile(self, model: lengths.LengthModel, now_s: float) -> lengths.Profile:
        """Return the expected memory of all requests on the upstream at each horizon, in tokens.

        This entry's own requests are known exactly. Requests of other entries are estimated from
        the last report minus this entry's share of it.
        """
        if now_s - self._profile_at_s < PROFILE_REFRESH_S:
            return self._profile
        self._profile_at_s = now_s
        total = [0.0] * len(lengths.HORIZONS_TOKENS)
        for request in self.running:
            profile = model.get_profile(
                request.workspace,
                self.row.service,
                prompt_tokens=request.prompt_tokens,
                generated_tokens=request.generated_tokens,
                limit_tokens=request.limit_tokens,
            )
            total = [known + added for known, added in zip(total, profile, strict=True)]
        others = self._get_other_entries_profile(model)
        self._profile = [own + other for own, other in zip(total, others, strict=True)]
        return self._profile

    def _get_other_entries_profile(self, model: lengths.LengthModel) -> lengths.Profile:
        report = self.report
        count = report.running - self.own_running_at_report if report is not None else 0
        if report is None or count <= 0:
            return [0.0] * len(lengths.HORIZONS_TOKENS)
        held = max(0, report.kv_used_tokens - self.own_at_report_tokens)
        # At any given moment an answer is half complete on average.
        generated = min(held / count, model.get_mean_tokens(self.row.service) / 2)
        profile = model.get_profile(
            OTHER_ENTRIES_WORKSPACE,
            self.row.service,
            prompt_tokens=held / count - generated,
            generated_tokens=int(generated),
            limit_tokens=OTHER_ENTRIES_LIMIT_TOKENS,
        )
        return [count * value for value in profile]
