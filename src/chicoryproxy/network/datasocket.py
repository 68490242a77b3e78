"""UDP socket of the data path.

The non-blocking socket is read in batches: one event-loop wakeup receives up to ``BATCH_PACKETS``
packets, which costs less per packet than one wakeup and callback per packet.
"""

import socket
from collections.abc import Callable

import aiomisc

from chicoryproxy.model import Endpoint

BATCH_PACKETS = 64
MAX_PACKET_BYTES = 65_535
BUFFER_BYTES = 4 * 1024 * 1024

Address = tuple[str, int]
ReceivePacket = Callable[[bytes, Address], None]


class DataSocket(aiomisc.Service):
    """Receives and sends IP-in-UDP packets.

    :param endpoint: local address of the socket.
    :param receive: called with each packet and its outer source address.

    :ivar unsent: number of packets that could not be sent.
    """

    def __init__(self, endpoint: Endpoint, receive: ReceivePacket) -> None:
        super().__init__()
        self.unsent = 0
        self._endpoint = endpoint
        self._receive = receive
        self._socket: socket.socket | None = None

    def send(self, packet: bytes, address: Address) -> None:
        """Send a packet; if the socket can't take it immediately, count it and drop it."""
        if self._socket is None:
            self.unsent += 1
            return
        try:
            self._socket.sendto(packet, address)
        except OSError:
            self.unsent += 1

    async def start(self) -> None:
        """Receive packets until the service is stopped."""
        self._socket = _open(self._endpoint)
        self.loop.add_reader(self._socket.fileno(), self._receive_batch, self._socket)
        self.start_event.set()
        await self.loop.create_future()

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the socket."""
        if self._socket is not None:
            self.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _receive_batch(self, source: socket.socket) -> None:
        receive = self._receive
        recvfrom = source.recvfrom
        try:
            for _ in range(BATCH_PACKETS):
                data, address = recvfrom(MAX_PACKET_BYTES)
                receive(data, address)
        except (BlockingIOError, InterruptedError):
            pass
        except ConnectionError:
            # An ICMP error for a packet sent earlier; the socket itself still works.
            pass


def _open(endpoint: Endpoint) -> socket.socket:
    family = socket.AF_INET6 if ":" in endpoint.host else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_DGRAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        opened.setblocking(False)
        opened.bind((endpoint.host, endpoint.port))
    except OSError:
        opened.close()
        raise
    return opened
