"""Simulated upstream."""

from collections import Counter, deque
from collections.abc import Callable

from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import Upstream
from chicoryproxy.protocol.events import HealthReading
from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN
from chicoryproxy.states import UpstreamState
from chicoryproxy.testing._fakewire import SYN_ACK, Connection, Schedule, Segment

RATE_WINDOW_S = 1.0
RST_ACK = FLAG_RST | FLAG_ACK


class FakeUpstream:
    """A server that accepts flows, echoes data and resets unknown connections.

    :param upstream: its entry in the configuration.
    :param send: sends a segment to a caller.
    :ivar max_openings_per_s: openings per second that it can handle once warm; openings above the
        current limit are still accepted and counted as ``overloads``.
    :ivar refuses_openings: whether it resets every opening.
    :ivar is_down: whether it ignores all segments and health reads.
    :ivar reported_state: state that its health endpoint reports, which may be wrong.
    :ivar health_delay_s: extra delay of responses of the health endpoint, in seconds.
    :ivar accepted_connections: every connection that it ever accepted.
    :ivar served_data: all data that it ever served, each with its connection.
    :ivar segments_by_service: number of received segments by service address.
    :ivar peak_openings: maximum openings within ``RATE_WINDOW_S``.
    :ivar overloads_counted_from_s: overloads before this time aren't counted.
    """

    def __init__(
        self,
        upstream: Upstream,
        schedule: Schedule,
        send: Callable[["FakeUpstream", Segment], None],
    ) -> None:
        self.id: UpstreamId = upstream.id
        self.upstream = upstream
        self.max_openings_per_s = float("inf")
        self.refuses_openings = False
        self.is_down = False
        self.reported_state = UpstreamState.READY
        self.started_at_s = 1.0
        self.health_delay_s = 0.0
        self.accepted_connections: set[Connection] = set()
        self.served_data: set[tuple[Connection, bytes]] = set()
        self.overloads = 0
        self.overloads_counted_from_s = 0.0
        self.accepted = 0
        self.segments_by_service: Counter[bytes] = Counter()
        self.peak_openings = 0
        self._schedule = schedule
        self._send = send
        self._connections: set[Connection] = set()
        self._recent_openings: deque[float] = deque()
        self._warm_up_started_at: float | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def current_limit_per_s(self) -> float:
        """Openings per second that it can handle now; grows from cold to full during warm-up."""
        if self._warm_up_started_at is None:
            return self.max_openings_per_s
        warm_up = self.upstream.warm_up
        share = min(1.0, (self._schedule.now - self._warm_up_started_at) / warm_up.duration_s)
        growth = (warm_up.full_openings / warm_up.cold_openings) ** share
        return float(min(self.max_openings_per_s, warm_up.cold_openings * growth))

    def has_connection(self, source: bytes, port: int) -> bool:
        """Return whether a caller's connection is open."""
        return (source, port) in self._connections

    def restart(self) -> None:
        """Drop all connections."""
        self._connections.clear()

    def reset_warm_up(self) -> None:
        """Restart the warm-up as after a process start; connections stay open."""
        self._warm_up_started_at = self._schedule.now
        self.started_at_s = 1.0 + self._schedule.now
        self._recent_openings.clear()

    def read_health(self) -> HealthReading:
        """Return a reading of its health endpoint."""
        connections = self.connections
        return HealthReading(
            self.id, True, self.reported_state, self.started_at_s, 0, connections, 0.001
        )

    def receive(self, segment: Segment) -> None:
        """Process a segment from a caller."""
        if self.is_down:
            return
        self.segments_by_service[segment.target] += 1
        connection = (segment.source, segment.source_port)
        if segment.flags & FLAG_SYN:
            self._handle_syn(segment, connection)
        elif segment.flags & FLAG_RST:
            self._connections.discard(connection)
        elif connection not in self._connections:
            self._send(self, segment.answer(FLAG_RST, segment.ack, 0))
        else:
            self._handle_established(segment, connection)

    def _handle_syn(self, segment: Segment, connection: Connection) -> None:
        if self.refuses_openings:
            self._send(self, segment.answer(RST_ACK, 0, segment.seq + 1))
            return
        if connection not in self._connections:
            self._connections.add(connection)
            self.accepted_connections.add(connection)
            self.accepted += 1
            self._record_opening()
        self._send(self, segment.answer(SYN_ACK, 1, segment.seq + 1))

    def _record_opening(self) -> None:
        now = self._schedule.now
        self._recent_openings.append(now)
        while self._recent_openings[0] <= now - RATE_WINDOW_S:
            self._recent_openings.popleft()
        self.peak_openings = max(self.peak_openings, len(self._recent_openings))
        is_counted = now >= self.overloads_counted_from_s
        if is_counted and len(self._recent_openings) > self.current_limit_per_s:
            self.overloads += 1

    def _handle_established(self, segment: Segment, connection: Connection) -> None:
        if segment.flags & FLAG_FIN:
            self._connections.discard(connection)
            self._send(self, segment.answer(FLAG_FIN | FLAG_ACK, segment.ack, segment.seq + 1))
        elif segment.data:
            self.served_data.add((connection, segment.data))
            ack = segment.seq + len(segment.data)
            self._send(self, segment.answer(FLAG_ACK, segment.ack, ack, segment.data))
