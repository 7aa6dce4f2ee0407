"""Majorities of members before, during and after a change."""

import itertools

import hypothesis
import msgpack
from hypothesis import strategies

from spoolhead.coordination import consensus_messages as messages
from spoolhead.coordination import consensus_types, joining, membership

IDS = strategies.sets(strategies.sampled_from("abcdefg"), min_size=1, max_size=6)


def _get_deciding(group):
    ids = group.all_members
    subsets = itertools.chain.from_iterable(
        itertools.combinations(ids, size) for size in range(len(ids) + 1)
    )
    return [set(subset) for subset in subsets if group.has_majority(subset)]


@hypothesis.given(IDS, IDS)
def test_decisions_before_during_and_after_a_change_share_a_member(former, members):
    before = membership.Membership(former, 3)
    during = before.begin_change(members, 3)
    after = during.finish_change()
    for one, other in ((before, during), (during, during), (during, after)):
        for majority in _get_deciding(one):
            assert all(majority & another for another in _get_deciding(other))


@hypothesis.given(IDS, IDS, strategies.dictionaries(strategies.sampled_from("abcdefgh"), IDS))
def test_an_index_is_reached_by_a_deciding_majority(former, members, numbers):
    group = membership.Membership(members, 3, former)
    indexes = {member: len(value) for member, value in numbers.items()}
    index = group.get_majority_index(indexes)
    reached = [member for member, value in indexes.items() if value >= index]
    assert index == 0 or group.has_majority(reached)
    beyond = [member for member, value in indexes.items() if value > index]
    assert not group.has_majority(beyond)


@hypothesis.given(IDS, IDS)
def test_a_packed_membership_is_read_back(former, members):
    group = membership.Membership.unpack(membership.Membership(members, 3, former).pack())
    assert (group.members, group.former) == (tuple(sorted(members)), tuple(sorted(former)))


def test_a_membership_of_the_released_version_is_read():
    group = membership.Membership.unpack(msgpack.packb([["a", "b", "c"], 3]))
    assert (group.members, group.target_size, group.is_joint) == (("a", "b", "c"), 3, False)


def _get_change(members, newcomers, *, lost=None, target_size=3, is_first_start=False):
    requests = joining.Newcomers(consensus_types.Timing())
    for member in newcomers:
        requests.add(messages.JoinRequest(member=member, is_first_start=is_first_start), 10.0)
    group = membership.Membership(members, target_size)
    return requests.get_change(group, set(newcomers), lost)


def test_a_newcomer_takes_the_place_at_its_own_address_first():
    change = _get_change(["a#1", "b#1", "c#1"], ["a0#1", "c#2"], lost="b#1")
    assert (change.members, change.former) == (("a#1", "b#1", "c#2"), ("a#1", "b#1", "c#1"))


def test_a_newcomer_elsewhere_takes_the_place_of_a_lost_member_only():
    members = ["a#1", "b#1", "c#1"]
    assert _get_change(members, ["d#1"]) is None
    assert _get_change(members, ["d#1"], lost="b#1").members == ("a#1", "c#1", "d#1")


def test_a_group_below_its_size_takes_a_newcomer():
    assert _get_change(["a#1", "b#1"], ["d#1"]).members == ("a#1", "b#1", "d#1")


def test_a_further_keeper_of_the_first_start_raises_the_size():
    change = _get_change(["a#1", "b#1", "c#1"], ["d#1"], is_first_start=True)
    assert (len(change.members), change.target_size) == (4, 4)


def test_a_group_above_its_size_drops_a_lost_member():
    change = _get_change(["a#1", "b#1", "c#1", "d#1"], [], lost="b#1")
    assert change.members == ("a#1", "c#1", "d#1")
    assert _get_change(["a#1", "b#1", "c#1"], [], lost="b#1") is None
