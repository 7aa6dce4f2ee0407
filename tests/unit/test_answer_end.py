"""Whether an answer is complete follows from its framing, its end and its content alone."""

import itertools

import pytest

from spoolhead._internal.policy import answer_end

Content = answer_end.Content
Ending = answer_end.Ending
Framing = answer_end.Framing
Outcome = answer_end.Outcome


@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("content", Content)
def test_an_answer_that_was_reset_is_broken_off(framing, content):
    assert answer_end.decide(framing, Ending.BROKEN, content) is Outcome.BROKEN_OFF


# Guards against an end that is taken for complete although it lies inside an event.
@pytest.mark.parametrize(("framing", "ending"), list(itertools.product(Framing, Ending)))
def test_a_stream_that_ends_inside_an_event_is_broken_off(framing, ending):
    assert answer_end.decide(framing, ending, Content.PARTIAL_EVENT) is Outcome.BROKEN_OFF


@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED, Framing.NO_BODY])
def test_an_answer_with_framing_is_complete_only_where_that_ends(framing):
    assert answer_end.decide(framing, Ending.FRAMED, Content.OPAQUE) is Outcome.COMPLETE
    assert answer_end.decide(framing, Ending.CLOSED, Content.OPAQUE) is Outcome.BROKEN_OFF


# Guards against the end of a connection that is taken for the end of the answer.
@pytest.mark.parametrize("content", [Content.OPAQUE, Content.WHOLE_EVENTS])
def test_the_end_of_the_connection_alone_shows_nothing(content):
    assert answer_end.decide(Framing.CONNECTION, Ending.CLOSED, content) is Outcome.UNKNOWN


# Guards against an empty success for a generation that was broken off before its first event.
def test_a_stream_without_an_event_or_framing_is_broken_off():
    outcome = answer_end.decide(Framing.CONNECTION, Ending.CLOSED, Content.NO_EVENT)
    assert outcome is Outcome.BROKEN_OFF


def test_a_marked_end_is_complete_without_framing():
    outcome = answer_end.decide(Framing.CONNECTION, Ending.CLOSED, Content.MARKED_END)
    assert outcome is Outcome.COMPLETE


@pytest.mark.parametrize(
    ("headers", "framing"),
    [
        ([], Framing.CONNECTION),
        ([("content-length", "0")], Framing.LENGTH),
        ([("transfer-encoding", "Chunked")], Framing.CHUNKED),
        ([("transfer-encoding", "chunked"), ("content-length", "3")], Framing.CHUNKED),
        ([("transfer-encoding", "identity")], Framing.CONNECTION),
        ([("transfer-encoding", "gzip, chunked")], Framing.INVALID),
        ([("transfer-encoding", "gzip")], Framing.INVALID),
    ],
)
def test_the_framing_follows_from_the_headers(headers, framing):
    assert answer_end.get_framing(200, headers) is framing
    assert answer_end.get_framing(200, headers, has_no_body=True) is Framing.NO_BODY
    assert answer_end.get_framing(204, headers) is Framing.NO_BODY
