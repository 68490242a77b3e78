"""Transport of sealed messages between instances, over UDP and TCP.

Messages of up to ``MAX_DATAGRAM_BYTES`` are sent as one datagram. Larger ones are sent over a TCP
connection to the same address, each preceded by its length. Passed packets are always sent as
datagrams: the caller's own transport retransmits lost ones, while a stalled stream would delay all
packets queued on it.
"""

import asyncio
import struct
from collections import OrderedDict
from collections.abc import Callable, Mapping

import aiomisc

from chicoryproxy.ids import InstanceId
from chicoryproxy.model import Endpoint
from chicoryproxy.network.backoff import Backoff
from chicoryproxy.network.codec import MAX_MESSAGE_BYTES
from chicoryproxy.network.seal import OpenedMessage, Seal
from chicoryproxy.telemetry.logs import PartLogger
from chicoryproxy.telemetry.metrics import Metric, Metrics

MAX_DATAGRAM_BYTES = 1200
MAX_FRAME_BYTES = MAX_MESSAGE_BYTES + 1024
MAX_STREAMS = 64
MAX_REPLY_ADDRESSES = 256
MAX_QUEUED_FRAMES = 16
MAX_BYTES_IN_FLIGHT = 64 * 1024 * 1024
STREAM_IDLE_S = 30.0
CONNECT_TIMEOUT_S = 3.0

_LENGTH = struct.Struct("!I")

Receive = Callable[[InstanceId, bytes], None]
"""Callback that receives the sender and the body of an accepted message."""


class PeerTransport(aiomisc.Service):
    """Exchanges messages with peers over one local address.

    :param endpoint: local address at which messages are received, for UDP and TCP.
    :param seal: authenticates the messages.
    :param receive: called with each accepted message.
    :param seed: seed of the reconnect jitter.
    """

    def __init__(
        self, endpoint: Endpoint, seal: Seal, receive: Receive, metrics: Metrics, seed: int
    ) -> None:
        super().__init__()
        self._endpoint = endpoint
        self._seal = seal
        self._receive = receive
        self._metrics = metrics
        self._seed = seed
        self._peers: Mapping[InstanceId, Endpoint] = {}
        self._reply_addresses: OrderedDict[InstanceId, Endpoint] = OrderedDict()
        self._datagrams: asyncio.DatagramTransport | None = None
        self._streams: OrderedDict[Endpoint, _OutgoingStream] = OrderedDict()
        self._incoming: set[asyncio.StreamWriter] = set()
        self._bytes_in_flight = 0
        self._failed: asyncio.Future[None] | None = None

    def set_peers(self, peers: Mapping[InstanceId, Endpoint]) -> None:
        """Set the addresses of the peers."""
        self._peers = peers
        self._seal.set_peers({instance: peer.host for instance, peer in peers.items()})

    def send(self, receiver: InstanceId, body: bytes, as_datagram: bool = False) -> None:
        """Send a message; if the receiver's address is unknown, count the message and drop it.

        :param as_datagram: send the message as a datagram regardless of its size.
        """
        peer = self._peers.get(receiver) or self._reply_addresses.get(receiver)
        if peer is None or self._datagrams is None:
            self._metrics.count(Metric.PEER_UNSENT)
            return
        data = self._seal.seal(body, receiver)
        self._metrics.count(Metric.PEER_BYTES_SENT, len(data))
        if as_datagram or len(data) <= MAX_DATAGRAM_BYTES:
            self._datagrams.sendto(data, (peer.host, peer.port))
        elif not self._get_stream(peer).put(data):
            self._metrics.count(Metric.PEER_UNSENT)

    async def start(self) -> None:
        """Receive messages until the datagram socket fails."""
        address = (self._endpoint.host, self._endpoint.port)
        self._failed = self.loop.create_future()
        self._datagrams, _ = await self.loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self), local_addr=address
        )
        server = await asyncio.start_server(self._serve, *address, limit=MAX_DATAGRAM_BYTES)
        self.start_event.set()
        async with server:
            await self._failed

    async def stop(self, exception: Exception | None = None) -> None:
        """Close all sockets."""
        for stream in self._streams.values():
            stream.close()
        self._streams.clear()
        for writer in self._incoming:
            writer.close()
        if self._datagrams is not None:
            self._datagrams.close()
            self._datagrams = None

    def accept(self, data: bytes, host: str, port: int | None = None) -> None:
        """Verify a received message and pass it to the receiver callback.

        :param host: source address.
        :param port: source port of a datagram, at which its sender receives messages; ``None`` for
            a message from a stream.
        """
        self._metrics.count(Metric.PEER_BYTES_RECEIVED, len(data))
        opened = self._seal.open(data, host)
        if isinstance(opened, OpenedMessage):
            if port is not None and opened.sender not in self._peers:
                self._record_reply_address(opened.sender, Endpoint(host, port))
            self._receive(opened.sender, opened.body)
        else:
            self._metrics.count(Metric.PEER_REFUSED, label=opened.value)

    def fail(self, error: Exception | None) -> None:
        """Stop the service with an error because the datagram socket was closed."""
        if self._failed is not None and not self._failed.done():
            self._failed.set_exception(error or ConnectionError("the peer socket was closed"))

    def _record_reply_address(self, sender: InstanceId, source: Endpoint) -> None:
        """Record the address of a sender that is not in the instance list yet.

        An instance that has just joined queries its peers before all of them have it in their list.
        """
        self._reply_addresses[sender] = source
        self._reply_addresses.move_to_end(sender)
        if len(self._reply_addresses) > MAX_REPLY_ADDRESSES:
            self._reply_addresses.popitem(last=False)

    def _get_stream(self, peer: Endpoint) -> "_OutgoingStream":
        stream = self._streams.get(peer)
        if stream is None or stream.is_closed:
            stream = _OutgoingStream(self._endpoint.host, peer, Backoff(self._seed + peer.port))
            self._streams[peer] = stream
        self._streams.move_to_end(peer)
        if len(self._streams) > MAX_STREAMS:
            _, oldest = self._streams.popitem(last=False)
            oldest.close()
        return stream

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._incoming) >= MAX_STREAMS:
            writer.close()
            return
        self._incoming.add(writer)
        host = writer.get_extra_info("peername")[0]
        try:
            while await self._serve_frame(reader, host):
                pass
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            self._incoming.discard(writer)
            writer.close()

    async def _serve_frame(self, reader: asyncio.StreamReader, host: str) -> bool:
        async with asyncio.timeout(STREAM_IDLE_S):
            (size,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
            if size > MAX_FRAME_BYTES or self._bytes_in_flight + size > MAX_BYTES_IN_FLIGHT:
                return False
            self._bytes_in_flight += size
            try:
                data = await reader.readexactly(size)
            finally:
                self._bytes_in_flight -= size
        self.accept(data, host)
        return True


TransportFactory = Callable[[Receive], PeerTransport]
"""Creates the transport of a driver from the callback that receives its messages."""


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Passes received datagrams to the transport."""

    def __init__(self, owner: PeerTransport) -> None:
        self._owner = owner

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._owner.accept(data, addr[0], addr[1])

    def connection_lost(self, exc: Exception | None) -> None:
        self._owner.fail(exc)


class _OutgoingStream:
    """A TCP connection to one peer with a bounded send queue, closed after an idle timeout."""

    def __init__(self, host: str, peer: Endpoint, backoff: Backoff) -> None:
        self._host = host
        self._peer = peer
        self._backoff = backoff
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_FRAMES)
        self._task = asyncio.get_running_loop().create_task(self._run())

    @property
    def is_closed(self) -> bool:
        return self._task.done()

    def put(self, data: bytes) -> bool:
        """Queue a message; return false if the queue is full."""
        if self._queue.full():
            return False
        self._queue.put_nowait(data)
        return True

    def close(self) -> None:
        self._task.cancel()

    async def _run(self) -> None:
        writer: asyncio.StreamWriter | None = None
        try:
            writer = await self._connect()
            while True:
                async with asyncio.timeout(STREAM_IDLE_S):
                    data = await self._queue.get()
                    writer.writelines((_LENGTH.pack(len(data)), data))
                    await writer.drain()
        except (OSError, TimeoutError) as error:
            if not self._queue.empty():
                PartLogger("peer").warning(
                    "Stream to peer failed.",
                    peer=f"{self._peer.host}:{self._peer.port}",
                    error=str(error),
                )
        finally:
            if writer is not None:
                writer.close()

    async def _connect(self) -> asyncio.StreamWriter:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            while True:
                try:
                    # Without a key, receivers authenticate this instance by its source address.
                    _, writer = await asyncio.open_connection(
                        self._peer.host, self._peer.port, local_addr=(self._host, 0)
                    )
                    return writer
                except OSError:
                    await asyncio.sleep(self._backoff.next_delay())
