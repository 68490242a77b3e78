"""Upstream stand-in for the demo and the tests: a minimal TCP server behind IP-in-UDP.

Each response is the upstream's name, ``NAME_SEPARATOR`` and the request, so that a caller can tell
which upstream answered.
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
NAME_SEPARATOR = b"|"
RATE_WINDOW_S = 1.0
FLAG_PSH = 0x08


class _Connection(Struct):
    """A connection's next sequence numbers, and its last response for retransmission."""

    expected_sequence: int
    sequence: int
    last_response: Segment
    is_closed: bool = False


class UpstreamStandIn:
    """Answers the packets that entries forward to it.

    :param choose_response_address: returns the address for the next response: the fabric or an
        entry.
    :param clock: returns the time in seconds.

    :ivar requests: number of processed requests by caller; a retransmission is not processed again.
    :ivar peak_openings: maximum openings within ``RATE_WINDOW_S``.
    :ivar unmatched_segments: number of segments that belong to no connection.
    """

    def __init__(
        self,
        name: UpstreamId,
        endpoint: Endpoint,
        choose_response_address: Callable[[], Address],
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.socket = DataSocket(endpoint, self._receive)
        self.openings = 0
        self.peak_openings = 0
        self.unmatched_segments = 0
        self.requests: Counter[TcpEndpoint] = Counter()
        self._choose_response_address = choose_response_address
        self._clock = clock
        self._connections: dict[tuple[TcpEndpoint, TcpEndpoint], _Connection] = {}
        self._recent_openings: deque[float] = deque()

    def has_connection(self, source: TcpEndpoint, target: TcpEndpoint) -> bool:
        """Return whether a caller's connection is known, open or closed."""
        return (source, target) in self._connections

    def restart(self) -> None:
        """Drop all connections, as a server restart does."""
        self._connections.clear()
        self._recent_openings.clear()

    def _receive(self, data: bytes, _source: Address) -> None:
        segment = read_segment(data)
        if segment is None or segment.flags & FLAG_RST:
            return
        key = (segment.source, segment.target)
        connection = self._connections.get(key)
        if segment.flags & FLAG_SYN:
            self._handle_syn(key, segment, connection)
        elif connection is None:
            self.unmatched_segments += 1
            self._send(_build_response(segment, FLAG_RST, segment.acknowledged, segment.sequence))
        elif segment.flags & FLAG_FIN:
            self._handle_fin(connection, segment)
        elif segment.payload:
            self._handle_request(connection, segment)

    def _handle_syn(
        self, key: tuple[TcpEndpoint, TcpEndpoint], segment: Segment, connection: _Connection | None
    ) -> None:
        if connection is None:
            expected_sequence = segment.sequence + 1 & SEQUENCE_MASK
            answer = _build_response(
                segment, FLAG_SYN | FLAG_ACK, FIRST_SEQUENCE, expected_sequence
            )
            connection = _Connection(expected_sequence, FIRST_SEQUENCE + 1, answer)
            self._connections[key] = connection
            self._record_opening()
        self._send(connection.last_response)

    def _handle_fin(self, connection: _Connection, segment: Segment) -> None:
        """Close a connection; it stays known to answer a retransmitted FIN the same way."""
        if not connection.is_closed:
            connection.is_closed = True
            connection.last_response = _build_response(
                segment, FLAG_FIN | FLAG_ACK, connection.sequence, segment.sequence + 1
            )
        self._send(connection.last_response)

    def _handle_request(self, connection: _Connection, segment: Segment) -> None:
        if segment.sequence == connection.expected_sequence:
            self.requests[segment.source] += 1
            connection.expected_sequence = segment.sequence + len(segment.payload) & SEQUENCE_MASK
            payload = self.name.encode() + NAME_SEPARATOR + segment.payload
            connection.last_response = _build_response(
                segment,
                FLAG_PSH | FLAG_ACK,
                connection.sequence,
                connection.expected_sequence,
                payload,
            )
            connection.sequence = connection.sequence + len(payload) & SEQUENCE_MASK
        self._send(connection.last_response)

    def _record_opening(self) -> None:
        now = self._clock()
        self.openings += 1
        self._recent_openings.append(now)
        while self._recent_openings[0] <= now - RATE_WINDOW_S:
            self._recent_openings.popleft()
        self.peak_openings = max(self.peak_openings, len(self._recent_openings))

    def _send(self, segment: Segment) -> None:
        self.socket.send(build_packet(segment), self._choose_response_address())


def _build_response(
    segment: Segment, flags: int, sequence: int, acknowledged: int, payload: bytes = b""
) -> Segment:
    return Segment(segment.target, segment.source, flags, sequence, acknowledged, payload)
