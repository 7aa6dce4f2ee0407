"""What an entry does when it hears something new of the instances."""

import logging
from collections.abc import Callable, Set

from spoolhead._internal.gateway import exchange, exchange_context, load_sharing, stream_exchange
from spoolhead._internal.models import dialects, instances, shared_load
from spoolhead._internal.policy import upstream_book
from spoolhead._internal.routing import matcher
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)


class UpstreamNews:
    """Passes news of instances on to the requests in hand, to those that wait and to other entries.

    :param context: what all exchanges share.
    :param sharing: tells other entries.
    :param exchanges: the requests in hand.
    :param get_table: returns the table in force.
    """

    def __init__(
        self,
        context: exchange_context.Context,
        sharing: load_sharing.LoadSharing,
        exchanges: Set[exchange.Exchange],
        *,
        get_table: Callable[[], matcher.Matcher | None],
    ) -> None:
        self._context = context
        self._sharing = sharing
        self._exchanges = exchanges
        self._get_table = get_table

    def take_list(self, listed: list[instances.Instance]) -> None:
        """Take over a reading of the list of instances."""
        book = self._context.book
        before = book.get_all()
        known = {upstream.instance.life_id for upstream in before}
        leaving = book.take_list(listed, clocks.get_s())
        now_known = {upstream.instance.life_id for upstream in book.get_all()}
        for life_id in sorted(now_known - known):
            logger.info("upstream came", extra={"fields": {"upstream": life_id}})
        for life_id in sorted(known - now_known):
            logger.info("upstream is gone", extra={"fields": {"upstream": life_id}})
        self._note_ended(before)
        self._sharing.refresh()
        self._context.cold_starts.forget_quotas()
        self._context.permits.refresh()
        self._context.limits.book.expire(clocks.get_s())
        self._context.queue.note_change()
        for upstream in leaving:
            if upstream.has_started_again:
                self._end_at(upstream)
            else:
                self.drain(upstream)

    def _note_ended(self, before: list[upstream_book.Upstream]) -> None:
        """Take note of instances that are gone without a word: they have ended."""
        for upstream in before:
            has_announced = upstream.instance.is_leaving or upstream.has_announced_end
            if upstream.is_gone and not has_announced:
                self._context.contents.note_ended(upstream.instance.life_id, "no longer listed")

    def take_evacuations(self, halls: frozenset[str]) -> None:
        """Send nothing more to instances of these halls, and to all others again.

        Runs there end where they are. What has come back may have just been started.
        """
        self._context.figures.evacuated_halls.set(len(halls))
        now_s = clocks.get_s()
        for upstream in self._context.book.set_evacuated(halls):
            table = self._get_table()
            service = table.get_service(upstream.instance.service) if table else None
            if service is not None:
                upstream.assume_cold(service.cold_start_ms, now_s)
        self._have_runs_look()
        self._context.queue.note_change()

    def take_alarm(self, upstream: upstream_book.Upstream, kind: shared_load.AlarmKind) -> None:
        """Take what this entry found bad, and tell the others."""
        self._context.figures.alarms.inc()
        self._sharing.tell_alarm(upstream.instance.life_id, kind)
        self.drain(upstream)

    def take_cold(self, upstream: upstream_book.Upstream, cold_ms: int) -> None:
        """Tell the others of an instance that has said to be cold."""
        kind = shared_load.AlarmKind.COLD
        self._sharing.tell_alarm(upstream.instance.life_id, kind, for_ms=cold_ms)

    def take_answer(
        self, upstream: upstream_book.Upstream, head: dialects.AnswerHead, now_s: float
    ) -> None:
        """Take what an instance says of itself in an answer to a request."""
        fields = {"upstream": upstream.instance.life_id}
        if head.is_misdirected:
            return
        if head.has_not_run:
            upstream.rest.record_rejection(now_s)
        else:
            upstream.rest.record_taken()
        if head.is_rest_unreadable:
            logger.warning("upstream asked for an unreadable rest", extra={"fields": fields})
        if head.rest_ms is not None:
            self._take_rest(upstream, head.rest_ms, now_s)
        if head.is_leaving:
            self.take_announced_end(upstream)

    def take_announced_end(self, upstream: upstream_book.Upstream) -> None:
        """Move runs off an instance that announced its end, and report it to the others."""
        if not upstream.record_announced_end():
            return
        life_id = upstream.instance.life_id
        fields = {"upstream": life_id, "reported_by": ""}
        logger.info("upstream announced that it leaves", extra={"fields": fields})
        self._sharing.tell_alarm(life_id, shared_load.AlarmKind.LEAVING)
        self.drain(upstream)

    def _take_rest(self, upstream: upstream_book.Upstream, rest_ms: int, now_s: float) -> None:
        """Send an instance nothing while it rests, and report that unless enough others did."""
        if not upstream.rest.record(rest_ms, now_s):
            return
        life_id = upstream.instance.life_id
        fields = {"upstream": life_id, "for_ms": rest_ms, "reported_by": ""}
        logger.info("upstream asked for rest", extra={"fields": fields})
        if not upstream.rest.has_reports(now_s):
            self._sharing.tell_alarm(life_id, shared_load.AlarmKind.RESTING, for_ms=rest_ms)

    def take_replaced(self, upstream: upstream_book.Upstream) -> None:
        """Tell the others of an instance at whose address another one answers."""
        self._context.contents.note_ended(upstream.instance.life_id, "another answers")
        kind = shared_load.AlarmKind.REPLACED
        self._sharing.tell_alarm(upstream.instance.life_id, kind)
        self._context.queue.note_change()

    def drain(self, upstream: upstream_book.Upstream) -> None:
        """Have runs leave an instance that leaves or may do so."""
        fields = {
            "upstream": upstream.instance.life_id,
            "is_listed_leaving": upstream.instance.is_leaving,
            "is_gone": upstream.is_gone,
            "requests_here": len(upstream.works),
        }
        logger.info("upstream is to be emptied", extra={"fields": fields})
        self._context.ask_if_abandoned(upstream)
        self._have_runs_look()

    def _end_at(self, upstream: upstream_book.Upstream) -> None:
        """End what ran at an instance before it was started again."""
        fields = {"upstream": upstream.instance.life_id, "requests_here": len(upstream.works)}
        logger.warning("upstream has started again", extra={"fields": fields})
        for item in list(self._exchanges):
            item.on_upstream_ended()
        # A copy that it held is lost, too.
        self._have_runs_look()

    def _have_runs_look(self) -> None:
        """Let each run see whether it or its copy must move."""
        runs = [
            item for item in self._exchanges if isinstance(item, stream_exchange.StreamExchange)
        ]
        # The first orders are carried out first, and not all may be in time.
        runs.sort(key=lambda item: (item.job.workspace_rank, -item.rank))
        for item in runs:
            item.on_instances_changed()
