"""A keeper that is started again with the claims of its log, at times that the test sets."""

import pytest

from lib import fakes
from spoolhead._internal.keeper import log_file, service
from spoolhead._internal.models import settings
from spoolhead._internal.network import messages

HOUR_MS = 60 * 60 * 1000


class FakeSession:
    """An entry's stream that keeps what the keeper sends."""

    role = service.ENTRY_ROLE
    name = "entry-1"

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class Keeper:
    """A keeper whose clock the test sets."""

    def __init__(self, folder, monkeypatch):
        self._folder = folder
        self._monkeypatch = monkeypatch
        self.restart()

    def restart(self):
        config = settings.KeeperSettings(
            name="keeper-1",
            hall="hall-a",
            host="127.0.0.1",
            port=0,
            data_dir=str(self._folder),
            shared_key=fakes.SHARED_KEY,
        )
        self._service = service.KeeperService(config, log_file.LogFile(self._folder), None)

    def claim(self, key, *, at_ms):
        """Return the state that a claim is answered with."""
        self._monkeypatch.setattr(service, "_get_time_ms", lambda: at_ms)
        session = FakeSession()
        self._service.handle_claim(
            session, messages.ClaimOnce(request=1, key=key, fingerprint=b"f")
        )
        return session.sent[0].state


@pytest.fixture
def keeper(tmp_path, monkeypatch):
    return Keeper(tmp_path, monkeypatch)


def test_it_starts_again_after_a_key_was_claimed_again(keeper):
    """Guards against a replay that finds a key claimed twice, because it expires no claim."""
    assert keeper.claim("a", at_ms=0) == "granted"
    assert keeper.claim("a", at_ms=25 * HOUR_MS) == "granted"
    keeper.restart()
    assert keeper.claim("a", at_ms=48 * HOUR_MS) != "granted"
    assert keeper.claim("a", at_ms=49 * HOUR_MS) == "granted"


def test_it_starts_again_after_its_clock_was_set_back(keeper):
    """Guards against a claim that expires without a record in the log."""
    assert keeper.claim("a", at_ms=0) == "granted"
    assert keeper.claim("b", at_ms=23 * HOUR_MS) == "granted"
    assert keeper.claim("b", at_ms=25 * HOUR_MS) != "granted"
    assert keeper.claim("a", at_ms=HOUR_MS) != "granted"
    keeper.restart()
    assert keeper.claim("a", at_ms=HOUR_MS) != "granted"
    assert keeper.claim("a", at_ms=25 * HOUR_MS) == "granted"
