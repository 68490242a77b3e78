"""Tests of the estimated message sizes against the output of the codec."""

import pytest

from chicoryproxy.ids import Epoch, Incarnation, InstanceId, UpstreamId, Version
from chicoryproxy.model import UpstreamCondition
from chicoryproxy.network import codec
from chicoryproxy.network.seal import Channel, create_seal
from chicoryproxy.protocol.messages import (
    Ack,
    Gossip,
    MemberUpdate,
    Ping,
    PingRequest,
    VersionFetch,
    ViewMessage,
)
from chicoryproxy.protocol.sizes import estimate_message_bytes
from chicoryproxy.states import MemberState, UpstreamState

HEADERS_BYTES = 20 + 8
SENDER = InstanceId("shah-alam-entry-0001")


def make_gossip(members: int, conditions: int) -> Gossip:
    updates = tuple(
        MemberUpdate(InstanceId(f"entry-{index}"), MemberState.SUSPECT, Incarnation(77))
        for index in range(members)
    )
    epoch = Epoch((4711 << 20) + 3)
    states = tuple(
        UpstreamCondition(UpstreamId(f"log-{index}"), UpstreamState.READY, epoch, 1234.567)
        for index in range(conditions)
    )
    return Gossip(Version(4711), updates, states)


@pytest.mark.parametrize(
    "message",
    [
        Ping(123456, make_gossip(0, 0)),
        Ping(123456, make_gossip(40, 0)),
        Ping(123456, make_gossip(0, 30)),
        Ack(123456, SENDER, make_gossip(3, 3)),
        PingRequest(123456, SENDER, make_gossip(1, 1)),
        VersionFetch(Version(4711)),
    ],
)
def test_estimate_covers_the_sealed_message(message: ViewMessage) -> None:
    seal = create_seal(SENDER, 1 << 40, Channel.VIEW, [b"k" * 32])
    size = HEADERS_BYTES + len(seal.seal(codec.encode(message), SENDER))
    assert size <= estimate_message_bytes(message)
