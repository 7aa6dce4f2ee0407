"""What an entry knows of each upstream, and what it has sent there itself."""

from spoolhead._internal.models import load_report, rows
from spoolhead._internal.policy import health, lengths, operating_point

OTHERS_LENGTH_TOKENS = 256.0
"""Rest expected of a request that another entry sent, of which nothing else is known."""

GROWTH_REFRESH_S = 0.1
"""Age at which the expected growth of the running work is worked out again."""

REPORT_STALE_S = 5.0


class RunningWork:
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
    :ivar held_back: the planning limit kept work from it since the last report.
    """

    __slots__ = (
        "_growth_at_s",
        "_growth_tokens",
        "health",
        "held_back",
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
        self.running: set[RunningWork] = set()
        self.sent_tokens = 0.0
        self.sent_before_report = 0
        self.sent_since_report = 0
        self.held_back = False
        self.own_at_report_tokens = 0
        self.own_running_at_report = 0
        self._growth_tokens = 0.0
        self._growth_at_s = 0.0

    @property
    def is_leaving(self) -> bool:
        """Whether it must get nothing new."""
        return self.row.state is rows.UpstreamState.LEAVING

    @property
    def own_tokens(self) -> int:
        """Tokens that this entry's work holds there."""
        return sum(work.prompt_tokens + work.generated_tokens for work in self.running)

    def take_report(self, report: load_report.LoadReport) -> None:
        """Take a load report."""
        self.operating_point.take_report(
            preemptions=report.preemptions,
            was_binding=self.held_back,
            now_s=report.received_s,
        )
        self.report = report
        self.sent_tokens = 0.0
        self.sent_before_report = self.sent_since_report
        self.sent_since_report = 0
        self.held_back = False
        self.own_at_report_tokens = self.own_tokens
        self.own_running_at_report = len(self.running)

    def has_fresh_report(self, now_s: float) -> bool:
        """Whether its load report can be planned with."""
        return self.report is not None and now_s - self.report.received_s < REPORT_STALE_S

    def start(self, work: RunningWork, planned_tokens: float) -> None:
        """Note that work was sent there."""
        self.running.add(work)
        self.sent_tokens += planned_tokens
        self.sent_since_report += 1
        self._growth_at_s = 0.0

    def finish(self, work: RunningWork) -> None:
        """Note that work has ended there."""
        self.running.discard(work)
        self._growth_at_s = 0.0

    def get_planned_tokens(self, model: lengths.LengthModel, now_s: float) -> float:
        """Return the memory that everything on it is expected to need in the end.

        What others have there is known from the last report, less this entry's part of it;
        what this entry has there it knows itself.
        """
        report = self.report
        if report is None:
            return self.own_tokens + self._get_own_growth(model, now_s)
        others_tokens = max(0, report.kv_used_tokens - self.own_at_report_tokens)
        others_running = max(0, report.running - self.own_running_at_report)
        others_growth = others_running * OTHERS_LENGTH_TOKENS / 2
        return others_tokens + others_growth + self.own_tokens + self._get_own_growth(model, now_s)

    def _get_own_growth(self, model: lengths.LengthModel, now_s: float) -> float:
        if now_s - self._growth_at_s < GROWTH_REFRESH_S:
            return self._growth_tokens
        self._growth_at_s = now_s
        self._growth_tokens = sum(
            model.get_rest_tokens(
                work.workspace,
                self.row.service,
                generated_tokens=work.generated_tokens,
                limit_tokens=work.limit_tokens,
            )
            for work in self.running
        )
        return self._growth_tokens
