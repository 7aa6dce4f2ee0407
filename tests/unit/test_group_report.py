"""What a keeper logs when the group does not get on."""

import logging

import pytest

from lib import keeper_walk
from spoolhead._internal.quorum import group_report


@pytest.fixture
def walk():
    walk = keeper_walk.Walk(4)
    walk.run(2.0)
    return walk


def _run(walk, node, duration_s):
    report = group_report.GroupReport(node.consensus, walk.now_s)
    walk.run(duration_s, lambda: report.update(walk.now_s))


def test_a_keeper_without_a_leader_says_once_who_is_missing(walk, caplog):
    first, second, third = walk.nodes.values()
    walk.kill(second.address, 60.0)
    walk.kill(third.address, 60.0)
    with caplog.at_level(logging.WARNING):
        _run(walk, first, 10.0)
    (line,) = [item for item in caplog.records if item.message == "no leader is elected"]
    assert set(line.fields["missing"]) >= {second.member_id, third.member_id}
    assert not line.fields["is_changing_members"]


def test_a_group_with_a_leader_logs_nothing(walk, caplog):
    with caplog.at_level(logging.WARNING):
        _run(walk, next(iter(walk.nodes.values())), 10.0)
    assert not caplog.records


def test_a_change_of_members_that_takes_long_names_who_is_missing(walk, caplog):
    (leader,) = walk.get_leaders()
    lost, other = (node for node in walk.nodes.values() if node is not leader)
    walk.lose_disk(lost.address)
    assert walk.run_until(lambda: leader.consensus.is_changing_members, 3.0)
    # The former members have no majority without it.
    walk.freeze(other.address, 8.0)
    with caplog.at_level(logging.WARNING):
        _run(walk, leader, 7.0)
    (line,) = [item for item in caplog.records if item.message == "no leader is elected"]
    assert line.fields["is_changing_members"]
    assert other.member_id in line.fields["missing"]


def test_a_conflict_is_an_error_logged_once(walk, caplog):
    (leader,) = walk.get_leaders()
    node = next(node for node in walk.nodes.values() if node is not leader)
    node.log.get_entry(node.consensus.commit_index).term -= 1
    walk.propose(leader)
    with caplog.at_level(logging.ERROR):
        _run(walk, node, 6.0)
    (line,) = caplog.records
    assert line.message == "committed entry differs from the leader's"
    assert line.fields["leader"] == leader.member_id
