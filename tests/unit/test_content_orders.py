"""When a keeper confirms an operator's order to hold or release a content."""

import time

from lib import content_fleet, simulated_clock
from spoolhead._internal.keeper import content_relay
from spoolhead._internal.network import messages

DEADLY = content_fleet.make_id("deadly")
WAIT_S = 5.0


class Session:
    def __init__(self):
        self.name = "operator"
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def _make_order(request, *, is_held):
    return messages.HoldContent(request=request, content_id=DEADLY, is_held=is_held)


def _has_saved(folder):
    """Return whether a keeper that starts now reads the content as held by an operator."""
    session = Session()
    relay = content_relay.ContentRelay(list, folder, simulated_clock.Clock())
    relay.send_contents(session, messages.GetContents(request=1))
    (answer,) = session.sent
    return any(item.record.is_by_hand for item in content_relay.content_record.unpack(answer.items))


def test_an_order_is_confirmed_once_it_is_on_the_disk(tmp_path):
    """Guards against a confirmed hold that is lost when the keeper is killed."""
    clock = simulated_clock.Clock()
    relay = content_relay.ContentRelay(list, tmp_path, clock)
    session = Session()
    relay.handle_hold_order(session, _make_order(1, is_held=False))
    relay.handle_hold_order(session, _make_order(2, is_held=True))
    deadline_s = time.monotonic() + WAIT_S
    while len(session.sent) < 2:
        assert time.monotonic() < deadline_s
        clock.run(0.01)
        time.sleep(0.001)
    assert [answer.request for answer in session.sent] == [1, 2]
    assert _has_saved(tmp_path)
