"""Prometheus metrics of an entry that routes by host and path; docs/METRICS.md lists them."""

from spoolhead._internal.models import route_table
from spoolhead._internal.utils import prometheus_metrics


class EntryMetrics:
    """Counters and histograms.

    :param metrics: registry in which they are created.
    """

    def __init__(self, metrics: prometheus_metrics.PrometheusMetrics) -> None:
        self.requests = metrics.make_counter(
            "spoolhead_requests", "Requests ended, by kind and outcome.", "kind", "outcome"
        )
        self.attempts = metrics.make_counter(
            "spoolhead_attempts", "Attempts at instances, by kind.", "kind"
        )
        self.answer_ends = metrics.make_counter(
            "spoolhead_answer_ends",
            "Ended attempts at instances, by framing of the answer and how it ended.",
            "framing",
            "ending",
        )
        self.answer_outcomes = metrics.make_counter(
            "spoolhead_answer_outcomes",
            "Answers of instances that have ended, by outcome.",
            "outcome",
        )
        self.received_requests = metrics.make_counter(
            "spoolhead_received_requests",
            "Requests ended that another entry had forwarded, by outcome.",
            "outcome",
        )
        self.forwarded_requests = metrics.make_counter(
            "spoolhead_forwarded_requests", "Requests sent to other entries, by outcome.", "outcome"
        )
        self.copies = metrics.make_counter(
            "spoolhead_copies", "Orders to copy a run's memory, by outcome.", "outcome"
        )
        self.repeats = metrics.make_counter(
            "spoolhead_repeats",
            "Requests sent to a service again, by reason and whether the allowance covered it.",
            "reason",
            "is_granted",
        )
        self.rejected_repeats = metrics.make_counter(
            "spoolhead_rejected_repeats",
            "Repeats rejected for want of allowance, by reason.",
            "reason",
        )
        self.moves = metrics.make_counter("spoolhead_moves", "Runs that went on elsewhere.")
        self.alarms = metrics.make_counter("spoolhead_alarms", "Instances said not to be well.")
        self.keepers_lost = metrics.make_counter(
            "spoolhead_keepers_lost", "Streams to keepers that ended."
        )
        self.table_version = metrics.make_gauge(
            "spoolhead_table_version", "Version of the route table in force."
        )
        self.evacuated_halls = metrics.make_gauge(
            "spoolhead_evacuated_halls", "Halls to which nothing more is sent."
        )
        self.limited_upstreams = metrics.make_gauge(
            "spoolhead_limited_upstreams", "Instances that state a rate limit."
        )
        self.known_paces = metrics.make_gauge(
            "spoolhead_known_paces", "Instances whose pace was stated or measured."
        )
        self.overruled_paces = metrics.make_counter(
            "spoolhead_overruled_paces", "Instances measured to be clearly slower than stated."
        )
        self.held_contents = metrics.make_gauge(
            "spoolhead_held_contents",
            "Contents of requests that are held since instances ended under them.",
        )
        self.unreached_services = metrics.make_gauge(
            "spoolhead_unreached_services",
            "Services of which this entry reaches no instance on a new connection.",
        )
        self.in_flight = metrics.make_gauge("spoolhead_in_flight", "Requests in hand.")
        self.waiting = metrics.make_gauge(
            "spoolhead_waiting", "Generations that wait at this entry for an engine with room."
        )
        self.news_age_ms = metrics.make_gauge(
            "spoolhead_news_age_ms", "Age of what is known of other entries' work; -1 for none."
        )
        self.unread_bytes = metrics.make_gauge(
            "spoolhead_unread_bytes", "Bytes buffered for callers that read slowly."
        )
        self.dropped_callers = metrics.make_counter(
            "spoolhead_dropped_callers",
            "Callers dropped because too many bytes of all callers were unread.",
        )
        self.list_faults = metrics.make_counter(
            "spoolhead_list_faults",
            "Reads of the instance list with a page or an entry that could not be read.",
        )
        self.body_bytes = metrics.make_gauge(
            "spoolhead_body_bytes", "Bytes held for bodies of requests and answers, read or unread."
        )
        self.waiting_bodies = metrics.make_gauge(
            "spoolhead_waiting_bodies", "Requests whose bodies are not read for want of memory."
        )
        self.rejected_bodies = metrics.make_gauge(
            "spoolhead_rejected_bodies", "Requests rejected for want of memory for their bodies."
        )
        self.room_wait_ms = metrics.make_histogram(
            "spoolhead_room_wait_ms", "Time for which a generation waited before it was sent."
        )
        self.room_refusals = metrics.make_counter(
            "spoolhead_room_refusals",
            "Generations refused because their expected start was too late.",
            "is_return",
        )
        self.room_starts = metrics.make_counter(
            "spoolhead_room_starts",
            "Generations sent while others waited anywhere, by waiting class.",
            "rank",
            "is_late",
            "is_over_share",
        )
        self.waiting_ahead_tokens = metrics.make_gauge(
            "spoolhead_waiting_ahead_tokens",
            "Memory needed by what was ahead of the last generation that was decided on.",
        )
        self.room_unused_ms = metrics.make_histogram(
            "spoolhead_room_unused_ms",
            "Time for which room had stayed unused when a generation got it that had waited.",
        )
        self.request_ms = metrics.make_histogram(
            "spoolhead_request_ms", "Time from arrival to the end of the answer.", "kind"
        )
        self.first_event_ms = metrics.make_histogram(
            "spoolhead_first_event_ms", "Time from arrival to the first event of a stream."
        )
        self.longest_pause_ms = metrics.make_histogram(
            "spoolhead_longest_pause_ms", "Longest pause between events of a stream."
        )

    def record_end(self, kind: route_table.RequestKind, outcome: str, age_ms: float) -> None:
        """Record a finished request.

        :param outcome: ``answered``, ``refused``, ``failed`` or ``left``.
        """
        self.requests.labels(kind.value, outcome).inc()
        self.request_ms.labels(kind.value).observe(age_ms)
