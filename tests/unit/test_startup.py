"""Starting entries serve with a confirmed table, or with any table if the hall is cut off."""

import pytest

from spoolhead._internal.gateway import startup

Step = startup.Step


def _decide(age_s, **changes):
    state = {
        "has_table": True,
        "has_contents": True,
        "has_limits": True,
        "has_instances": True,
        "is_sure": True,
        "reaches_majority": True,
        **changes,
    }
    return startup.decide(startup.StartupState(age_s=age_s, **state))


def test_it_serves_as_soon_as_most_keepers_confirm_its_table():
    assert _decide(0.0) is Step.SERVE


@pytest.mark.parametrize("missing", ["is_sure", "has_instances", "has_contents", "has_limits"])
def test_it_waits_a_second_for_what_is_missing(missing):
    assert _decide(startup.CONFIRMED_WAIT_S, **{missing: False}) is Step.WAIT
    assert _decide(startup.CONFIRMED_WAIT_S + 0.1, **{missing: False}) is Step.SERVE


def test_without_a_confirmed_table_it_waits_while_most_keepers_can_be_reached():
    assert _decide(600.0, has_table=False, is_sure=False) is Step.WAIT


def test_cut_off_from_most_keepers_it_takes_what_there_is():
    cut_off = {"has_table": False, "is_sure": False, "reaches_majority": False}
    assert _decide(startup.UNCONFIRMED_WAIT_S, **cut_off) is Step.WAIT
    assert _decide(startup.UNCONFIRMED_WAIT_S + 0.1, **cut_off) is Step.TAKE_UNCONFIRMED
