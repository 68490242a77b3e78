"""Simulated upstreams and callers."""

from collections import Counter, deque
from collections.abc import Callable
from enum import Enum, unique
from ipaddress import ip_address

from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import ServiceAddress, Upstream
from chicoryproxy.protocol.events import HealthReading
from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN
from chicoryproxy.states import UpstreamState
from chicoryproxy.testing._fakewire import Schedule, Segment

RATE_WINDOW_S = 1.0
SYN_RETRANSMIT_S = 1.0
DATA_RETRANSMIT_S = 0.3
MAX_SYN_ATTEMPTS = 5
MAX_DATA_ATTEMPTS = 12
CLOSING_S = 1.0

SYN_ACK = FLAG_SYN | FLAG_ACK
RST_ACK = FLAG_RST | FLAG_ACK

Connection = tuple[bytes, int]
"""Address and port of a caller."""


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
        if len(self._recent_openings) > self.current_limit_per_s:
            self.overloads += 1

    def _handle_established(self, segment: Segment, connection: Connection) -> None:
        if segment.flags & FLAG_FIN:
            self._connections.discard(connection)
            self._send(self, segment.answer(FLAG_FIN | FLAG_ACK, segment.ack, segment.seq + 1))
        elif segment.data:
            self.served_data.add((connection, segment.data))
            ack = segment.seq + len(segment.data)
            self._send(self, segment.answer(FLAG_ACK, segment.ack, ack, segment.data))


@unique
class FlowOutcome(Enum):
    """State or final outcome of a flow.

    ``GIVEN_UP`` means that operators took the flow's upstream out of service or removed it.
    """

    OPENING = "opening"
    ESTABLISHED = "established"
    DONE = "done"
    BROKEN = "broken"
    REFUSED = "refused"
    GIVEN_UP = "given_up"
    UNANSWERED = "unanswered"


class FakeFlow:
    """A caller's flow: opens, sends numbered data, checks each echo and closes.

    :param send: sends a segment to the fabric.
    :param rounds: number of data segments to send.
    :param interval_s: time between two data segments, in seconds.
    """

    def __init__(
        self,
        source: Connection,
        address: ServiceAddress,
        schedule: Schedule,
        send: Callable[["FakeFlow", Segment], None],
        rounds: int,
        interval_s: float,
    ) -> None:
        self.outcome = FlowOutcome.OPENING
        self.accepted_by: UpstreamId | None = None
        self.opened_at = schedule.now
        self.answered_at: float | None = None
        self.ended_at: float | None = None
        self.source = source
        self._target = (ip_address(address.host).packed, address.port)
        self._schedule = schedule
        self._send = send
        self._rounds = rounds
        self._interval_s = interval_s
        self._round = 0
        self._attempts = 0

    @property
    def has_ended(self) -> bool:
        """Whether the flow has ended."""
        return self.outcome not in (FlowOutcome.OPENING, FlowOutcome.ESTABLISHED)

    def open(self) -> None:
        """Send the SYN, and retransmit it until it is answered or the attempts run out."""
        if self.outcome is not FlowOutcome.OPENING:
            return
        if self._attempts >= MAX_SYN_ATTEMPTS:
            self._end(FlowOutcome.UNANSWERED)
            return
        self._attempts += 1
        self._send_segment(FLAG_SYN, 0)
        self._schedule.call_later(SYN_RETRANSMIT_S * 2 ** (self._attempts - 1), self.open)

    def receive(self, segment: Segment, sender: UpstreamId | None) -> None:
        """Process a segment.

        :param sender: the upstream that sent it; ``None`` if an entry generated it.
        """
        if self.has_ended:
            return
        if segment.flags & FLAG_RST:
            self._handle_reset()
        elif segment.flags & SYN_ACK == SYN_ACK:
            self._handle_syn_ack(sender)
        elif segment.data == self._build_payload():
            self._handle_echo()

    def give_up(self) -> None:
        """Mark the flow as given up, unless it has ended."""
        if not self.has_ended:
            self._end(FlowOutcome.GIVEN_UP)

    def _handle_syn_ack(self, sender: UpstreamId | None) -> None:
        if self.outcome is not FlowOutcome.OPENING:
            return
        self.outcome = FlowOutcome.ESTABLISHED
        self.accepted_by = sender
        self.answered_at = self._schedule.now
        self._send_segment(FLAG_ACK, 1)
        self._schedule.call_later(self._interval_s, self._begin_round)

    def _begin_round(self) -> None:
        if self.has_ended:
            return
        if self._round == self._rounds:
            self._send_segment(FLAG_FIN | FLAG_ACK, 1)
            self._end(FlowOutcome.DONE)
            return
        self._attempts = 0
        self._send_round(self._round)

    def _send_round(self, number: int) -> None:
        if self.has_ended or number != self._round:
            return
        if self._attempts >= MAX_DATA_ATTEMPTS:
            self._end(FlowOutcome.BROKEN)
            return
        self._attempts += 1
        self._send_segment(FLAG_ACK, 1, self._build_payload())
        wait_s = min(DATA_RETRANSMIT_S * 2 ** (self._attempts - 1), 3.0)
        self._schedule.call_later(wait_s, lambda: self._send_round(number))

    def _handle_echo(self) -> None:
        self._round += 1
        self._schedule.call_later(self._interval_s, self._begin_round)

    def _handle_reset(self) -> None:
        is_opening = self.outcome is FlowOutcome.OPENING
        self._end(FlowOutcome.REFUSED if is_opening else FlowOutcome.BROKEN)

    def _build_payload(self) -> bytes:
        return b"%d/%d" % (self.source[1], self._round)

    def _send_segment(self, flags: int, ack: int, data: bytes = b"") -> None:
        segment = Segment(*self.source, *self._target, flags, 1, ack, data)
        self._send(self, segment)

    def _end(self, outcome: FlowOutcome) -> None:
        self.outcome = outcome
        self.ended_at = self._schedule.now
