"""Tests of the authentication of peer messages."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryproxy.ids import InstanceId
from chicoryproxy.network import seal
from chicoryproxy.network.seal import Channel, OpenedMessage, SealProblem, create_seal

ALPHA = InstanceId("alpha")
BETA = InstanceId("beta")
OLD_KEY = b"old key, 32 bytes long, for test"
NEW_KEY = b"new key, 32 bytes long, for test"
HOST = "127.0.0.1"


def create_pair(sender_keys=(NEW_KEY,), receiver_keys=(NEW_KEY,), session=1):
    sender = create_seal(ALPHA, session, Channel.PEER, sender_keys)
    return sender, create_seal(BETA, 1, Channel.PEER, receiver_keys)


@pytest.mark.parametrize(
    ("sender_keys", "receiver_keys"),
    [
        ((NEW_KEY,), (NEW_KEY,)),
        ((OLD_KEY,), (NEW_KEY, OLD_KEY)),
        ((NEW_KEY, OLD_KEY), (OLD_KEY, NEW_KEY)),
    ],
)
def test_accepted_keys(sender_keys, receiver_keys):
    sender, receiver = create_pair(sender_keys, receiver_keys)
    assert receiver.open(sender.seal(b"body", BETA), HOST) == OpenedMessage(ALPHA, b"body")


def test_retired_key():
    sender, receiver = create_pair((OLD_KEY,), (NEW_KEY,))
    assert receiver.open(sender.seal(b"body", BETA), HOST) is SealProblem.UNKNOWN_KEY
    assert receiver.problems == {SealProblem.UNKNOWN_KEY: 1}


def test_message_for_another_receiver():
    sender, receiver = create_pair()
    data = sender.seal(b"body", InstanceId("gamma"))
    assert receiver.open(data, HOST) is SealProblem.WRONG_TAG


def test_message_of_another_channel():
    sender, _ = create_pair()
    receiver = create_seal(BETA, 1, Channel.VIEW, (NEW_KEY,))
    assert receiver.open(sender.seal(b"body", BETA), HOST) is SealProblem.WRONG_TAG


def test_replay_and_reordering():
    sender, receiver = create_pair()
    messages = [sender.seal(bytes((index,)), BETA) for index in range(4)]
    for index in (1, 0, 3, 2):
        assert receiver.open(messages[index], HOST) == OpenedMessage(ALPHA, bytes((index,)))
    for message in messages:
        assert receiver.open(message, HOST) is SealProblem.REPLAYED


def test_message_before_the_window():
    sender, receiver = create_pair()
    late = sender.seal(b"late", BETA)
    for _ in range(seal.WINDOW_MESSAGES):
        assert isinstance(receiver.open(sender.seal(b"", BETA), HOST), OpenedMessage)
    assert receiver.open(late, HOST) is SealProblem.REPLAYED


def test_sender_restart():
    before, receiver = create_pair()
    old = [before.seal(b"old", BETA) for _ in range(2)]
    assert isinstance(receiver.open(old[0], HOST), OpenedMessage)
    after, _ = create_pair(session=2)
    assert isinstance(receiver.open(after.seal(b"new", BETA), HOST), OpenedMessage)
    assert receiver.open(old[1], HOST) is SealProblem.REPLAYED


def test_number_of_senders_is_bounded(monkeypatch):
    monkeypatch.setattr(seal, "MAX_SENDERS", 3)
    receiver = create_seal(BETA, 1, Channel.PEER, (NEW_KEY,))
    for index in range(5):
        sender = create_seal(InstanceId(f"s{index}"), 1, Channel.PEER, (NEW_KEY,))
        assert isinstance(receiver.open(sender.seal(b"", BETA), HOST), OpenedMessage)
    assert len(receiver._windows._by_sender) == 3


def test_address_without_key():
    sender, receiver = create_pair((), ())
    assert receiver.open(sender.seal(b"x", BETA), HOST) is SealProblem.UNLISTED_ADDRESS
    receiver.set_peers({ALPHA: HOST})
    assert receiver.open(sender.seal(b"x", BETA), HOST) == OpenedMessage(ALPHA, b"x")
    assert receiver.open(sender.seal(b"x", BETA), "127.0.0.9") is SealProblem.UNLISTED_ADDRESS


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_arbitrary_input(data):
    _, receiver = create_pair()
    assert isinstance(receiver.open(data, HOST), SealProblem)


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 60), st.integers(1, 255), st.booleans())
def test_corrupted_message(offset, bit_mask, is_truncated):
    sender, receiver = create_pair()
    data = bytearray(sender.seal(b"some body", BETA))
    offset %= len(data)
    if is_truncated:
        del data[offset:]
    else:
        data[offset] ^= bit_mask
    assert isinstance(receiver.open(bytes(data), HOST), SealProblem)
