"""Stand-in for an upstream, for the demo and the tests: a small TCP server behind IP-in-UDP.

It echoes each request after its own name, so that a caller sees which upstream has answered.
"""

from collections import Counter, deque
from collections.abc import Callable

from msgspec import Struct

from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import Endpoint
from chicoryproxy.network.datasocket import Address, DataSocket
from chicoryproxy.network.segment import (
    SEQUENCE_MASK,
    Segment,
    TcpEndpoint,
    build_packet,
    read_segment,
)
from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN

FIRST_SEQUENCE = 1000
NAME_END = b"|"
WINDOW_S = 1.0
FLAG_PSH = 0x08


class _Connection(Struct):
    """State of one connection: next sequence numbers and the last answer, for a retransmission."""

    expected: int
    sequence: int
    last: Segment
    is_closed: bool = False


class UpstreamStandIn:
    """Answers the packets that entries forward to it.

    :param choose_return: gives the address for the next answer: the fabric or an entry.
    :param clock: time in seconds.

    :ivar requests: requests run, by the caller's end; a retransmitted one is not run again.
    :ivar peak_openings: most openings within ``WINDOW_S``.
    """

    def __init__(
        self,
        name: UpstreamId,
        endpoint: Endpoint,
        choose_return: Callable[[], Address],
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.socket = DataSocket(endpoint, self._receive)
        self.openings = 0
        self.peak_openings = 0
        self.unknown = 0
        self.requests: Counter[TcpEndpoint] = Counter()
        self._choose_return = choose_return
        self._clock = clock
        self._connections: dict[tuple[TcpEndpoint, TcpEndpoint], _Connection] = {}
        self._recent: deque[float] = deque()

    def has_connection(self, source: TcpEndpoint, target: TcpEndpoint) -> bool:
        """Return whether a caller's connection is open here."""
        return (source, target) in self._connections

    def restart(self) -> None:
        """Forget all connections, as a server that starts anew."""
        self._connections.clear()
        self._recent.clear()

    def _receive(self, data: bytes, _source: Address) -> None:
        segment = read_segment(data)
        if segment is None or segment.flags & FLAG_RST:
            return
        key = (segment.source, segment.target)
        connection = self._connections.get(key)
        if segment.flags & FLAG_SYN:
            self._open(key, segment, connection)
        elif connection is None:
            self.unknown += 1
            self._send(_answer(segment, FLAG_RST, segment.acknowledged, segment.sequence))
        elif segment.flags & FLAG_FIN:
            self._close(connection, segment)
        elif segment.payload:
            self._run(connection, segment)

    def _open(
        self, key: tuple[TcpEndpoint, TcpEndpoint], segment: Segment, connection: _Connection | None
    ) -> None:
        if connection is None:
            expected = segment.sequence + 1 & SEQUENCE_MASK
            answer = _answer(segment, FLAG_SYN | FLAG_ACK, FIRST_SEQUENCE, expected)
            connection = _Connection(expected, FIRST_SEQUENCE + 1, answer)
            self._connections[key] = connection
            self._count_opening()
        self._send(connection.last)

    def _close(self, connection: _Connection, segment: Segment) -> None:
        """Close a connection; it stays known, so that a repeated FIN gets its answer again."""
        if not connection.is_closed:
            connection.is_closed = True
            connection.last = _answer(
                segment, FLAG_FIN | FLAG_ACK, connection.sequence, segment.sequence + 1
            )
        self._send(connection.last)

    def _run(self, connection: _Connection, segment: Segment) -> None:
        if segment.sequence == connection.expected:
            self.requests[segment.source] += 1
            connection.expected = segment.sequence + len(segment.payload) & SEQUENCE_MASK
            payload = self.name.encode() + NAME_END + segment.payload
            connection.last = _answer(
                segment, FLAG_PSH | FLAG_ACK, connection.sequence, connection.expected, payload
            )
            connection.sequence = connection.sequence + len(payload) & SEQUENCE_MASK
        self._send(connection.last)

    def _count_opening(self) -> None:
        now = self._clock()
        self.openings += 1
        self._recent.append(now)
        while self._recent[0] <= now - WINDOW_S:
            self._recent.popleft()
        self.peak_openings = max(self.peak_openings, len(self._recent))

    def _send(self, segment: Segment) -> None:
        self.socket.send(build_packet(segment), self._choose_return())


def _answer(
    segment: Segment, flags: int, sequence: int, acknowledged: int, payload: bytes = b""
) -> Segment:
    return Segment(segment.target, segment.source, flags, sequence, acknowledged, payload)
