"""Tests of a new home's queries to its peers."""

import pytest

from chicoryproxy.ids import InstanceId, ServiceId, SlotIndex, UpstreamId
from chicoryproxy.protocol.messages import FlowAnswer, SlotName, SlotQuestion
from chicoryproxy.routing.takeover import ANSWER_TIMEOUT_S, QUERY_TIMEOUT_S, create_take_over

SLOT = SlotName(ServiceId("qa-desk"), SlotIndex(3), 512)
PEERS = [InstanceId("entry-1"), InstanceId("entry-2")]


@pytest.fixture
def take_over():
    """A takeover that has queried two peers about one slot at time zero."""
    take_over = create_take_over()
    take_over.request_refresh([SlotQuestion(SLOT, UpstreamId("qa-1"))])
    assert [action.instance for action in take_over.start_query(PEERS, 0.0)] == PEERS
    return take_over


def answer(take_over, peer, number=1):
    take_over.receive_answer(peer, FlowAnswer(number, ()))


def test_slot_is_complete_once_every_peer_answered(take_over):
    answer(take_over, PEERS[0])
    take_over.finish_query(0.01)
    assert not take_over.has_all_records(SLOT)
    answer(take_over, PEERS[1])
    take_over.finish_query(0.02)
    assert take_over.has_all_records(SLOT)


def test_answer_to_an_older_question_does_not_count(take_over):
    answer(take_over, PEERS[0], number=0)
    answer(take_over, PEERS[1])
    take_over.finish_query(0.01)
    assert not take_over.has_all_records(SLOT)


def test_late_peer_that_is_alive_is_queried_again(take_over):
    answer(take_over, PEERS[0])
    again = take_over.resend_query(PEERS, ANSWER_TIMEOUT_S)
    assert [action.instance for action in again] == PEERS[1:]
    take_over.finish_query(ANSWER_TIMEOUT_S)
    assert not take_over.has_all_records(SLOT)


def test_dead_peer_is_not_waited_for(take_over):
    answer(take_over, PEERS[0])
    assert take_over.resend_query(PEERS[:1], ANSWER_TIMEOUT_S) == []
    take_over.finish_query(ANSWER_TIMEOUT_S)
    assert take_over.has_all_records(SLOT)


def test_query_times_out(take_over):
    assert take_over.resend_query(PEERS, QUERY_TIMEOUT_S) == []
    take_over.finish_query(QUERY_TIMEOUT_S)
    assert take_over.has_all_records(SLOT)
    assert take_over.count().unanswered == len(PEERS)


def test_slots_that_a_peer_takes_over_are_incomplete(take_over):
    take_over.mark_complete([SLOT])
    take_over.invalidate([SLOT])
    assert not take_over.has_all_records(SLOT)


def test_open_query_about_slots_that_a_peer_takes_over_does_not_complete_them(take_over):
    take_over.invalidate([SLOT])
    for peer in PEERS:
        answer(take_over, peer)
    take_over.finish_query(0.01)
    assert not take_over.has_all_records(SLOT)
