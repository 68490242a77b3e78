"""Upstreams and callers of the fakes."""

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

WINDOW_S = 1.0
OPENING_RETRY_S = 1.0
DATA_RETRY_S = 0.3
MAX_OPENING_TRIES = 5
MAX_DATA_TRIES = 12
CLOSING_S = 1.0

SYN_ACK = FLAG_SYN | FLAG_ACK
RST_ACK = FLAG_RST | FLAG_ACK

Connection = tuple[bytes, int]
"""Address and port of a caller."""


class FakeUpstream:
    """A server that accepts flows, echoes data, and resets what it doesn't know.

    :param upstream: what the configuration says of it.
    :param send: takes a segment for a caller.
    :ivar bears: openings that it accepts in a second; more count as ``overloads``.
    :ivar says: what its health endpoint says of it, which may mislead.
    :ivar health_lag_s: age of what its health endpoint says, in seconds.
    :ivar opened: every connection that it ever accepted.
    :ivar runs: every piece of data that it ever served, with its connection.
    """

    def __init__(
        self,
        upstream: Upstream,
        schedule: Schedule,
        send: Callable[["FakeUpstream", Segment], None],
    ) -> None:
        self.id: UpstreamId = upstream.id
        self.upstream = upstream
        self.bears = float("inf")
        self.refuses = False
        self.is_down = False
        self.says = UpstreamState.READY
        self.started_at_s = 1.0
        self.health_lag_s = 0.0
        self.opened: set[Connection] = set()
        self.runs: set[tuple[Connection, bytes]] = set()
        self.overloads = 0
        self.accepted = 0
        self.services: Counter[bytes] = Counter()
        self.most_in_window = 0
        self._schedule = schedule
        self._send = send
        self._connections: set[Connection] = set()
        self._recent: deque[float] = deque()
        self._cold_since: float | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def limit(self) -> float:
        """Openings in a second that it bears now: from cold to full in the stated warm-up."""
        if self._cold_since is None:
            return self.bears
        warm_up = self.upstream.warm_up
        share = min(1.0, (self._schedule.now - self._cold_since) / warm_up.duration_s)
        growth = (warm_up.full_openings / warm_up.cold_openings) ** share
        return float(min(self.bears, warm_up.cold_openings * growth))

    def has_connection(self, source: bytes, port: int) -> bool:
        """Return whether a caller's flow is open here."""
        return (source, port) in self._connections

    def restart(self) -> None:
        """Lose all connections."""
        self._connections.clear()

    def go_cold(self) -> None:
        """Lose the built-up capacity, as of a new start; connections stay."""
        self._cold_since = self._schedule.now
        self.started_at_s = 1.0 + self._schedule.now
        self._recent.clear()

    def read_health(self) -> HealthReading:
        """Return what its health endpoint says."""
        connections = self.connections
        return HealthReading(self.id, True, self.says, self.started_at_s, 0, connections, 0.001)

    def receive(self, segment: Segment) -> None:
        """Take a segment of a caller."""
        if self.is_down:
            return
        self.services[segment.target] += 1
        connection = (segment.source, segment.source_port)
        if segment.flags & FLAG_SYN:
            self._accept(segment, connection)
        elif segment.flags & FLAG_RST:
            self._connections.discard(connection)
        elif connection not in self._connections:
            self._send(self, segment.answer(FLAG_RST, segment.ack, 0))
        else:
            self._serve(segment, connection)

    def _accept(self, segment: Segment, connection: Connection) -> None:
        if self.refuses:
            self._send(self, segment.answer(RST_ACK, 0, segment.seq + 1))
            return
        if connection not in self._connections:
            self._connections.add(connection)
            self.opened.add(connection)
            self.accepted += 1
            self._count_opening()
        self._send(self, segment.answer(SYN_ACK, 1, segment.seq + 1))

    def _count_opening(self) -> None:
        now = self._schedule.now
        self._recent.append(now)
        while self._recent[0] <= now - WINDOW_S:
            self._recent.popleft()
        self.most_in_window = max(self.most_in_window, len(self._recent))
        if len(self._recent) > self.limit:
            self.overloads += 1

    def _serve(self, segment: Segment, connection: Connection) -> None:
        if segment.flags & FLAG_FIN:
            self._connections.discard(connection)
            self._send(self, segment.answer(FLAG_FIN | FLAG_ACK, segment.ack, segment.seq + 1))
        elif segment.data:
            self.runs.add((connection, segment.data))
            ack = segment.seq + len(segment.data)
            self._send(self, segment.answer(FLAG_ACK, segment.ack, ack, segment.data))


@unique
class FlowOutcome(Enum):
    """What became of a flow.

    ``GIVEN_UP`` is a flow whose upstream was taken out or removed.
    """

    OPENING = "opening"
    ESTABLISHED = "established"
    DONE = "done"
    BROKEN = "broken"
    REFUSED = "refused"
    GIVEN_UP = "given_up"
    UNANSWERED = "unanswered"


class FakeFlow:
    """A caller's flow: opens, sends numbered data and checks the echo, closes.

    :param send: takes a segment for the fabric.
    :param rounds: data segments to send.
    :param interval_s: time between two of them, in seconds.
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
        self._tries = 0

    @property
    def is_over(self) -> bool:
        """Whether the flow has ended."""
        return self.outcome not in (FlowOutcome.OPENING, FlowOutcome.ESTABLISHED)

    def open(self) -> None:
        """Send the opening, again and again until it is answered."""
        if self.outcome is not FlowOutcome.OPENING:
            return
        if self._tries >= MAX_OPENING_TRIES:
            self._end(FlowOutcome.UNANSWERED)
            return
        self._tries += 1
        self._emit(FLAG_SYN, 0)
        self._schedule.after(OPENING_RETRY_S * 2 ** (self._tries - 1), self.open)

    def receive(self, segment: Segment, sender: UpstreamId | None) -> None:
        """Take a segment.

        :param sender: the upstream that sent it, ``None`` if an entry built it.
        """
        if self.is_over:
            return
        if segment.flags & FLAG_RST:
            self._take_reset()
        elif segment.flags & SYN_ACK == SYN_ACK:
            self._take_acceptance(sender)
        elif segment.data == self._body():
            self._take_echo()

    def give_up(self) -> None:
        """Note that the flow's upstream is out of service."""
        if not self.is_over:
            self._end(FlowOutcome.GIVEN_UP)

    def _take_acceptance(self, sender: UpstreamId | None) -> None:
        if self.outcome is not FlowOutcome.OPENING:
            return
        self.outcome = FlowOutcome.ESTABLISHED
        self.accepted_by = sender
        self.answered_at = self._schedule.now
        self._emit(FLAG_ACK, 1)
        self._schedule.after(self._interval_s, self._start_round)

    def _start_round(self) -> None:
        if self.is_over:
            return
        if self._round == self._rounds:
            self._emit(FLAG_FIN | FLAG_ACK, 1)
            self._end(FlowOutcome.DONE)
            return
        self._tries = 0
        self._send_round(self._round)

    def _send_round(self, number: int) -> None:
        if self.is_over or number != self._round:
            return
        if self._tries >= MAX_DATA_TRIES:
            self._end(FlowOutcome.BROKEN)
            return
        self._tries += 1
        self._emit(FLAG_ACK, 1, self._body())
        wait_s = min(DATA_RETRY_S * 2 ** (self._tries - 1), 3.0)
        self._schedule.after(wait_s, lambda: self._send_round(number))

    def _take_echo(self) -> None:
        self._round += 1
        self._schedule.after(self._interval_s, self._start_round)

    def _take_reset(self) -> None:
        is_opening = self.outcome is FlowOutcome.OPENING
        self._end(FlowOutcome.REFUSED if is_opening else FlowOutcome.BROKEN)

    def _body(self) -> bytes:
        return b"%d/%d" % (self.source[1], self._round)

    def _emit(self, flags: int, ack: int, data: bytes = b"") -> None:
        segment = Segment(*self.source, *self._target, flags, 1, ack, data)
        self._send(self, segment)

    def _end(self, outcome: FlowOutcome) -> None:
        self.outcome = outcome
        self.ended_at = self._schedule.now
