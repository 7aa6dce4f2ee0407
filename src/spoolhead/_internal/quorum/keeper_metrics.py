"""Metrics of a keeper that takes part in a quorum; docs/METRICS.md lists them."""

from spoolhead._internal.utils import prometheus_metrics


class KeeperMetrics:
    """Counters, gauges and histograms of a keeper.

    :param registry: registry in which they are created.
    """

    def __init__(self, registry: prometheus_metrics.PrometheusMetrics) -> None:
        self.orders = registry.make_counter(
            "spoolhead_table_orders", "Operators' tables, by outcome.", "outcome"
        )
        self.reads = registry.make_counter(
            "spoolhead_table_reads", "Operators' reads, by outcome.", "outcome"
        )
        self.table_version = registry.make_gauge(
            "spoolhead_table_version", "Version of the committed route table."
        )
        self.is_leader = registry.make_gauge("spoolhead_is_leader", "1 while this keeper leads.")
        self.term = registry.make_gauge("spoolhead_term", "Latest term of the agreement.")
        self.members = registry.make_gauge("spoolhead_members", "Members of the agreement.")
        self.members_heard = registry.make_gauge(
            "spoolhead_members_heard", "Members that the leader can count on; 0 at others."
        )
        self.member_change = registry.make_gauge(
            "spoolhead_member_change", "1 while a change of members is in progress."
        )
        self.log_conflict = registry.make_gauge(
            "spoolhead_log_conflict", "1 if a committed entry differs from the leader's."
        )
        self.list_faults = registry.make_counter(
            "spoolhead_list_faults",
            "Reads of the instance list with a page or an entry that could not be read.",
        )
        self.followers = registry.make_gauge("spoolhead_followers", "Entries that follow.")
        self.order_ms = registry.make_histogram(
            "spoolhead_table_order_ms", "Time from an operator's table to its answer."
        )
