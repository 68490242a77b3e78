"""Tests of the transport between instances, over real sockets."""

import asyncio

import pytest

from chicoryproxy.ids import InstanceId
from chicoryproxy.network import transport
from chicoryproxy.network.seal import Channel, create_seal
from chicoryproxy.network.transport import PeerTransport
from chicoryproxy.telemetry.metrics import Metric, Metrics

ALPHA = InstanceId("alpha")
BETA = InstanceId("beta")
KEY = b"a key of 32 bytes, for the tests"


class Received:
    """Collects received messages in a queue that tests can wait on."""

    def __init__(self):
        self.messages = asyncio.Queue()

    def receive(self, sender, body):
        self.messages.put_nowait((sender, body))


@pytest.fixture
def pair(pick_endpoint, serve):
    async def create(keys=(KEY,)):
        received = Received()
        peers = {ALPHA: pick_endpoint(), BETA: pick_endpoint()}
        metrics = {name: Metrics(None) for name in peers}
        transports = []
        for name, endpoint in peers.items():
            seal = create_seal(name, 1, Channel.PEER, keys)
            created = PeerTransport(endpoint, seal, received.receive, metrics[name], 1)
            created.set_peers(peers)
            await serve(created)
            transports.append(created)
        return transports, received, metrics, peers

    return create


@pytest.mark.parametrize("keys", [(KEY,), ()])
@pytest.mark.parametrize("size", [0, 1000, 5000, 3_000_000])
def test_message_of_any_size(run, pair, size, keys):
    async def check():
        (alpha, _), received, _, _ = await pair(keys)
        body = bytes(range(256)) * (size // 256) + bytes(size % 256)
        alpha.send(BETA, body)
        assert await received.messages.get() == (ALPHA, body)

    run(check())


def test_passed_packet_is_sent_as_datagram(run, pair):
    async def check():
        (alpha, _), received, _, _ = await pair()
        alpha.send(BETA, bytes(9000), as_datagram=True)
        assert await received.messages.get() == (ALPHA, bytes(9000))
        assert not alpha._streams

    run(check())


def test_stream_preserves_order(run, pair):
    async def check():
        (alpha, _), received, _, _ = await pair()
        for number in range(10):
            alpha.send(BETA, bytes((number,)) * 2000)
        got = [(await received.messages.get())[1][0] for _ in range(10)]
        assert got == list(range(10))

    run(check())


def test_unknown_receiver_is_counted(run, pair):
    async def check():
        (alpha, _), _, metrics, _ = await pair()
        alpha.send(InstanceId("gamma"), b"x")
        assert metrics[ALPHA].get_totals()[Metric.PEER_UNSENT.value] == 1

    run(check())


@pytest.mark.parametrize("size", [10, 5000])
def test_unlisted_sender_gets_an_answer(run, pair, size):
    async def check():
        (alpha, beta), received, _, _ = await pair()
        beta.set_peers({})
        alpha.send(BETA, b"question")
        assert await received.messages.get() == (ALPHA, b"question")
        beta.send(ALPHA, bytes(size))
        assert await received.messages.get() == (BETA, bytes(size))

    run(check())


def test_invalid_datagram_is_counted(run, pair):
    async def check():
        (alpha, beta), received, metrics, peers = await pair()
        alpha._datagrams.sendto(b"foreign", (peers[BETA].host, peers[BETA].port))
        alpha.send(BETA, b"good")
        assert await received.messages.get() == (ALPHA, b"good")
        assert metrics[BETA].get_totals()["peer.refused.truncated"] == 1

    run(check())


@pytest.mark.parametrize("head", [b"\xff\xff\xff\xff", b"\x00\x00", b"\x00\x00\x00\x05abc"])
def test_bad_stream_is_closed(run, pair, head):
    async def check():
        _, received, _, peers = await pair()
        peer = peers[BETA]
        reader, writer = await asyncio.open_connection(peer.host, peer.port)
        writer.write(head)
        writer.write_eof()
        assert await reader.read() == b""
        assert received.messages.empty()
        writer.close()

    run(check())


def test_number_of_streams_is_bounded(run, pair, monkeypatch):
    monkeypatch.setattr(transport, "MAX_STREAMS", 2)

    async def check():
        _, _, _, peers = await pair()
        peer = peers[BETA]
        kept = [await asyncio.open_connection(peer.host, peer.port) for _ in range(3)]
        assert await kept[2][0].read() == b""
        for _, writer in kept:
            writer.close()

    run(check())
