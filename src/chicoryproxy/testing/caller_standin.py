"""Caller stand-in for the demo and the tests: opens flows and checks every response."""

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import Enum, unique

from chicoryproxy.ids import UpstreamId
from chicoryproxy.network.segment import (
    SEQUENCE_MASK,
    Segment,
    TcpEndpoint,
    build_packet,
    read_segment,
)
from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN
from chicoryproxy.testing.upstream_standin import FLAG_PSH, NAME_SEPARATOR

RETRANSMIT_S = 0.4
MAX_ATTEMPTS = 50
FIRST_SEQUENCE = 5000


@unique
class FlowEnd(Enum):
    """How a caller's flow ended; ``OPEN`` if it has not."""

    OPEN = "open"
    CLOSED = "closed"
    REFUSED = "refused"
    RESET = "reset"
    SILENT = "silent"
    MOVED = "moved"
    WRONG_ANSWER = "wrong_answer"


class CallerFlow:
    """One flow of a caller, with at most one unacknowledged segment in flight.

    :ivar upstream: name of the upstream that the responses carry; empty before the first response.
    :ivar end: how the flow ended.
    :ivar answered: number of requests that were answered in full.
    """

    def __init__(
        self, source: TcpEndpoint, target: TcpEndpoint, send: Callable[[bytes], None]
    ) -> None:
        self.source = source
        self.target = target
        self.upstream = UpstreamId("")
        self.end = FlowEnd.OPEN
        self.answered = 0
        self._send = send
        self._sequence = FIRST_SEQUENCE
        self._acknowledged = 0
        self._pending: Segment | None = None
        self._sent_at = 0.0
        self._attempts = 0
        self._completion: asyncio.Future[FlowEnd] | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether a segment awaits its response."""
        return self._pending is not None

    async def open(self, now: float) -> FlowEnd:
        """Open the flow; return ``OPEN`` once the upstream has accepted it."""
        return await self._exchange(FLAG_SYN, b"", now)

    async def request(self, payload: bytes, now: float) -> FlowEnd:
        """Send a request; return ``OPEN`` once it was answered in full."""
        return await self._exchange(FLAG_PSH | FLAG_ACK, payload, now)

    async def close(self, now: float) -> FlowEnd:
        """Close the flow; return ``CLOSED`` once the upstream has closed it too."""
        return await self._exchange(FLAG_FIN | FLAG_ACK, b"", now)

    def receive(self, segment: Segment) -> None:
        """Process a response segment."""
        pending = self._pending
        if segment.flags & FLAG_RST:
            opening = pending is not None and pending.flags & FLAG_SYN
            self._finish(FlowEnd.REFUSED if opening else FlowEnd.RESET)
        elif pending is None:
            return
        elif pending.flags & FLAG_SYN:
            if segment.flags & FLAG_SYN:
                self._acknowledged = segment.sequence + 1 & SEQUENCE_MASK
                self._sequence += 1
                self._complete()
        elif pending.flags & FLAG_FIN:
            if segment.flags & FLAG_FIN:
                self._finish(FlowEnd.CLOSED)
        elif segment.payload and segment.sequence == self._acknowledged:
            self._check_response(pending, segment)

    def retransmit(self, now: float) -> None:
        """Retransmit the pending segment if its timeout has expired."""
        if self._pending is None or now - self._sent_at < RETRANSMIT_S:
            return
        self._attempts += 1
        if self._attempts > MAX_ATTEMPTS:
            # A FIN may stay unanswered because the upstream has already closed the connection.
            closing = self._pending.flags & FLAG_FIN
            self._finish(FlowEnd.CLOSED if closing else FlowEnd.SILENT)
            return
        self._sent_at = now
        self._send(build_packet(self._pending))

    async def _exchange(self, flags: int, payload: bytes, now: float) -> FlowEnd:
        if self.end is not FlowEnd.OPEN:
            return self.end
        self._completion = asyncio.get_running_loop().create_future()
        self._pending = Segment(
            self.source, self.target, flags, self._sequence, self._acknowledged, payload
        )
        self._sent_at = now
        self._attempts = 0
        self._send(build_packet(self._pending))
        return await self._completion

    def _check_response(self, pending: Segment, segment: Segment) -> None:
        name, _, echo = segment.payload.partition(NAME_SEPARATOR)
        upstream = UpstreamId(name.decode(errors="replace"))
        if echo != pending.payload:
            self._finish(FlowEnd.WRONG_ANSWER)
        elif self.upstream and upstream != self.upstream:
            self._finish(FlowEnd.MOVED)
        else:
            self.upstream = upstream
            self.answered += 1
            self._sequence = self._sequence + len(pending.payload) & SEQUENCE_MASK
            self._acknowledged = segment.sequence + len(segment.payload) & SEQUENCE_MASK
            self._complete()

    def _finish(self, end: FlowEnd) -> None:
        if self.end is FlowEnd.OPEN:
            self.end = end
        self._complete()

    def _complete(self) -> None:
        self._pending = None
        if self._completion is not None and not self._completion.done():
            self._completion.set_result(self.end)


class CallerStandIn:
    """Many callers behind one fabric.

    :param send: sends a packet to the fabric.
    :param clock: returns the time in seconds.
    """

    def __init__(self, send: Callable[[bytes], None], clock: Callable[[], float]) -> None:
        self.flows: dict[tuple[TcpEndpoint, TcpEndpoint], CallerFlow] = {}
        self._send = send
        self._clock = clock

    def create_flow(self, source: TcpEndpoint, target: TcpEndpoint) -> CallerFlow:
        """Create a flow without opening it."""
        flow = CallerFlow(source, target, self._send)
        self.flows[(source, target)] = flow
        return flow

    def receive(self, packet: bytes) -> None:
        """Dispatch a packet from the fabric to its flow."""
        segment = read_segment(packet)
        flow = self.flows.get((segment.target, segment.source)) if segment else None
        if segment is not None and flow is not None:
            flow.receive(segment)

    def tick(self) -> None:
        """Retransmit the segments whose timeout has expired."""
        now = self._clock()
        for flow in list(self.flows.values()):
            if flow.is_waiting:
                flow.retransmit(now)

    def count_ends(self) -> Counter[FlowEnd]:
        """Count the flows by their end."""
        return Counter(flow.end for flow in self.flows.values())
