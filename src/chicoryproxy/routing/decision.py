"""Decisions on packets of contested slots.

Any entry decides on packets of flows that it has a record of; the home decides on all others.
"""

from collections import OrderedDict

from msgspec import Struct

from chicoryproxy.ids import FlowKey, ServiceId, UpstreamId
from chicoryproxy.protocol.actions import Drop, Forward, ForwardHeld, ReturnPacket
from chicoryproxy.protocol.messages import Priority, SlotReleases
from chicoryproxy.protocol.packet import FLAG_FIN, FLAG_RST, TCP
from chicoryproxy.routing.context import Actions, EntryContext
from chicoryproxy.routing.egress import EgressPolicy
from chicoryproxy.routing.flowtable import FlowFlag
from chicoryproxy.routing.openings import PlacedOpening, PlacementResult, WaitReason
from chicoryproxy.routing.reset import create_reset
from chicoryproxy.routing.retry import RetryBudget, create_retry_budget
from chicoryproxy.routing.route import PacketContext
from chicoryproxy.states import DropReason, RefusalReason, ReturnPath, RouteReason

MAX_WAITING_OPENINGS = 4096
MAX_OPENING_COPIES = 4096


class _WaitingOpening(Struct, frozen=True):
    """An opening that waits for a grant."""

    packet: PacketContext
    deadline_s: float


class _OpeningCopy(Struct, frozen=True):
    """A copy of a forwarded opening, for one retry if its upstream refuses it."""

    packet: PacketContext
    upstream: UpstreamId
    deadline_s: float


class Decider:
    """Decides where packets go and records the decisions, so that later packets follow them.

    :param context: state of the entry.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._waiting: dict[FlowKey, _WaitingOpening] = {}
        self._copies: OrderedDict[FlowKey, _OpeningCopy] = OrderedDict()
        self._retries: dict[ServiceId, RetryBudget] = {}

    def forward_by_recent_record(self, packet: PacketContext, now: float) -> Actions | None:
        """Forward a packet to the upstream in its flow's record, if the record is recent.

        An older record may be that of a former flow with the same addresses and ports, whose end
        this entry did not see. The home decides on its packets.
        """
        if not self._context.records.table.is_recent(packet.flow, now):
            return None
        return self.forward_by_record(packet, now)

    def forward_by_record(self, packet: PacketContext, now: float) -> Actions | None:
        """Forward a packet to the upstream in its flow's record.

        :returns: ``None`` if there is no record, or if the packet reopens a closing flow.
        """
        records = self._context.records
        target = records.find(packet.flow)
        if target is None or target.service != packet.route.id:
            return None
        if packet.head.is_opening and records.has_flag(packet.flow, FlowFlag.CLOSING):
            records.table.remove(packet.flow)
            return None
        self._update_record(packet, target.upstream, now)
        return self._forward(packet, target.upstream, RouteReason.KNOWN_FLOW)

    def discard_gone_record(self, packet: PacketContext) -> None:
        """Discard the record of a flow whose upstream is no longer listed.

        An older view may have named the upstream at a reused address by its predecessor's id, so
        that only the home refuses the flow.
        """
        target = self._context.records.find(packet.flow)
        policy = self._context.view.egress_policy
        if target is None or policy is None or target.service != packet.route.id:
            return
        if policy.check(target.service, target.upstream) is DropReason.NOT_LISTED:
            self._context.records.table.remove(packet.flow)

    def decide_as_home(self, packet: PacketContext, now: float) -> Actions:
        """Decide on a packet as the home of its slot."""
        if packet.head.flags & FLAG_RST:
            self.cancel(packet.flow)
        forwarded = self._forward_by_record_as_home(packet, now)
        if forwarded is not None:
            return forwarded
        answer = packet.slots.find_forward(packet.flow)
        if answer is not None and not self._context.view.is_stale:
            return self._forward_clean_slot(packet, answer[0])
        packet.slots.request_release(packet.slot.slot, now)
        if not self._context.take_over.has_all_records(packet.slot):
            return self._queue_until_answered(packet, now)
        return self._decide_without_record(packet, now)

    def resume_packet(self, packet: PacketContext, now: float) -> Actions:
        """Decide on a packet that was queued until the records of peers arrived."""
        queued = _as_queued(packet, self._context)
        forwarded = self._forward_by_record_as_home(queued, now)
        if forwarded is not None:
            return forwarded
        return self._decide_without_record(queued, now)

    def cancel(self, flow: FlowKey) -> None:
        """Discard a flow's waiting opening and its copy for a retry, as after a caller's reset."""
        self._waiting.pop(flow, None)
        self._copies.pop(flow, None)

    def retry_waiting_openings(self, now: float) -> Actions:
        """Decide again on the openings that wait for a grant.

        If a retransmission by the caller has been placed in the meantime, its record is followed.
        """
        waiting, self._waiting = self._waiting, {}
        actions: Actions = []
        for item in waiting.values():
            forwarded = self._forward_by_record_as_home(item.packet, now)
            if forwarded is not None:
                actions += forwarded
                continue
            is_late = now >= item.deadline_s
            result = self._context.openings.place(item.packet, now, has_waited=True)
            actions += self._apply_placement(item.packet, result, now, item.deadline_s, is_late)
        return actions

    def retry_refused(self, flow: FlowKey, upstream: UpstreamId, now: float) -> Actions | None:
        """Retry an opening that its upstream refused on one other upstream.

        :returns: ``None`` if there is no copy of it, no retry budget or no other upstream.
        """
        copy = self._copies.pop(flow, None)
        if copy is None or copy.upstream != upstream or now >= copy.deadline_s:
            return None
        if not self._retry_budget(copy.packet).allow_retry(now):
            return None
        result = self._context.openings.place_after_refusal(copy.packet, upstream, now)
        if not isinstance(result, PlacedOpening):
            return None
        return self._record_and_forward(copy.packet, result.upstream, RouteReason.RETRY, now)

    def discard_opening_copy(self, flow: FlowKey) -> None:
        """Discard the copy of an opening that was answered, or that its caller has given up."""
        self._copies.pop(flow, None)

    def expire_opening_copies(self, now: float) -> None:
        """Discard the copies of openings that have timed out."""
        while self._copies:
            flow, copy = next(iter(self._copies.items()))
            if now < copy.deadline_s:
                return
            del self._copies[flow]

    def refuse(self, packet: PacketContext, reason: RefusalReason) -> Actions:
        """Remove a flow's record and reset the flow towards its caller."""
        self._context.records.table.remove(packet.flow)
        self._copies.pop(packet.flow, None)
        actions: Actions = []
        reset = create_reset(packet.data)
        if isinstance(reset, bytes):
            actions.append(ReturnPacket(reset))
        actions.append(self._context.log(packet, reason, None))
        return actions

    def _forward_by_record_as_home(self, packet: PacketContext, now: float) -> Actions | None:
        """Forward a packet by its flow's record, and send the record to the peer that passed it."""
        forwarded = self.forward_by_record(packet, now)
        target = self._context.records.find(packet.flow)
        if forwarded is not None and target is not None:
            self._queue_record(packet, target.upstream, to_successor=False)
        return forwarded

    def _queue_until_answered(self, packet: PacketContext, now: float) -> Actions:
        if not self._context.take_over.queue_packet(packet):
            return self._drop(packet, DropReason.QUEUE_FULL)
        peers = self._context.directory.listed_peers()
        return list(self._context.take_over.start_query(peers, now))

    def _decide_without_record(self, packet: PacketContext, now: float) -> Actions:
        if packet.head.is_opening or packet.head.protocol != TCP:
            self._retry_budget(packet).record_opening(now)
            deadline_s = now + packet.route.service.limits.opening_timeout_s
            result = self._context.openings.place(packet, now)
            return self._apply_placement(packet, result, now, deadline_s, is_late=False)
        return self._forward_to_base(packet, now)

    def _apply_placement(
        self,
        packet: PacketContext,
        result: PlacementResult,
        now: float,
        deadline_s: float,
        is_late: bool,
    ) -> Actions:
        """Forward, queue, refuse or drop an opening by the result of its placement."""
        if isinstance(result, PlacedOpening):
            return self._record_and_forward(packet, result.upstream, result.reason, now)
        if isinstance(result, WaitReason):
            return self._wait_for_grant(packet, deadline_s, is_late)
        if isinstance(result, RefusalReason):
            return self.refuse(packet, result)
        return self._drop(packet, result)

    def _wait_for_grant(self, packet: PacketContext, deadline_s: float, is_late: bool) -> Actions:
        if is_late or len(self._waiting) >= MAX_WAITING_OPENINGS:
            return self.refuse(packet, RefusalReason.NO_CAPACITY)
        if packet.flow in self._waiting:
            return self._drop(packet, DropReason.WAITING)
        queued = _as_queued(packet, self._context)
        self._waiting[packet.flow] = _WaitingOpening(queued, deadline_s)
        return []

    def _forward_to_base(self, packet: PacketContext, now: float) -> Actions:
        """Forward a packet to its slot's base, the upstream before the slot became contested.

        This isn't recorded during a partition: instances on the other side may have a record of
        the flow.
        """
        base = packet.slots.base(packet.slot.slot)
        if base is None:
            return self.refuse(packet, RefusalReason.NO_UPSTREAM)
        permitted = self._permit(packet, base)
        if isinstance(permitted, Forward) and not self._context.view.hidden_upstreams():
            self._write_record(packet, base, FlowFlag(0), now)
            self._update_record(packet, base, now)
            self._queue_record(packet, base, to_successor=False)
        return self._forward(packet, base, RouteReason.HOME_BASE)

    def _record_and_forward(
        self, packet: PacketContext, upstream: UpstreamId, reason: RouteReason, now: float
    ) -> Actions:
        flags = FlowFlag.OPENED_HERE
        if packet.head.protocol == TCP:
            flags |= FlowFlag.HALF_OPEN
        full = self._write_record(packet, upstream, flags, now)
        if full is not None:
            return self.refuse(packet, RefusalReason.NO_CAPACITY)
        self._store_copy(packet, upstream, now)
        self._queue_record(packet, upstream, to_successor=True)
        return self._forward(packet, upstream, reason)

    def _store_copy(self, packet: PacketContext, upstream: UpstreamId, now: float) -> None:
        service = packet.route.service
        if service.return_path is not ReturnPath.ENTRY:
            return
        if len(self._copies) >= MAX_OPENING_COPIES:
            self._copies.popitem(last=False)
        deadline_s = now + service.limits.opening_timeout_s
        queued = _as_queued(packet, self._context)
        self._copies[packet.flow] = _OpeningCopy(queued, upstream, deadline_s)

    def _write_record(
        self, packet: PacketContext, upstream: UpstreamId, flags: FlowFlag, now: float
    ) -> DropReason | None:
        return self._context.records.record(packet.flow, packet.route.id, upstream, flags, now)

    def _queue_record(
        self, packet: PacketContext, upstream: UpstreamId, to_successor: bool
    ) -> None:
        record = packet.make_record(upstream)
        own = self._context.own
        if packet.sender is not None and packet.sender != own:
            self._context.hints.add(packet.sender, record, Priority.HINT)
        if not to_successor:
            return
        for home in self._context.directory.homes_of(packet.slot):
            if home not in (own, packet.sender):
                self._context.hints.add(home, record, Priority.HANDOVER)

    def _update_record(self, packet: PacketContext, upstream: UpstreamId, now: float) -> None:
        records = self._context.records
        if packet.head.is_opening:
            records.table.touch(packet.flow, now)
            return
        if records.has_flag(packet.flow, FlowFlag.HALF_OPEN):
            self._context.outcomes.add_answered(upstream)
            self._copies.pop(packet.flow, None)
        flags = FlowFlag.CLOSING if packet.head.flags & FLAG_FIN else FlowFlag(0)
        records.table.set_flags(packet.flow, flags, now)

    def _forward_clean_slot(self, packet: PacketContext, answer: Forward) -> Actions:
        """Forward a packet of a clean slot; send the slot's release to the peer that passed it."""
        actions = self._forward(packet, answer.upstream, RouteReason.CLEAN_SLOT)
        if packet.sender is not None:
            release = packet.slots.release(packet.slot.slot)
            actions += self._context.build_release_notice(packet.sender, SlotReleases((release,)))
        return actions

    def _forward(self, packet: PacketContext, upstream: UpstreamId, reason: RouteReason) -> Actions:
        permitted = self._permit(packet, upstream)
        if isinstance(permitted, RefusalReason):
            return self.refuse(packet, permitted)
        if isinstance(permitted, DropReason):
            return self._drop(packet, permitted)
        if packet.head.flags & FLAG_RST:
            self._context.records.table.remove(packet.flow)
        log = self._context.log(packet, reason, upstream)
        if packet.sender is None:
            return [permitted, log]
        return [ForwardHeld(permitted.upstream, permitted.address, packet.data), log]

    def _permit(
        self, packet: PacketContext, upstream: UpstreamId
    ) -> Forward | DropReason | RefusalReason:
        egress_policy: EgressPolicy | None = self._context.view.egress_policy
        if egress_policy is None:
            return DropReason.NO_VIEW
        permitted = egress_policy.check(packet.route.id, upstream)
        if isinstance(permitted, tuple):
            return permitted[0]
        if permitted is DropReason.NOT_LISTED:
            return RefusalReason.UPSTREAM_GONE
        return permitted

    def _drop(self, packet: PacketContext, reason: DropReason) -> Actions:
        log = self._context.log(packet, reason, None)
        if packet.sender is None:
            return [Drop(reason), log]
        return [log]

    def _retry_budget(self, packet: PacketContext) -> RetryBudget:
        service = packet.route.service
        budget = self._retries.get(service.id)
        if budget is None:
            budget = create_retry_budget(service.limits.retry_ratio)
            self._retries[service.id] = budget
        return budget


def _as_queued(packet: PacketContext, context: EntryContext) -> PacketContext:
    """Return a packet for forwarding at a later time.

    A packet with a sender is forwarded as ``ForwardHeld``, which contains its data. By then the
    driver no longer holds the packet that it received.
    """
    if packet.sender is not None:
        return packet
    return PacketContext(
        packet.data,
        packet.head,
        packet.flow,
        packet.route,
        packet.slots,
        packet.slot,
        sender=context.own,
    )


def create_decider(context: EntryContext) -> Decider:
    """Create the decider of one entry."""
    return Decider(context)
