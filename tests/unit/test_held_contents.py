"""Requests that end upstreams, as an entry of the product's own interface finds them out."""

import pytest

from lib import fakes, gateway_setting
from spoolhead._internal.entry import held_contents
from spoolhead._internal.models import rows
from spoolhead._internal.network import links

CONTENT = b"c" * 16


class Setting:
    """An entry that has abandoned a request at an upstream."""

    def __init__(self):
        self.calls = gateway_setting.GatewayCalls()
        self.replica = fakes.make_replica("u1")
        self.contents = held_contents.HeldContents(
            "entry-1",
            self.calls,
            gateway_setting.FakeTimers(),
            probe_path="/load",
            tell=lambda records: None,
            on_held=lambda content_id: None,
        )

    def abandon(self):
        life_id = self.contents.get_life_id("u1")
        self.contents.note_abandoned(self.replica, life_id, CONTENT, 0.0)


def test_an_upstream_that_refuses_is_asked_where_a_request_was_abandoned():
    setting = Setting()
    setting.abandon()
    setting.contents.note_unreachable(setting.replica)
    (question,) = setting.calls.made
    assert question.target == "/load"
    question.lose(links.REFUSED)
    assert setting.contents.is_suspect(CONTENT)


def test_an_upstream_that_answers_has_not_ended():
    setting = Setting()
    setting.abandon()
    setting.contents.note_unreachable(setting.replica)
    setting.calls.made[0].answer(200, [])
    assert not setting.contents.is_suspect(CONTENT)


def test_an_upstream_that_had_nothing_of_this_entry_is_not_asked():
    setting = Setting()
    setting.contents.note_unreachable(setting.replica)
    assert not setting.calls.made


@pytest.mark.parametrize("leaves", ["before it is abandoned", "after that"])
def test_an_upstream_that_leaves_is_not_asked(leaves):
    setting = Setting()
    if leaves == "after that":
        setting.abandon()
    setting.replica.row.state = rows.UpstreamState.LEAVING
    if leaves != "after that":
        setting.abandon()
    setting.contents.note_unreachable(setting.replica)
    assert not setting.calls.made
