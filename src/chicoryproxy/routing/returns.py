"""Packets on their way back from an upstream to a caller."""

from chicoryproxy.ids import FlowKey, InstanceId, UpstreamId
from chicoryproxy.protocol.actions import Drop, Return, ReturnPacket, SendToPeer
from chicoryproxy.protocol.messages import PassedPacket, Priority
from chicoryproxy.protocol.packet import (
    FLAG_ACK,
    FLAG_FIN,
    FLAG_RST,
    FLAG_SYN,
    PacketHead,
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


class ReturnPath:
    """Passes answers on by their flow key alone, and learns from them.

    :param context: state of the entry.
    :param decider: places openings that an upstream refused.
    """

    def __init__(self, context: EntryContext, decider: Decider) -> None:
        self._context = context
        self._decider = decider

    def receive(
        self, data: bytes, head: PacketHead, route: ServiceRoute, upstream: UpstreamId, now: float
    ) -> Actions:
        """Decide on an answer that came from an upstream of its service."""
        flow = hash_returned_flow(head)
        if head.flags & SYN_ACK == SYN_ACK:
            return self._pass_acceptance(flow, route, upstream, now)
        if head.flags & FLAG_RST:
            return self._pass_reset(data, head, flow, route, upstream, now)
        if head.flags & FLAG_FIN:
            self._context.records.table.mark(flow, FlowFlag.CLOSING, now)
        else:
            self._context.records.table.touch(flow, now)
        return [Return()]

    def receive_passed(
        self, data: bytes, head: PacketHead, route: ServiceRoute, now: float
    ) -> Actions:
        """Decide, as the home, on a refusal of an opening that a peer passed."""
        flow = hash_returned_flow(head)
        target = self._context.records.find(flow)
        if target is not None and target.service == route.id:
            again = self._decider.retry_refused(flow, target.upstream, now)
            if again is not None:
                return again
        self._context.records.table.close(flow)
        return [ReturnPacket(data)]

    def _pass_acceptance(
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
            records.table.mark(flow, FlowFlag(0), now)
        return [Return()]

    def _pass_reset(
        self,
        data: bytes,
        head: PacketHead,
        flow: FlowKey,
        route: ServiceRoute,
        upstream: UpstreamId,
        now: float,
    ) -> Actions:
        if _denies_flow(head) and self._context.view.hidden_upstreams():
            # The flow may live beyond the partition, where another part of the fleet placed it.
            log = self._context.log_flow(DropReason.STALE_ANSWER, route.id, flow, None, upstream)
            return [Drop(DropReason.STALE_ANSWER), log]
        if not _refuses_opening(data, head):
            self._context.records.table.close(flow)
            return [Return()]
        self._context.outcomes.add_refused(upstream)
        home = self._find_home(route, flow, now)
        if home is not None:
            message = PassedPacket(self._context.view.version, data)
            return [SendToPeer(home, message, Priority.SAFETY)]
        again = self._decider.retry_refused(flow, upstream, now)
        if again is not None:
            return again
        self._context.records.table.close(flow)
        log = self._context.log_flow(RouteReason.RETURN, route.id, flow, None, upstream)
        return [Return(), log]

    def _find_home(self, route: ServiceRoute, flow: FlowKey, now: float) -> InstanceId | None:
        """Return the home that may place the opening again, ``None`` if it is this instance."""
        if not self._is_contested(route, flow, now):
            return None
        slots = self._context.view.get_slots(route, now)
        homes = self._context.directory.homes_of(slots.name(slots.slot_of(flow)))
        return homes[0] if homes and homes[0] != self._context.own else None

    def _is_contested(self, route: ServiceRoute, flow: FlowKey, now: float) -> bool:
        return self._context.view.get_slots(route, now).find_answer(flow) is None


def _refuses_opening(data: bytes, head: PacketHead) -> bool:
    """Return whether a reset answers a SYN: RFC 9293, 3.10.7.1, sequence number zero with ACK."""
    if head.flags & RST_ACK != RST_ACK:
        return False
    start = head.transport + SEQUENCE_OFFSET
    return not any(data[start : start + SEQUENCE_BYTES])


def _denies_flow(head: PacketHead) -> bool:
    """Return whether a reset says that the upstream has no such flow: RFC 9293, 3.10.7.1."""
    return not head.flags & FLAG_ACK


def create_return_path(context: EntryContext, decider: Decider) -> ReturnPath:
    """Create the return path of one entry."""
    return ReturnPath(context, decider)
