"""TCP segments and the event queue of the simulated network."""

import heapq
import itertools
import struct
from collections.abc import Callable

from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_SYN

IP_HEADER = struct.Struct("!BBHHHBBH4s4s")
TCP_HEADER = struct.Struct("!HHLLBBHHH")
SYN_ACK = FLAG_SYN | FLAG_ACK

Connection = tuple[bytes, int]
"""Address and port of a caller."""


class Segment:
    """A TCP segment in an IPv4 packet; checksums are zero, since no receiver verifies them."""

    __slots__ = ("source", "source_port", "target", "target_port", "flags", "seq", "ack", "data")

    def __init__(
        self,
        source: bytes,
        source_port: int,
        target: bytes,
        target_port: int,
        flags: int,
        seq: int = 0,
        ack: int = 0,
        data: bytes = b"",
    ) -> None:
        self.source = source
        self.source_port = source_port
        self.target = target
        self.target_port = target_port
        self.flags = flags
        self.seq = seq
        self.ack = ack
        self.data = data

    def answer(self, flags: int, seq: int, ack: int, data: bytes = b"") -> "Segment":
        """Return a segment in the reverse direction."""
        return Segment(
            self.target, self.target_port, self.source, self.source_port, flags, seq, ack, data
        )

    def pack(self) -> bytes:
        """Encode the segment as an IPv4 packet."""
        size = IP_HEADER.size + TCP_HEADER.size + len(self.data)
        ip = IP_HEADER.pack(0x45, 0, size, 0, 0, 64, 6, 0, self.source, self.target)
        tcp = TCP_HEADER.pack(
            self.source_port, self.target_port, self.seq, self.ack, 0x50, self.flags, 65535, 0, 0
        )
        return ip + tcp + self.data


def unpack_segment(packet: bytes) -> Segment:
    """Decode a packet that ``Segment.pack`` or a core built."""
    *_, source, target = IP_HEADER.unpack_from(packet)
    source_port, target_port, seq, ack, _, flags, *_ = TCP_HEADER.unpack_from(
        packet, IP_HEADER.size
    )
    data = packet[IP_HEADER.size + TCP_HEADER.size :]
    return Segment(source, source_port, target, target_port, flags, seq, ack, data)


class Schedule:
    """An event queue that runs on simulated time.

    :ivar now: current simulated time, in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_later(self, delay_s: float, event: Callable[[], None]) -> None:
        """Schedule an event after a delay."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), event))

    def run_until(self, until_s: float) -> None:
        """Run all events that are due up to a point in time."""
        while self._events and self._events[0][0] <= until_s:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = until_s
