"""What an entry knows of each upstream, and what it has sent there itself."""

from spoolhead._internal.models import load_report, rows
from spoolhead._internal.policy import health, lengths, operating_point

PROFILE_REFRESH_S = 0.1
"""Age at which what the running work will hold is worked out again."""

REPORT_STALE_S = 5.0
NEVER_S = float("-inf")

OTHER_ENTRIES = ""
"""Workspace under which what other entries send is foreseen: it has no answers of its own."""

OTHER_ENTRIES_LIMIT_TOKENS = 1_000_000


class RunningRequest:
    """A request that this entry has running on an upstream.

    :ivar workspace: whose it is.
    :ivar prompt_tokens: its prompt, estimated.
    :ivar generated_tokens: tokens so far.
    :ivar limit_tokens: longest it may become.
    """

    __slots__ = ("generated_tokens", "limit_tokens", "prompt_tokens", "workspace")

    def __init__(self, workspace: str, prompt_tokens: int, limit_tokens: int) -> None:
        self.workspace = workspace
        self.prompt_tokens = prompt_tokens
        self.limit_tokens = limit_tokens
        self.generated_tokens = 0


class Replica:
    """One upstream of a service.

    :param name: name of its row.
    :param row: its row.
    :param now_s: monotonic time at which it was first seen.
    :param is_new: it came after this entry had started.
    :ivar report: its last load report, or None.
    :ivar running: what this entry has running there.
    :ivar sent_tokens: planned size of what was sent since the last report.
    :ivar sent_since_report: requests sent since the last report.
    :ivar sent_before_report: requests sent between the last two reports.
    :ivar was_limited: the planning limit kept work from it since the last report.
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
        """Whether it must get nothing new."""
        return self.row.state is rows.UpstreamState.LEAVING

    @property
    def own_tokens(self) -> int:
        """Tokens that this entry's work holds there."""
        return sum(request.prompt_tokens + request.generated_tokens for request in self.running)

    def handle_report(self, report: load_report.LoadReport) -> None:
        """Take a load report."""
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
        """Whether its load report can be planned with."""
        return self.report is not None and now_s - self.report.received_s < REPORT_STALE_S

    def start(self, request: RunningRequest, planned_tokens: float) -> None:
        """Note that work was sent there."""
        self.running.add(request)
        self.sent_tokens += planned_tokens
        self.sent_since_report += 1
        self._profile_at_s = NEVER_S

    def finish(self, request: RunningRequest) -> None:
        """Note that work has ended there."""
        self.running.discard(request)
        self._profile_at_s = NEVER_S

    def get_profile(self, model: lengths.LengthModel, now_s: float) -> lengths.Profile:
        """Return the memory that everything on it is expected to hold at each horizon.

        What others have there is known from the last report, less this entry's part of it;
        what this entry has there it knows itself.
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
            total = [known + more for known, more in zip(total, profile, strict=True)]
        others = self._get_other_entries_profile(model)
        self._profile = [own + more for own, more in zip(total, others, strict=True)]
        return self._profile

    def _get_other_entries_profile(self, model: lengths.LengthModel) -> lengths.Profile:
        report = self.report
        count = report.running - self.own_running_at_report if report is not None else 0
        if report is None or count <= 0:
            return [0.0] * len(lengths.HORIZONS_TOKENS)
        held = max(0, report.kv_used_tokens - self.own_at_report_tokens)
        # Seen at any moment, an answer is half done on average.
        generated = min(held / count, model.get_mean_tokens(self.row.service) / 2)
        profile = model.get_profile(
            OTHER_ENTRIES,
            self.row.service,
            prompt_tokens=held / count - generated,
            generated_tokens=int(generated),
            limit_tokens=OTHER_ENTRIES_LIMIT_TOKENS,
        )
        return [count * value for value in profile]
