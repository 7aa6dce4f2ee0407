"""Load reports of engines: parsing, and their exchange between the entries of a hall."""

import hypothesis
import pytest
from hypothesis import strategies

from spoolhead._internal.entry import load_reports, neighbours
from spoolhead._internal.models import load_report
from spoolhead._internal.network import messages

REPORT = """# HELP vllm:num_requests_running Requests.
# TYPE vllm:num_requests_running gauge
vllm:num_requests_running{model_name="m"} 3.0
vllm:num_requests_waiting{model_name="m"} 2.0
vllm:kv_cache_usage_perc{model_name="m"} 0.25
vllm:num_preemptions_total{model_name="m"} 7.0
vllm:cache_config_info{block_size="16",num_gpu_blocks="100"} 1.0
"""


def test_a_published_report_is_read():
    report = load_reports.parse_report(REPORT, 5.0)
    assert (report.running, report.waiting, report.preemptions) == (3, 2, 7)
    assert (report.kv_used_tokens, report.kv_capacity_tokens) == (400, 1_600)


@pytest.mark.parametrize("value", ["NaN", "+Inf", "three"])
def test_a_report_without_numbers_is_an_error_and_nothing_else(value):
    with pytest.raises((ValueError, OverflowError)):
        load_reports.parse_report(f"vllm:num_requests_running {value}\n", 0.0)


@hypothesis.given(strategies.text(max_size=80))
def test_any_text_is_read_or_an_error(text):
    try:
        load_reports.parse_report(text, 0.0)
    except (ValueError, OverflowError):
        return


def test_a_report_keeps_its_age_on_the_way_to_a_neighbour():
    report = load_report.LoadReport(
        running=1,
        waiting=2,
        kv_used_tokens=3,
        kv_capacity_tokens=4,
        preemptions=5,
        received_s=10.0,
    )
    packed = neighbours.pack(neighbours.NamedReport("u", report), now_s=10.5)
    unpacked = neighbours.unpack(packed, now_s=100.0)
    assert unpacked.upstream == "u"
    assert unpacked.report.received_s == pytest.approx(99.5)
    assert unpacked.report.preemptions == 5


@pytest.mark.parametrize(
    "item",
    [
        None,
        [],
        ["u", 1],
        [1, 1, 1, 1, 1, 1, 1],
        ["u", "x", 1, 1, 1, 1, 1],
        # A report that is younger than now would stay fresh for longer than others.
        ["u", 1, 1, 1, 1, 1, -1],
    ],
)
def test_what_is_no_report_is_refused(item):
    with pytest.raises(messages.MessageError):
        neighbours.unpack(item, now_s=0.0)


class _Owner:
    def __init__(self):
        self.handled = []

    def handle_answer(self, replica, body):
        self.handled.append("answer")

    def handle_failure(self, replica, reason):
        self.handled.append("failure")


@pytest.mark.parametrize(("body", "handled"), [(REPORT, "answer"), (REPORT[:-3], "failure")])
def test_a_report_that_was_cut_short_is_a_failure(body, handled):
    owner = _Owner()
    fetch = load_reports._Fetch(owner, None, 0.0)
    fetch.on_answer_head(200, [])
    fetch.on_answer_body(body.encode())
    fetch.on_answer_end()
    assert owner.handled == [handled]
