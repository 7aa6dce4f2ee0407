"""An entry's connection to a keeper: malformed messages, and a keeper that confirms nothing."""

import logging
import types

import pytest

from lib import fakes, simulated_clock
from spoolhead._internal.entry import keeper_link
from spoolhead._internal.models import codes, settings
from spoolhead._internal.network import messages, peer_client
from spoolhead._internal.table import view
from spoolhead._internal.utils import clocks
from spoolhead.coordination import once_journal


class FakeClient:
    """A stream to a keeper that keeps what the entry sends."""

    address = "10.0.0.1:1"

    def __init__(self, *_arguments, listener, **_details):
        self.listener = listener
        self.is_ready = True
        self.sent = []
        self.reasons = []
        self.rejected = []

    def send(self, message):
        if self.is_ready:
            self.sent.append(message)
        return self.is_ready

    def get_sent(self, message_class):
        return [message for message in self.sent if isinstance(message, message_class)]

    def reject(self, reason):
        """Lose the stream because of a message."""
        self.rejected.append(reason)
        self.reconnect(reason)

    def reconnect(self, reason):
        """Lose the stream and have a new one at once."""
        self.reasons.append(reason)
        self.sent = []
        self.listener.on_peer_lost()
        self.listener.on_peer_ready()


class FakeListener:
    def __getattr__(self, _name):
        return lambda *_arguments: None


class Setting:
    """A link to a keeper, with its stream and a clock."""

    def __init__(self, monkeypatch):
        self.clock = simulated_clock.Clock()
        monkeypatch.setattr(clocks, "get_s", self.clock)
        monkeypatch.setattr(peer_client, "PeerClient", FakeClient)
        config = settings.EntrySettings(
            name="entry-1",
            hall="hall-a",
            host="127.0.0.1",
            port=0,
            control_host="127.0.0.1",
            control_port=0,
            keepers=[FakeClient.address],
            shared_key=fakes.SHARED_KEY,
        )
        loop = types.SimpleNamespace(scheduler=self.clock)
        self.link = keeper_link.KeeperLink(loop, None, config, view.TableView(), FakeListener(), "")
        self.client = self.link._client
        self.results = []

    def claim(self, key):
        self.link.claim(key, b"f", self.results.append)


@pytest.fixture
def setting(monkeypatch):
    return Setting(monkeypatch)


def _make_claim_answer(state):
    return messages.ClaimAnswer(request=1, state=state, status=0, content_type="", body=b"")


@pytest.mark.parametrize(
    "message",
    [
        messages.Snapshot(log_id="a", version=1, rows=[["sheet"]]),
        messages.ChangeMade(log_id="a", change=[1, "edit", "author", 0, [4]]),
        messages.Members(entries=[["entry-2", "hall-a"]]),
        messages.Contents(items=[[1]]),
        _make_claim_answer("odd"),
    ],
)
def test_a_malformed_message_ends_the_stream_with_a_reason(setting, message):
    """Guards against an exception in the loop for what another process sent."""
    setting.claim("a")
    setting.link.on_peer_message(message)
    (reason,) = setting.client.rejected
    assert type(message).__name__ in reason
    assert setting.client.reasons == [reason]


def test_a_claim_with_a_malformed_answer_still_gets_a_result(setting):
    """Guards against a caller that waits for ever, whose key also stays claimed."""
    setting.claim("a")
    setting.link.on_peer_message(_make_claim_answer("odd"))
    setting.clock.run(keeper_link.CLAIM_TIMEOUT_S)
    assert [result.state for result in setting.results] == [None]
    (release,) = setting.client.get_sent(messages.FinishOnce)
    assert (release.key, release.ran) == ("a", "no")


def test_a_resend_without_an_answer_does_not_release_the_key_of_the_running_request(setting):
    """Guards against a third request with the key, which would run beside the first."""
    setting.claim("a")
    setting.link.on_peer_message(_make_claim_answer("granted"))
    setting.claim("a")
    setting.clock.run(keeper_link.CLAIM_TIMEOUT_S)
    assert [result.state for result in setting.results] == [once_journal.ClaimState.GRANTED, None]
    assert not setting.client.get_sent(messages.FinishOnce)


def test_nor_does_it_replace_an_end_that_is_not_confirmed(setting):
    """Guards against a keeper that gets a release instead of the end of a request that has run."""
    setting.claim("a")
    setting.link.on_peer_message(_make_claim_answer("granted"))
    setting.link.finish("a", codes.Ran.YES, None)
    setting.claim("a")
    setting.clock.run(keeper_link.CLAIM_TIMEOUT_S)
    setting.client.reconnect("lost")
    assert [end.ran for end in setting.client.get_sent(messages.FinishOnce)] == ["yes"]
    setting.link.on_peer_message(messages.FinishNoted(key="a"))
    setting.claim("a")
    setting.clock.run(keeper_link.CLAIM_TIMEOUT_S)
    assert [end.ran for end in setting.client.get_sent(messages.FinishOnce)] == ["yes", "no"]


def _fill(setting):
    """Let requests end that the keeper granted, of which it confirms nothing."""
    for number in range(keeper_link.MAX_UNCONFIRMED):
        setting.link.finish(f"k-{number}", codes.Ran.YES, None)


def test_no_key_is_claimed_while_too_many_ends_are_unconfirmed(setting, caplog):
    """Guards against a memory without bound, and against an end that is dropped for it."""
    caplog.set_level(logging.INFO)
    _fill(setting)
    setting.claim("a")
    setting.claim("b")
    setting.clock.run(0.0)
    assert [result.state for result in setting.results] == [None, None]
    assert not setting.client.get_sent(messages.ClaimOnce)
    assert setting.link.unconfirmed_count == keeper_link.MAX_UNCONFIRMED
    setting.link.on_peer_message(messages.FinishNoted(key="k-0"))
    setting.claim("a")
    assert [message.key for message in setting.client.get_sent(messages.ClaimOnce)] == ["a"]
    logged = [item.getMessage() for item in caplog.records if "claimed" in item.getMessage()]
    assert logged == ["no keys are claimed", "keys are claimed again"]


def test_ends_that_a_connected_keeper_does_not_confirm_are_sent_again(setting):
    """Guards against an entry that claims nothing any more, though its keeper works again."""
    _fill(setting)
    setting.clock.run(keeper_link.MIN_RESEND_INTERVAL_S)
    for _ in range(3):
        setting.claim("a")
    assert len(setting.client.reasons) == 1
    assert len(setting.client.get_sent(messages.FinishOnce)) == keeper_link.MAX_UNCONFIRMED
