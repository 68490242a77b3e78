"""Tests of a new home's questions to its peers."""

import pytest

from chicoryproxy.ids import InstanceId, ServiceId, SlotIndex, UpstreamId
from chicoryproxy.protocol.messages import FlowAnswer, SlotName, SlotQuestion
from chicoryproxy.routing.takeover import PATIENCE_S, WAIT_S, create_take_over

SLOT = SlotName(ServiceId("qa-desk"), SlotIndex(3), 512)
PEERS = [InstanceId("entry-1"), InstanceId("entry-2")]


@pytest.fixture
def take_over():
    """A take-over that has asked two peers about one slot at time zero."""
    take_over = create_take_over()
    take_over.refresh([SlotQuestion(SLOT, UpstreamId("qa-1"))])
    assert [action.instance for action in take_over.start(PEERS, 0.0)] == PEERS
    return take_over


def answer(take_over, peer, number=1):
    take_over.receive(peer, FlowAnswer(number, ()))


def test_slot_is_trusted_once_every_peer_answered(take_over):
    answer(take_over, PEERS[0])
    take_over.finish(0.01)
    assert not take_over.has_all_records(SLOT)
    answer(take_over, PEERS[1])
    take_over.finish(0.02)
    assert take_over.has_all_records(SLOT)


def test_answer_to_an_older_question_does_not_count(take_over):
    answer(take_over, PEERS[0], number=0)
    answer(take_over, PEERS[1])
    take_over.finish(0.01)
    assert not take_over.has_all_records(SLOT)


def test_late_peer_that_is_alive_is_asked_again(take_over):
    answer(take_over, PEERS[0])
    again = take_over.remind(PEERS, WAIT_S)
    assert [action.instance for action in again] == PEERS[1:]
    take_over.finish(WAIT_S)
    assert not take_over.has_all_records(SLOT)


def test_dead_peer_is_not_waited_for(take_over):
    answer(take_over, PEERS[0])
    assert take_over.remind(PEERS[:1], WAIT_S) == []
    take_over.finish(WAIT_S)
    assert take_over.has_all_records(SLOT)


def test_patience_ends(take_over):
    assert take_over.remind(PEERS, PATIENCE_S) == []
    take_over.finish(PATIENCE_S)
    assert take_over.has_all_records(SLOT)
    assert take_over.count().unanswered == len(PEERS)


def test_slots_that_a_peer_takes_over_are_not_trusted(take_over):
    take_over.trust([SLOT])
    take_over.yield_slots([SLOT])
    assert not take_over.has_all_records(SLOT)
