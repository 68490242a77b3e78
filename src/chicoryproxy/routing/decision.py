"""Decisions on packets of contested slots: at any entry for known flows, at the home for all."""

from collections import OrderedDict

from msgspec import Struct

from chicoryproxy.ids import FlowKey, ServiceId, UpstreamId
from chicoryproxy.protocol.actions import Drop, Forward, ForwardHeld, ReturnPacket
from chicoryproxy.protocol.messages import Priority, SlotReleases
from chicoryproxy.protocol.packet import FLAG_FIN, FLAG_RST, TCP
from chicoryproxy.routing.egress import EgressPolicy
from chicoryproxy.routing.flowtable import FlowFlag
from chicoryproxy.routing.openings import Placed, Verdict, Wait
from chicoryproxy.routing.parts import Actions, EntryParts
from chicoryproxy.routing.reset import create_reset
from chicoryproxy.routing.retry import RetryBudget, create_retry_budget
from chicoryproxy.routing.route import PacketAtHand
from chicoryproxy.states import DropReason, RefusalReason, ReturnPath, RouteReason

MAX_WAITING_OPENINGS = 4096
MAX_KEPT_OPENINGS = 4096


class _WaitingOpening(Struct, frozen=True):
    """An opening that waits for a grant."""

    packet: PacketAtHand
    deadline_s: float


class _KeptOpening(Struct, frozen=True):
    """A copy of a forwarded opening, for one more try if its upstream refuses it."""

    packet: PacketAtHand
    upstream: UpstreamId
    deadline_s: float


class Decider:
    """Decides where a packet goes and writes the record that makes the decision last.

    :param parts: state of the entry.
    """

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts
        self._waiting: dict[FlowKey, _WaitingOpening] = {}
        self._kept: OrderedDict[FlowKey, _KeptOpening] = OrderedDict()
        self._retries: dict[ServiceId, RetryBudget] = {}

    def follow_record(self, packet: PacketAtHand, now: float) -> Actions | None:
        """Send a packet where its flow's record says.

        :returns: ``None`` when there is no record, or the packet opens the flow anew.
        """
        records = self._parts.records
        target = records.find(packet.flow)
        if target is None or target.service != packet.route.id:
            return None
        if packet.head.is_opening and records.has_flag(packet.flow, FlowFlag.CLOSING):
            records.table.remove(packet.flow)
            return None
        self._note_packet(packet, target.upstream, now)
        return self._send(packet, target.upstream, RouteReason.KNOWN_FLOW)

    def decide(self, packet: PacketAtHand, now: float) -> Actions:
        """Decide on a packet as the home of its slot."""
        if packet.head.flags & FLAG_RST:
            self.cancel(packet.flow)
        known = self._follow_as_home(packet, now)
        if known is not None:
            return known
        answer = packet.slots.find_forward(packet.flow)
        if answer is not None and not self._parts.world.is_stale:
            return self._send_clean(packet, answer[0])
        packet.slots.request_release(packet.slot.slot, now)
        if not self._parts.take_over.has_all_records(packet.slot):
            return self._hold(packet, now)
        return self._decide_unknown(packet, now)

    def resume(self, packet: PacketAtHand, now: float) -> Actions:
        """Decide on a packet that waited for the records of peers."""
        held = _as_held(packet, self._parts)
        known = self._follow_as_home(held, now)
        if known is not None:
            return known
        return self._decide_unknown(held, now)

    def cancel(self, flow: FlowKey) -> None:
        """Give up an opening that its caller cancelled before it was forwarded."""
        self._waiting.pop(flow, None)
        self._kept.pop(flow, None)

    def retry_waiting(self, now: float) -> Actions:
        """Decide again on the openings that wait for a grant.

        A copy that the caller sent again may have been placed meanwhile; its record decides then.
        """
        waiting, self._waiting = self._waiting, {}
        actions: Actions = []
        for item in waiting.values():
            known = self._follow_as_home(item.packet, now)
            if known is not None:
                actions += known
                continue
            is_late = now >= item.deadline_s
            verdict = self._parts.openings.place(item.packet, now, has_waited=True)
            actions += self._settle(item.packet, verdict, now, item.deadline_s, is_late)
        return actions

    def place_refused(self, flow: FlowKey, upstream: UpstreamId, now: float) -> Actions | None:
        """Give an opening that its upstream refused to one other upstream.

        :returns: ``None`` when there is no copy of it, no budget or no other upstream.
        """
        kept = self._kept.pop(flow, None)
        if kept is None or kept.upstream != upstream or now >= kept.deadline_s:
            return None
        if not self._retry_budget(kept.packet).allow_retry(now):
            return None
        verdict = self._parts.openings.place_again(kept.packet, upstream, now)
        if not isinstance(verdict, Placed):
            return None
        return self._place(kept.packet, verdict.upstream, RouteReason.RETRY, now)

    def forget_opening(self, flow: FlowKey) -> None:
        """Drop the copy of an opening that was answered or given up by its caller."""
        self._kept.pop(flow, None)

    def expire_openings(self, now: float) -> None:
        """Drop copies of openings whose time is over."""
        while self._kept:
            flow, kept = next(iter(self._kept.items()))
            if now < kept.deadline_s:
                return
            del self._kept[flow]

    def refuse(self, packet: PacketAtHand, reason: RefusalReason) -> Actions:
        """Reset a flow towards its caller, at once."""
        self._parts.records.table.remove(packet.flow)
        self._kept.pop(packet.flow, None)
        actions: Actions = []
        reset = create_reset(packet.data)
        if isinstance(reset, bytes):
            actions.append(ReturnPacket(reset))
        actions.append(self._parts.log(packet, reason, None))
        return actions

    def _follow_as_home(self, packet: PacketAtHand, now: float) -> Actions | None:
        """Send a packet where its flow's record says, and tell the peer that passed it."""
        known = self.follow_record(packet, now)
        target = self._parts.records.find(packet.flow)
        if known is not None and target is not None:
            self._hint(packet, target.upstream, to_successor=False)
        return known

    def _hold(self, packet: PacketAtHand, now: float) -> Actions:
        if not self._parts.take_over.hold(packet):
            return self._drop(packet, DropReason.QUEUE_FULL)
        peers = self._parts.directory.listed_peers()
        return list(self._parts.take_over.start(peers, now))

    def _decide_unknown(self, packet: PacketAtHand, now: float) -> Actions:
        if packet.head.is_opening or packet.head.protocol != TCP:
            self._retry_budget(packet).record_opening(now)
            deadline_s = now + packet.route.service.limits.opening_timeout_s
            verdict = self._parts.openings.place(packet, now)
            return self._settle(packet, verdict, now, deadline_s, is_late=False)
        return self._continue(packet, now)

    def _settle(
        self,
        packet: PacketAtHand,
        verdict: Verdict,
        now: float,
        deadline_s: float,
        is_late: bool,
    ) -> Actions:
        """Carry out the verdict on an opening."""
        if isinstance(verdict, Placed):
            return self._place(packet, verdict.upstream, verdict.reason, now)
        if isinstance(verdict, Wait):
            return self._wait(packet, deadline_s, is_late)
        if isinstance(verdict, RefusalReason):
            return self.refuse(packet, verdict)
        return self._drop(packet, verdict)

    def _wait(self, packet: PacketAtHand, deadline_s: float, is_late: bool) -> Actions:
        if is_late or len(self._waiting) >= MAX_WAITING_OPENINGS:
            return self.refuse(packet, RefusalReason.NO_CAPACITY)
        if packet.flow in self._waiting:
            return self._drop(packet, DropReason.WAITING)
        held = _as_held(packet, self._parts)
        self._waiting[packet.flow] = _WaitingOpening(held, deadline_s)
        return []

    def _continue(self, packet: PacketAtHand, now: float) -> Actions:
        """Send a packet of a flow from before the slot was contested to the slot's base.

        During a partition this isn't recorded: instances beyond it may know better.
        """
        base = packet.slots.base(packet.slot.slot)
        if base is None:
            return self.refuse(packet, RefusalReason.NO_UPSTREAM)
        permitted = self._permit(packet, base)
        if isinstance(permitted, Forward) and not self._parts.world.hidden_upstreams():
            self._record(packet, base, FlowFlag(0), now)
            self._note_packet(packet, base, now)
            self._hint(packet, base, to_successor=False)
        return self._send(packet, base, RouteReason.HOME_BASE)

    def _place(
        self, packet: PacketAtHand, upstream: UpstreamId, reason: RouteReason, now: float
    ) -> Actions:
        flags = FlowFlag.OPENED_HERE
        if packet.head.protocol == TCP:
            flags |= FlowFlag.HALF_OPEN
        full = self._record(packet, upstream, flags, now)
        if full is not None:
            return self.refuse(packet, RefusalReason.NO_CAPACITY)
        self._keep(packet, upstream, now)
        self._hint(packet, upstream, to_successor=True)
        return self._send(packet, upstream, reason)

    def _keep(self, packet: PacketAtHand, upstream: UpstreamId, now: float) -> None:
        service = packet.route.service
        if service.return_path is not ReturnPath.ENTRY:
            return
        if len(self._kept) >= MAX_KEPT_OPENINGS:
            self._kept.popitem(last=False)
        deadline_s = now + service.limits.opening_timeout_s
        held = _as_held(packet, self._parts)
        self._kept[packet.flow] = _KeptOpening(held, upstream, deadline_s)

    def _record(
        self, packet: PacketAtHand, upstream: UpstreamId, flags: FlowFlag, now: float
    ) -> DropReason | None:
        return self._parts.records.record(packet.flow, packet.route.id, upstream, flags, now)

    def _hint(self, packet: PacketAtHand, upstream: UpstreamId, to_successor: bool) -> None:
        record = packet.record(upstream)
        own = self._parts.own
        if packet.sender is not None and packet.sender != own:
            self._parts.hints.add(packet.sender, record, Priority.HINT)
        if not to_successor:
            return
        for home in self._parts.directory.homes_of(packet.slot):
            if home not in (own, packet.sender):
                self._parts.hints.add(home, record, Priority.HANDOVER)

    def _note_packet(self, packet: PacketAtHand, upstream: UpstreamId, now: float) -> None:
        records = self._parts.records
        if packet.head.is_opening:
            records.table.touch(packet.flow, now)
            return
        if records.has_flag(packet.flow, FlowFlag.HALF_OPEN):
            self._parts.outcomes.add_answered(upstream)
            self._kept.pop(packet.flow, None)
        flags = FlowFlag.CLOSING if packet.head.flags & FLAG_FIN else FlowFlag(0)
        records.table.set_flags(packet.flow, flags, now)

    def _send_clean(self, packet: PacketAtHand, answer: Forward) -> Actions:
        """Forward a packet that a peer passed although the slot is clean, and tell the peer."""
        actions = self._send(packet, answer.upstream, RouteReason.CLEAN_SLOT)
        if packet.sender is not None:
            release = packet.slots.release(packet.slot.slot)
            actions += self._parts.tell_release(packet.sender, SlotReleases((release,)))
        return actions

    def _send(self, packet: PacketAtHand, upstream: UpstreamId, reason: RouteReason) -> Actions:
        permitted = self._permit(packet, upstream)
        if isinstance(permitted, RefusalReason):
            return self.refuse(packet, permitted)
        if isinstance(permitted, DropReason):
            return self._drop(packet, permitted)
        if packet.head.flags & FLAG_RST:
            self._parts.records.table.remove(packet.flow)
        log = self._parts.log(packet, reason, upstream)
        if packet.sender is None:
            return [permitted, log]
        return [ForwardHeld(permitted.upstream, permitted.address, packet.data), log]

    def _permit(
        self, packet: PacketAtHand, upstream: UpstreamId
    ) -> Forward | DropReason | RefusalReason:
        egress_policy: EgressPolicy | None = self._parts.world.egress_policy
        if egress_policy is None:
            return DropReason.NO_VIEW
        permitted = egress_policy.check(packet.route.id, upstream)
        if isinstance(permitted, tuple):
            return permitted[0]
        if permitted is DropReason.NOT_LISTED:
            return RefusalReason.UPSTREAM_GONE
        return permitted

    def _drop(self, packet: PacketAtHand, reason: DropReason) -> Actions:
        log = self._parts.log(packet, reason, None)
        if packet.sender is None:
            return [Drop(reason), log]
        return [log]

    def _retry_budget(self, packet: PacketAtHand) -> RetryBudget:
        service = packet.route.service
        budget = self._retries.get(service.id)
        if budget is None:
            budget = create_retry_budget(service.limits.retry_ratio)
            self._retries[service.id] = budget
        return budget


def _as_held(packet: PacketAtHand, parts: EntryParts) -> PacketAtHand:
    """Return a packet that is sent later, so that the driver has to be given its bytes."""
    if packet.sender is not None:
        return packet
    return PacketAtHand(
        packet.data,
        packet.head,
        packet.flow,
        packet.route,
        packet.slots,
        packet.slot,
        sender=parts.own,
    )


def create_decider(parts: EntryParts) -> Decider:
    """Create the decisions of one entry."""
    return Decider(parts)
