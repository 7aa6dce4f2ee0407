"""Handles state changes of instances: new lists, alarms, rests, departures, replacements."""

import logging
from collections.abc import Callable, Set

from spoolhead._internal.gateway import exchange, exchange_context, load_sharing, stream_exchange
from spoolhead._internal.models import dialects, instances, shared_load
from spoolhead._internal.policy import upstream_registry
from spoolhead._internal.routing import matcher
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)


class UpstreamEvents:
    """Applies changes of instances to running and queued requests and reports them to others.

    :param context: components that all exchanges of the entry share.
    :param sharing: reports to other entries.
    :param exchanges: the current exchanges.
    :param get_table: returns the route table in force.
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
        self._load_sharing = sharing
        self._exchanges = exchanges
        self._get_table = get_table

    def apply_list(self, listed: list[instances.Instance]) -> None:
        """Apply a new instance list."""
        registry = self._context.registry
        previous = registry.get_all()
        previous_ids = {upstream.instance.incarnation_id for upstream in previous}
        leaving = registry.update_instances(listed, clocks.get_s())
        current_ids = {upstream.instance.incarnation_id for upstream in registry.get_all()}
        for incarnation_id in sorted(current_ids - previous_ids):
            logger.info("upstream came", extra={"fields": {"upstream": incarnation_id}})
        for incarnation_id in sorted(previous_ids - current_ids):
            logger.info("upstream is gone", extra={"fields": {"upstream": incarnation_id}})
        self._record_terminated(previous)
        self._load_sharing.refresh()
        self._context.cold_starts.clear_quotas()
        self._context.permits.refresh()
        self._context.limits.registry.expire(clocks.get_s())
        self._context.queue.schedule_check()
        for upstream in leaving:
            if upstream.has_restarted:
                self._end_attempts_at(upstream)
            else:
                self.drain(upstream)

    def _record_terminated(self, previous: list[upstream_registry.Upstream]) -> None:
        """Record as terminated the instances that left the list without an announcement."""
        for upstream in previous:
            has_announced = upstream.instance.is_leaving or upstream.has_announced_leaving
            if upstream.is_gone and not has_announced:
                self._context.contents.record_terminated(
                    upstream.instance.incarnation_id, "no longer listed"
                )

    def handle_evacuations(self, halls: frozenset[str]) -> None:
        """Apply the set of evacuated halls, whose instances receive no new requests.

        Runs there complete in place. Instances of halls that are no longer evacuated count as
        cold, since they may have just started.
        """
        self._context.metrics.evacuated_halls.set(len(halls))
        now_s = clocks.get_s()
        for upstream in self._context.registry.set_evacuated(halls):
            table = self._get_table()
            service = table.get_service(upstream.instance.service) if table else None
            if service is not None:
                upstream.assume_cold(service.cold_start_ms, now_s)
        self._recheck_runs()
        self._context.queue.schedule_check()

    def handle_alarm(
        self, upstream: upstream_registry.Upstream, kind: shared_load.AlarmKind
    ) -> None:
        """Report an alarm that this entry raised to the others, and drain the instance."""
        self._context.metrics.alarms.inc()
        self._load_sharing.broadcast_alarm(upstream.instance.incarnation_id, kind)
        self.drain(upstream)

    def handle_cold(self, upstream: upstream_registry.Upstream, cold_ms: int) -> None:
        """Report to the others that an instance is cold."""
        kind = shared_load.AlarmKind.COLD
        self._load_sharing.broadcast_alarm(upstream.instance.incarnation_id, kind, for_ms=cold_ms)

    def handle_answer(
        self, upstream: upstream_registry.Upstream, head: dialects.AnswerHead, now_s: float
    ) -> None:
        """Handle the state that an instance reports in an answer: rest, rejection or departure."""
        fields = {"upstream": upstream.instance.incarnation_id}
        if head.is_misdirected:
            return
        if head.has_not_run:
            upstream.rest.record_rejection(now_s)
        else:
            upstream.rest.record_accepted()
        self._record_max_rejections(upstream, head)
        if head.is_rest_unreadable:
            logger.warning("upstream asked for an unreadable rest", extra={"fields": fields})
        if head.rest_ms is not None:
            self._handle_rest(upstream, head.rest_ms, now_s)
        if head.is_leaving:
            self.handle_announced_leaving(upstream)

    def handle_health_answer(
        self, upstream: upstream_registry.Upstream, head: dialects.AnswerHead
    ) -> None:
        """Handle the state that an instance reports in an answer to a health probe.

        An answer that does not state how many rejections the instance survives is ignored: only
        answers to requests are known to state it.
        """
        if head.max_rejections_per_s is not None:
            self._record_max_rejections(upstream, head)
        if head.is_leaving:
            self.handle_announced_leaving(upstream)

    def _record_max_rejections(
        self, upstream: upstream_registry.Upstream, head: dialects.AnswerHead
    ) -> None:
        """Record how many rejections in a second an instance survives, by its latest answer."""
        fields = {"upstream": upstream.instance.incarnation_id}
        if head.is_max_rejections_unreadable:
            logger.warning("upstream stated unreadable rejections", extra={"fields": fields})
            return
        previous_per_s = upstream.max_rejections_per_s
        if head.max_rejections_per_s == previous_per_s:
            return
        upstream.max_rejections_per_s = head.max_rejections_per_s
        fields["max_rejections_per_s"] = head.max_rejections_per_s
        fields["before_per_s"] = previous_per_s
        logger.info("upstream changed how many rejections it survives", extra={"fields": fields})

    def handle_announced_leaving(self, upstream: upstream_registry.Upstream) -> None:
        """Drain an instance that announced its departure, and report it to the others."""
        if not upstream.record_announced_leaving():
            return
        incarnation_id = upstream.instance.incarnation_id
        fields = {"upstream": incarnation_id, "reported_by": ""}
        logger.info("upstream announced that it leaves", extra={"fields": fields})
        self._load_sharing.broadcast_alarm(incarnation_id, shared_load.AlarmKind.LEAVING)
        self.drain(upstream)

    def _handle_rest(
        self, upstream: upstream_registry.Upstream, rest_ms: int, now_s: float
    ) -> None:
        """Record a rest, and report it unless enough other entries have reported it."""
        if not upstream.rest.record(rest_ms, now_s):
            return
        incarnation_id = upstream.instance.incarnation_id
        fields = {"upstream": incarnation_id, "for_ms": rest_ms, "reported_by": ""}
        logger.info("upstream asked for rest", extra={"fields": fields})
        if not upstream.rest.has_reports(now_s):
            self._load_sharing.broadcast_alarm(
                incarnation_id, shared_load.AlarmKind.RESTING, for_ms=rest_ms
            )

    def handle_replaced(self, upstream: upstream_registry.Upstream) -> None:
        """Report to the others that another instance answers at an instance's address."""
        self._context.contents.record_terminated(
            upstream.instance.incarnation_id, "another instance answers at its address"
        )
        kind = shared_load.AlarmKind.REPLACED
        self._load_sharing.broadcast_alarm(upstream.instance.incarnation_id, kind)
        self._context.queue.schedule_check()

    def drain(self, upstream: upstream_registry.Upstream) -> None:
        """Migrate runs away from an instance that leaves or may leave."""
        fields = {
            "upstream": upstream.instance.incarnation_id,
            "is_listed_leaving": upstream.instance.is_leaving,
            "is_gone": upstream.is_gone,
            "requests_here": len(upstream.in_flight),
        }
        logger.info("upstream is to be emptied", extra={"fields": fields})
        self._context.query_termination_if_abandoned(upstream)
        self._recheck_runs()

    def _end_attempts_at(self, upstream: upstream_registry.Upstream) -> None:
        """End the attempts that ran at an instance before it restarted."""
        fields = {
            "upstream": upstream.instance.incarnation_id,
            "requests_here": len(upstream.in_flight),
        }
        logger.warning("upstream has started again", extra={"fields": fields})
        for item in list(self._exchanges):
            item.on_upstream_ended()
        # Copies of runs that the instance stored are lost, too.
        self._recheck_runs()

    def _recheck_runs(self) -> None:
        """Have each run check whether it or its copy must be migrated."""
        runs = [
            item for item in self._exchanges if isinstance(item, stream_exchange.StreamExchange)
        ]
        # Instances execute copy orders in sequence, so the last copies may be made too late.
        runs.sort(key=lambda item: (item.job.workspace_rank, -item.rank))
        for item in runs:
            item.on_instances_changed()
