"""Rest that an instance asks of an entry, and its word that it leaves."""

import pytest

from spoolhead.platform import dialect


def _read(status, **headers):
    named = [(name.replace("_", "-"), value) for name, value in headers.items()]
    return dialect.Dialect().read_answer(status, named)


@pytest.mark.parametrize(
    ("text", "rest_ms"), [("3", 3_000), ("0.25", 250), ("0", 0), (" 2 ", 2_000), ("1e9", 10**12)]
)
@pytest.mark.parametrize("status", [429, 503])
def test_an_answer_that_turns_a_request_away_may_ask_for_rest(status, text, rest_ms):
    head = _read(status, retry_after=text)
    assert (head.rest_ms, head.is_rest_unreadable) == (rest_ms, False)


@pytest.mark.parametrize("text", ["-1", "soon", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"])
def test_what_is_no_number_of_seconds_asks_for_nothing(text):
    head = _read(503, retry_after=text)
    assert (head.rest_ms, head.is_rest_unreadable) == (None, True)


def test_other_answers_ask_for_nothing():
    assert _read(200, retry_after="3").rest_ms is None
    assert _read(503).rest_ms is None
    assert _read(503, retry_after="").is_rest_unreadable is False


@pytest.mark.parametrize(("text", "is_leaving"), [("1", True), ("0", False), ("", False)])
def test_an_instance_says_itself_that_it_leaves(text, is_leaving):
    head = _read(200, server_leaving=text)
    assert head.is_leaving is is_leaving
    assert head.headers == []
