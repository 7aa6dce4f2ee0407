"""The datagrams between entries: who gets what, and what is written about silent halls."""

import logging

import pytest

from lib import gateway_setting
from spoolhead._internal.gateway import load_sharing
from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import load_view, upstream_book


class _Loop:
    """Timers and a poller that a test drives."""

    def __init__(self):
        self.scheduler = self
        self.poller = self
        self.repeated = []
        self.later = []

    def call_every(self, interval_s, call):
        self.repeated.append(call)

    def call_later(self, delay_s, call):
        self.later.append(call)

    def add_direct_reader(self, loop, sock, call):
        pass


class _Socket:
    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((address[0], shared_load.decode(data)))


@pytest.fixture
def sharing(monkeypatch):
    monkeypatch.setattr(load_sharing.socket.socket, "bind", lambda *_: None)
    book = upstream_book.UpstreamBook()
    book.take_list([gateway_setting.make_instance("i-1")])
    made = load_sharing.LoadSharing(
        _Loop(), gateway_setting.make_settings(), book, on_alarm=None, on_news=lambda: None
    )
    made._sock.close()
    made._sock = _Socket()
    made.book = book
    made.set_peers(
        [["entry-1", "hall-a", "10.0.0.1:3"], ["entry-2", "hall-a", "10.0.0.2:3"]]
        + [[f"far-{number}", "hall-b", f"10.0.1.{number}:3"] for number in (1, 2, 3)]
    )
    return made


def _make_share(sender="far-1", hall="hall-b", sequence=1, **changes):
    fields = {"is_sum": True, "held": [], "members": [sender], "alarms": []}
    return shared_load.Share(sender=sender, hall=hall, sequence=sequence, **{**fields, **changes})


def _take(sharing, share, sender=("10.0.1.1", 3)):
    return sharing._take(shared_load.encode(share), sender)


def test_the_own_share_goes_to_the_hall_and_its_sum_to_one_far_entry_after_another(sharing):
    sharing.note_change()
    sharing._timers.later.pop()()
    assert [(host, share.is_sum) for host, share in sharing._sock.sent] == [("10.0.0.2", False)]
    reached = []
    for _ in range(3):
        sharing._sock.sent.clear()
        sharing._send_sum()
        ((host, share),) = sharing._sock.sent
        assert share.is_sum
        reached.append(host)
    assert sorted(reached) == ["10.0.1.1", "10.0.1.2", "10.0.1.3"]


def test_a_sum_from_outside_is_passed_on_once_and_one_from_a_mate_never(sharing):
    assert _take(sharing, _make_share())
    assert [host for host, _ in sharing._sock.sent] == ["10.0.0.2"]
    assert not _take(sharing, _make_share())
    assert _take(sharing, _make_share(sequence=2), sender=("10.0.0.2", 3))
    assert len(sharing._sock.sent) == 1


def test_a_lost_request_is_told_to_all_but_not_for_each_one(sharing):
    for _ in range(5):
        sharing.tell_failure("i-1")
    told = [host for host, share in sharing._sock.sent if share.alarms]
    assert sorted(told) == ["10.0.0.2", "10.0.1.1", "10.0.1.2", "10.0.1.3"]


def test_an_instance_that_two_others_lost_requests_at_rests(sharing):
    alarm = shared_load.Alarm("i-1", shared_load.AlarmKind.LOST_REQUEST)
    _take(sharing, _make_share(is_sum=False, alarms=[alarm]))
    upstream = sharing.book.get("i-1")
    assert upstream.is_usable(load_sharing.time.monotonic())
    _take(sharing, _make_share(sender="far-2", is_sum=False, alarms=[alarm]))
    assert not upstream.is_usable(load_sharing.time.monotonic())


def test_a_hall_that_falls_silent_is_written_once_and_so_is_its_return(
    sharing, monkeypatch, caplog
):
    caplog.set_level(logging.INFO, logger=load_sharing.__name__)
    began_s = load_sharing.time.monotonic()
    _take(sharing, _make_share())
    for age_s in (0.1, load_view.LONGEST_SILENCE_S + 0.1, load_view.LONGEST_SILENCE_S + 0.3):
        monkeypatch.setattr(load_sharing.time, "monotonic", lambda age_s=age_s: began_s + age_s)
        sharing._log_halls()
    _take(sharing, _make_share(sequence=2))
    sharing._log_halls()
    assert [record.message for record in caplog.records] == [
        "hall is silent",
        "hall is heard again",
    ]
    assert caplog.records[0].fields["hall"] == "hall-b"
    assert caplog.records[0].fields["age_ms"] >= load_view.LONGEST_SILENCE_S * 1000
