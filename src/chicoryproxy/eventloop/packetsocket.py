"""Non-blocking UDP socket on the event loop, for callers' packets and for heartbeats."""

import socket
from collections.abc import Callable

from chicoryproxy.endpoint import Endpoint
from chicoryproxy.eventloop.datagram import open_datagram_socket
from chicoryproxy.eventloop.loop import Loop

MAX_DATAGRAM_BYTES = 2048
MAX_BATCH_PACKETS = 64
"""Upper limit of packets read per event, so that other sockets and timers aren't starved."""


class PacketSocket:
    """Receives datagrams in batches after ``start_reading`` and sends without blocking.

    :param receive: called with each datagram.
    :param bound_socket: an already bound socket. It is used if it has the given address and
        closed otherwise.

    :ivar unsent: datagrams that could not be sent.
    """

    def __init__(
        self,
        loop: Loop,
        address: Endpoint,
        receive: Callable[[bytes], None],
        bound_socket: socket.socket | None = None,
    ) -> None:
        self.unsent = 0
        self._loop = loop
        self._receive = receive
        if bound_socket is not None and bound_socket.getsockname() != (address.host, address.port):
            bound_socket.close()
            bound_socket = None
        self._socket = bound_socket or open_datagram_socket(address.host, address.port)
        self._is_reading = False

    @property
    def port(self) -> int:
        """The port that the socket is bound to."""
        port: int = self._socket.getsockname()[1]
        return port

    def start_reading(self) -> None:
        """Start receiving; datagrams already queued in the socket are received first."""
        if not self._is_reading:
            self._is_reading = True
            self._loop.watch(self._socket, on_readable=self._read)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        if self._is_reading:
            self._loop.unwatch(self._socket)
        self._socket.close()

    def send(self, data: bytes, target: tuple[str, int]) -> None:
        """Send a datagram; count it as unsent if the socket returns an error."""
        try:
            self._socket.sendto(data, target)
        except OSError:
            self.unsent += 1

    def _read(self) -> None:
        receive, read = self._receive, self._socket.recv
        for _ in range(MAX_BATCH_PACKETS):
            try:
                data = read(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # An ICMP error caused by an earlier datagram; the socket remains usable.
                continue
            receive(data)
