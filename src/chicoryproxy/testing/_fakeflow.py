"""Simulated caller with one flow."""

from collections.abc import Callable
from enum import Enum, unique
from ipaddress import ip_address

from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import ServiceAddress
from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN
from chicoryproxy.testing._fakewire import SYN_ACK, Connection, Schedule, Segment

SYN_RETRANSMIT_S = 1.0
DATA_RETRANSMIT_S = 0.3
MAX_DATA_RETRANSMIT_S = 3.0
MAX_SYN_ATTEMPTS = 5
MAX_DATA_ATTEMPTS = 12


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
        wait_s = min(DATA_RETRANSMIT_S * 2 ** (self._attempts - 1), MAX_DATA_RETRANSMIT_S)
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
