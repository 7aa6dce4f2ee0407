"""What observations at an instance's address show of the process there."""

import pytest

from spoolhead._internal.policy import process_evidence

Observation = process_evidence.Observation
ProcessState = process_evidence.ProcessState


@pytest.mark.parametrize("observation", Observation)
def test_a_process_with_an_open_connection_has_not_terminated(observation):
    """Only another process that answers there outweighs an established connection."""
    state = process_evidence.judge(observation, has_open_connection=True)
    is_replaced = observation is Observation.OTHER_ANSWERED
    assert (state is ProcessState.TERMINATED) is is_replaced


@pytest.mark.parametrize("has_open_connection", [False, True])
def test_a_lost_connection_shows_nothing(has_open_connection):
    state = process_evidence.judge(Observation.LOST, has_open_connection=has_open_connection)
    assert state is ProcessState.UNKNOWN


def test_a_refused_connection_alone_shows_the_end():
    state = process_evidence.judge(Observation.REFUSED, has_open_connection=False)
    assert state is ProcessState.TERMINATED
