"""The UDP socket on which callers' packets arrive and leave."""

import socket
from collections.abc import Callable

from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.model import Endpoint

MAX_DATAGRAM_BYTES = 2048
BATCH_PACKETS = 64
"""Packets that are read before other work gets its turn."""

RECEIVE_BUFFER_BYTES = 1 << 20


class PacketSocket:
    """Reads packets in batches and sends without waiting.

    :param receive: called with each packet.

    :ivar unsent: packets that the socket did not take.
    """

    def __init__(self, loop: Loop, address: Endpoint, receive: Callable[[bytes], None]) -> None:
        self.unsent = 0
        self._loop = loop
        self._receive = receive
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.bind((address.host, address.port))
        loop.watch(self._socket, on_readable=self._read)

    @property
    def port(self) -> int:
        """The port that the socket got."""
        port: int = self._socket.getsockname()[1]
        return port

    def close(self) -> None:
        """Stop to read and close the socket."""
        self._loop.forget(self._socket)
        self._socket.close()

    def send(self, data: bytes, target: tuple[str, int]) -> None:
        """Send a datagram, or count it as unsent."""
        try:
            self._socket.sendto(data, target)
        except OSError:
            self.unsent += 1

    def _read(self) -> None:
        receive, read = self._receive, self._socket.recv
        for _ in range(BATCH_PACKETS):
            try:
                data = read(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # An ICMP error of an earlier datagram; the socket stays usable.
                continue
            receive(data)
