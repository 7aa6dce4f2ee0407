"""Random walks of the keepers' consensus through faults that overlap with changes of members.

``tools/keeper_walks.py`` plays many more seeds.
"""

import pytest

from lib import keeper_walk


@pytest.mark.parametrize("scenario", list(keeper_walk.SCENARIOS))
@pytest.mark.parametrize("seed", range(2))
def test_nothing_is_lost_and_the_group_recovers(scenario, seed):
    keeper_walk.SCENARIOS[scenario](seed)


@pytest.mark.parametrize("seed", range(6))
def test_a_vote_of_a_member_that_lost_its_disk_makes_no_second_history(seed):
    """Guards against replacing a lost member by a majority that need not meet its last vote."""
    keeper_walk.run_unread_vote(seed)


@pytest.mark.parametrize("overlap_s", [0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8])
@pytest.mark.parametrize("how", ["replaced", "removed, then replaced"])
def test_a_member_replaced_beside_one_that_stands_still_leaves_a_group_that_leads(overlap_s, how):
    """Guards against members whose majority includes the member that has just gone.

    The leader has not heard one member for long, and the other one goes for good.
    """
    walk = keeper_walk.Walk(7)
    walk.run(3.0)
    (leader,) = walk.get_leaders()
    still, gone = (node.address for node in walk.nodes.values() if node is not leader)
    walk.freeze(still, 4.0)
    walk.run(2.4)
    walk.replace_planned(gone, overlap_s if how == "replaced" else 0.0)
    walk.run(4.0 - 2.4)
    keeper_walk.check_recovery(walk)
    (leader,) = walk.get_leaders()
    assert len(leader.consensus.members) == 3


def test_a_newcomer_is_no_member_before_it_has_the_log():
    """Guards against counting a newcomer that cannot acknowledge anything yet."""
    walk = keeper_walk.Walk(3)
    walk.run(3.0)
    (leader,) = walk.get_leaders()
    lost = next(address for address in sorted(walk.nodes) if address != leader.address)
    walk.lose_disk(lost)
    walk.step()
    walk.cut_pairs.add((leader.address, lost))
    walk.run(3.0)
    assert walk.nodes[lost].member_id not in leader.consensus.members
    walk.cut_pairs.clear()
    walk.run(2.0)
    assert walk.nodes[lost].member_id in leader.consensus.members
    assert not leader.consensus.is_changing_members


def test_a_newcomer_without_a_lost_member_waits():
    """A group of four needs three members; a further one makes it weaker, not stronger."""
    walk = keeper_walk.Walk(5)
    walk.run(3.0)
    other = walk.replace_planned(sorted(walk.nodes)[0], 1e9)
    walk.run(3.0)
    (leader,) = walk.get_leaders()
    assert len(leader.consensus.members) == 3
    newcomer = walk.nodes[other]
    assert newcomer.machine.changes == leader.machine.changes
    walk.end_all_faults()
    walk.run(5.0)
    assert newcomer.consensus.is_member
