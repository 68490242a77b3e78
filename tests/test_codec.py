"""Tests of the message codec: round trips, encoded sizes and invalid input."""

from typing import get_args

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryproxy.ids import (
    DomainId,
    Epoch,
    FlowKey,
    Incarnation,
    InstanceId,
    RegionId,
    ServiceId,
    SlotIndex,
    UpstreamId,
    Version,
)
from chicoryproxy.model import (
    Configuration,
    Domain,
    Endpoint,
    Generation,
    Instance,
    Service,
    ServiceAddress,
    Upstream,
    UpstreamCondition,
)
from chicoryproxy.network import codec
from chicoryproxy.network.codec import DecodeProblem
from chicoryproxy.protocol.messages import (
    Ack,
    EntryMessage,
    EntryReport,
    FlowAnswer,
    FlowHints,
    FlowQuery,
    FlowRecord,
    Gossip,
    Grant,
    GrantRequest,
    Handover,
    HandoverAck,
    LeavingAck,
    LeavingNotice,
    LinkMessage,
    Member,
    MemberUpdate,
    OpeningOutcomes,
    PassedPacket,
    Ping,
    PingRequest,
    ReleaseQuery,
    ServiceClean,
    SlotActivity,
    SlotFloor,
    SlotName,
    SlotQuery,
    SlotQuestion,
    SlotRelease,
    SlotReleases,
    SlotReport,
    VersionBody,
    VersionFetch,
    ViewMessage,
    ViewUpdate,
)
from chicoryproxy.states import MemberState, Protocol, UpstreamState

MAX_HINT_BYTES = 30
PEER = InstanceId("shah-alam-1")
UPSTREAM = UpstreamId("qa-desk-3")
SERVICE = ServiceId("qa-desk")
RECORDS = tuple(
    FlowRecord(FlowKey((1 << 64) - 1 - index * 0x9E3779B97F4A7), SERVICE, UPSTREAM)
    for index in range(20)
)
SLOT = SlotName(SERVICE, SlotIndex(7), 64)
CONDITION = UpstreamCondition(UPSTREAM, UpstreamState.WARMING, 3, 1.5)
GOSSIP = Gossip(Version(9), (MemberUpdate(PEER, MemberState.HIDDEN, Incarnation(2)),), (CONDITION,))
SERVER = Upstream(UPSTREAM, DomainId("shah-alam"), Endpoint("127.0.0.9", 5555))
CONFIGURATION = Configuration(
    Version(9),
    (Domain(DomainId("shah-alam"), RegionId("klang-valley")),),
    (Service(SERVICE, (ServiceAddress("10.0.0.1", 443, Protocol.TCP),), (SERVER,)),),
)
INSTANCE = Instance(
    PEER,
    DomainId("shah-alam"),
    RegionId("klang-valley"),
    Endpoint("127.0.0.2", 1),
    Endpoint("127.0.0.2", 2),
    Endpoint("127.0.0.2", 3),
)
GENERATION = Generation(SERVICE, Version(8), (SERVER,))

ENTRY_MESSAGES = (
    PassedPacket(Version(9), b"\x45\x00packet"),
    PassedPacket(Version(0), b""),
    FlowHints(RECORDS),
    FlowHints(()),
    FlowQuery(5, (SlotQuestion(SLOT, UpstreamId("qa-1")),)),
    FlowAnswer(5, RECORDS, (SlotFloor(SLOT, Version(3)),)),
    Handover(6, RECORDS, (SlotRelease(SLOT, Version(9), Epoch(4)),)),
    HandoverAck(6),
    SlotQuery(8, (SLOT,)),
    ReleaseQuery((SLOT,)),
    SlotReport(8, (SlotActivity(SLOT, Version(9), True),)),
    SlotReleases((SlotRelease(SLOT, Version(9), Epoch(4)),)),
    GrantRequest(7, UPSTREAM, 10),
    Grant(7, UPSTREAM, 10, 0.75),
    OpeningOutcomes(UPSTREAM, 3, 2, 1),
    LeavingNotice(PEER),
    LeavingAck(PEER),
)
VIEW_MESSAGES = (
    Ping(1, GOSSIP),
    Ping(2, Gossip(Version(0))),
    Ack(1, PEER, GOSSIP),
    PingRequest(3, PEER, GOSSIP),
    VersionFetch(Version(4)),
    VersionBody(CONFIGURATION, (GENERATION,), (INSTANCE,), (CONDITION,)),
)
LINK_MESSAGES = (
    ViewUpdate(
        1,
        CONFIGURATION,
        (GENERATION,),
        (Member(INSTANCE, MemberState.ALIVE),),
        (CONDITION,),
        Version(9),
        Version(8),
        False,
    ),
    EntryReport((ServiceClean(SERVICE, Version(9)),), (OpeningOutcomes(UPSTREAM, 3, 2, 1),)),
)


@pytest.mark.parametrize("message", ENTRY_MESSAGES, ids=lambda message: type(message).__name__)
def test_entry_message_round_trip(message):
    assert codec.decode_entry_message(codec.encode(message)) == message


@pytest.mark.parametrize("message", VIEW_MESSAGES, ids=lambda message: type(message).__name__)
def test_view_message_round_trip(message):
    assert codec.decode_view_message(codec.encode(message)) == message


@pytest.mark.parametrize("message", LINK_MESSAGES, ids=lambda message: type(message).__name__)
def test_link_message_round_trip(message):
    assert codec.decode_link_message(codec.encode(message)) == message


@pytest.mark.parametrize("union", [EntryMessage, ViewMessage, LinkMessage])
def test_every_message_has_a_sample(union):
    samples = {type(message) for message in ENTRY_MESSAGES + VIEW_MESSAGES + LINK_MESSAGES}
    assert set(get_args(union)) <= samples


@pytest.mark.parametrize("state", MemberState)
def test_member_states(state):
    ping = Ping(1, Gossip(Version(1), (MemberUpdate(PEER, state, Incarnation(1)),)))
    assert codec.decode_view_message(codec.encode(ping)) == ping


@pytest.mark.parametrize("state", UpstreamState)
def test_upstream_states(state):
    ping = Ping(1, Gossip(Version(1), (), (UpstreamCondition(UPSTREAM, state, 1),)))
    assert codec.decode_view_message(codec.encode(ping)) == ping


def test_hint_record_size():
    assert len(codec.encode(FlowHints(RECORDS))) <= MAX_HINT_BYTES * len(RECORDS)


def test_message_of_another_channel():
    data = codec.encode(Ping(1, GOSSIP))
    assert codec.decode_entry_message(data) is DecodeProblem.WRONG_CHANNEL


def test_message_too_large():
    data = bytes(codec.MAX_MESSAGE_BYTES + 1)
    assert codec.decode_entry_message(data) is DecodeProblem.TOO_LARGE


def test_decompression_bomb_is_rejected():
    """Rejects a packed run of zeros that expands a thousandfold, by the traversal limit."""
    header = b"\x13" + b"\x00\x00\x00"
    assert isinstance(codec.decode_view_message(header + b"\x00\xff" * 10_000), DecodeProblem)


def test_record_with_unknown_pair():
    root = codec._SCHEMA.Message.new_message()
    table = root.init("flowHints")
    table.flows = [1]
    table.pairs = [9]
    assert codec.decode_entry_message(root.to_bytes_packed()) is DecodeProblem.INVALID_FIELD


@settings(derandomize=True, deadline=None, max_examples=500)
@given(st.binary(max_size=400))
def test_arbitrary_input(data):
    for decode in (
        codec.decode_entry_message,
        codec.decode_view_message,
        codec.decode_link_message,
    ):
        assert decode(data) is not None


@settings(derandomize=True, deadline=None, max_examples=1000)
@given(
    st.sampled_from(ENTRY_MESSAGES + VIEW_MESSAGES + LINK_MESSAGES),
    st.integers(0, 2000),
    st.integers(1, 255),
    st.booleans(),
)
def test_corrupted_message(message, offset, bit_mask, is_truncated):
    data = bytearray(codec.encode(message))
    offset %= len(data)
    if is_truncated:
        del data[offset:]
    else:
        data[offset] ^= bit_mask
    for decode in (
        codec.decode_entry_message,
        codec.decode_view_message,
        codec.decode_link_message,
    ):
        assert decode(bytes(data)) is not None
