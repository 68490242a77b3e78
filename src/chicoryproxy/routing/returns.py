"""Routes packets from an upstream back to the caller."""

from chicoryproxy.ids import FlowKey, InstanceId, UpstreamId
from chicoryproxy.protocol.actions import Drop, Return, ReturnPacket, SendToPeer
from chicoryproxy.protocol.messages import PassedPacket, Priority
from chicoryproxy.protocol.packet import (
    FLAG_ACK,
    FLAG_FIN,
    FLAG_RST,
    FLAG_SYN,
    PacketHeader,
    hash_returned_flow,
)
from chicoryproxy.routing.context import Actions, EntryContext
from chicoryproxy.routing.decision import Decider
from chicoryproxy.routing.flowtable import FlowFlag
from chicoryproxy.routing.route import ServiceRoute
from chicoryproxy.states import DropReason, RouteReason

SYN_ACK = FLAG_SYN | FLAG_ACK
RST_ACK = FLAG_RST | FLAG_ACK
SEQUENCE_OFFSET = 4
SEQUENCE_BYTES = 4


class ReturnRouter:
    """Forwards return packets to callers and updates the state of their flows.

    :param context: state of the entry.
    :param decider: retries openings that an upstream refused.
    """

    def __init__(self, context: EntryContext, decider: Decider) -> None:
        self._context = context
        self._decider = decider

    def receive(
        self, data: bytes, head: PacketHeader, route: ServiceRoute, upstream: UpstreamId, now: float
    ) -> Actions:
        """Route a return packet that came from an upstream of its service."""
        flow = hash_returned_flow(head)
        if head.flags & SYN_ACK == SYN_ACK:
            return self._handle_syn_ack(flow, route, upstream, now)
        if head.flags & FLAG_RST:
            return self._handle_reset(data, head, flow, route, upstream, now)
        self._update_record(flow, upstream, bool(head.flags & FLAG_FIN), now)
        return [Return()]

    def receive_passed(
        self, data: bytes, head: PacketHeader, route: ServiceRoute, now: float
    ) -> Actions:
        """Process, as the home, the refusal of an opening that a peer passed on."""
        flow = hash_returned_flow(head)
        target = self._context.records.find(flow)
        if target is not None and target.service == route.id:
            retry = self._decider.retry_refused(flow, target.upstream, now)
            if retry is not None:
                return retry
        self._context.records.table.remove(flow)
        return [ReturnPacket(data)]

    def _update_record(self, flow: FlowKey, upstream: UpstreamId, is_end: bool, now: float) -> None:
        """Update a flow's record, unless it is that of a former flow on another upstream."""
        records = self._context.records
        target = records.find(flow)
        if target is None or target.upstream != upstream:
            return
        if is_end:
            records.table.set_flags(flow, FlowFlag.CLOSING, now)
        else:
            records.table.touch(flow, now)

    def _handle_syn_ack(
        self, flow: FlowKey, route: ServiceRoute, upstream: UpstreamId, now: float
    ) -> Actions:
        records = self._context.records
        target = records.find(flow)
        if target is not None and target.upstream != upstream:
            log = self._context.log_flow(DropReason.STALE_ANSWER, route.id, flow, None, upstream)
            return [Drop(DropReason.STALE_ANSWER), log]
        self._context.outcomes.add_answered(upstream)
        self._decider.discard_opening_copy(flow)
        if target is None and self._is_contested(route, flow, now):
            records.record(flow, route.id, upstream, FlowFlag(0), now)
        else:
            records.table.set_flags(flow, FlowFlag(0), now)
        return [Return()]

    def _handle_reset(
        self,
        data: bytes,
        head: PacketHeader,
        flow: FlowKey,
        route: ServiceRoute,
        upstream: UpstreamId,
        now: float,
    ) -> Actions:
        if _reports_unknown_flow(head) and self._context.view.hidden_upstreams():
            # Another part of the fleet may have placed the flow on an upstream that is hidden
            # here by a partition.
            log = self._context.log_flow(DropReason.STALE_ANSWER, route.id, flow, None, upstream)
            return [Drop(DropReason.STALE_ANSWER), log]
        if not _refuses_opening(data, head):
            self._context.records.table.remove(flow)
            return [Return()]
        self._context.outcomes.add_refused(upstream)
        home = self._find_home(route, flow, now)
        if home is not None:
            message = PassedPacket(self._context.view.version, data)
            return [SendToPeer(home, message, Priority.SAFETY)]
        retry = self._decider.retry_refused(flow, upstream, now)
        if retry is not None:
            return retry
        self._context.records.table.remove(flow)
        log = self._context.log_flow(RouteReason.RETURN, route.id, flow, None, upstream)
        return [Return(), log]

    def _find_home(self, route: ServiceRoute, flow: FlowKey, now: float) -> InstanceId | None:
        """Return the home that may retry the opening, or ``None`` if this instance may."""
        if not self._is_contested(route, flow, now):
            return None
        slots = self._context.view.get_slots(route, now)
        homes = self._context.directory.homes_of(slots.name(slots.slot_of(flow)))
        return homes[0] if homes and homes[0] != self._context.own else None

    def _is_contested(self, route: ServiceRoute, flow: FlowKey, now: float) -> bool:
        return self._context.view.get_slots(route, now).find_forward(flow) is None


def _refuses_opening(data: bytes, head: PacketHeader) -> bool:
    """Return whether a reset refuses a SYN: sequence number zero and ACK, RFC 9293, 3.10.7.1."""
    if head.flags & RST_ACK != RST_ACK:
        return False
    start = head.transport_offset + SEQUENCE_OFFSET
    return not any(data[start : start + SEQUENCE_BYTES])


def _reports_unknown_flow(head: PacketHeader) -> bool:
    """Return whether a reset reports an unknown flow: no ACK, RFC 9293, section 3.10.7.1."""
    return not head.flags & FLAG_ACK


def create_return_router(context: EntryContext, decider: Decider) -> ReturnRouter:
    """Create the return router of one entry."""
    return ReturnRouter(context, decider)
