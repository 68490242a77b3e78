"""The packet core of one entry: all packet decisions, without I/O.

``docs/design/overview.md`` states the rules R1 to R15 that the packet core applies.
"""

from collections.abc import Sequence
from math import inf

from msgspec import Struct

from chicoryproxy.ids import DomainId, FlowKey, InstanceId, RegionId, UpstreamId
from chicoryproxy.model import FleetLimits
from chicoryproxy.protocol.actions import Drop, PacketAction, SendToPeer
from chicoryproxy.protocol.messages import (
    EntryMessage,
    EntryReport,
    FlowRecord,
    PassedPacket,
    Priority,
    ServiceClean,
    SlotName,
    ViewUpdate,
)
from chicoryproxy.protocol.packet import UDP, PacketHeader, hash_flow, parse_packet
from chicoryproxy.routing.context import (
    ENTRY_BUDGET_FRACTION,
    MAX_RECORDS_PER_SLOT,
    Actions,
    EntryContext,
)
from chicoryproxy.routing.decision import create_decider
from chicoryproxy.routing.description import EntryDescription, describe_entry
from chicoryproxy.routing.explanation import Explanation, explain_flow
from chicoryproxy.routing.flowname import FlowName
from chicoryproxy.routing.flowtable import FlowFlag
from chicoryproxy.routing.handover import create_leaving_entry
from chicoryproxy.routing.leases import create_lease_exchange
from chicoryproxy.routing.peers import create_peer_exchange
from chicoryproxy.routing.releases import create_slot_releaser
from chicoryproxy.routing.returns import create_return_router
from chicoryproxy.routing.route import PacketContext, ServiceRoute
from chicoryproxy.routing.slots import ForwardActions, ServiceSlots
from chicoryproxy.states import DropReason, RouteReason

MAX_EXAMINED_RECORDS_PER_TICK = 2000
MAX_EARLY_MESSAGES = 4096

_DROPS: dict[DropReason, tuple[Drop, ...]] = {reason: (Drop(reason),) for reason in DropReason}


class _EarlyMessage(Struct, frozen=True):
    """A message that arrived before the first view."""

    sender: InstanceId
    message: EntryMessage


class PacketCore:
    """Decides on every packet of one entry instance.

    It is deterministic: the same events give the same actions. Times are in seconds and never
    decrease.

    :param own: id of this instance.
    :param domain: its failure domain.
    :param region: its region; packets of one flow may arrive at any instance of a region.
    :param fleet: limits that apply until the first view.
    """

    def __init__(
        self, own: InstanceId, domain: DomainId, region: RegionId, fleet: FleetLimits
    ) -> None:
        self._context = EntryContext(own, domain, region, fleet)
        self._leaving = create_leaving_entry(own, self._context.handovers)
        self._decider = create_decider(self._context)
        self._returns = create_return_router(self._context, self._decider)
        self._releases = create_slot_releaser(self._context)
        self._leases = create_lease_exchange(self._context)
        self._exchange = create_peer_exchange(self._context, self._leaving, self._releases)
        self._pause_deadline_s = inf
        self._complete_from_s = 0.0
        self._early_messages: list[_EarlyMessage] = []

    def receive_packet(
        self, data: bytes, source: Sequence[object], now: float
    ) -> Sequence[PacketAction]:
        """Decide on a packet from a caller, or on a packet returned by an upstream.

        :param data: the inner packet.
        :param source: host and port of the outer source.
        """
        if now > self._pause_deadline_s:
            self._check_for_pause(now)
        head = parse_packet(data)
        if isinstance(head, DropReason):
            return _DROPS[head]
        route = self._context.view.routes.get(head.target)
        if route is None:
            return self._receive_returned(data, head, source, now)
        slots = route.slots
        if slots is None:
            slots = self._context.view.get_slots(route, now)
        flow = hash_flow(head)
        answer = slots.find_forward(flow)
        if answer is not None and not self._context.view.is_behind:
            return self._forward_clean(answer, head, flow, route, slots, now)
        packet = PacketContext(
            data, head, flow, route, slots, slots.name(slots.slot_of(flow)), None
        )
        return self._route_contested(packet, now)

    def receive_message(
        self, sender: InstanceId, message: EntryMessage, now: float
    ) -> Sequence[PacketAction]:
        """Handle a message from another entry."""
        if now > self._pause_deadline_s:
            self._check_for_pause(now)
        if self._context.directory.is_hidden(sender):
            self._handle_heal()
        self._context.liveness.record_message(sender)
        if self._context.view.egress_policy is None:
            self._queue_early_message(sender, message)
            return ()
        if isinstance(message, PassedPacket):
            self._context.hints.record_pass(sender)
            return self._receive_passed(sender, message, now)
        actions = self._exchange.receive(sender, message, now)
        return actions + self._advance_queries(now)

    def update_view(self, update: ViewUpdate, now: float) -> Sequence[PacketAction]:
        """Apply a new view and process the messages that arrived before the first one."""
        if now > self._pause_deadline_s:
            self._check_for_pause(now)
        context = self._context
        version = context.view.version
        change = context.view.update(update, now)
        context.budget.set_rate(context.view.fleet.control_bytes_per_s * ENTRY_BUDGET_FRACTION)
        context.openings.spread_s = context.view.fleet.spread_s
        context.grant_owner.set_lease(context.view.fleet.lease_s, now)
        if context.view.egress_policy is not None:
            context.openings.update_conditions(context.view.egress_policy, context.view.conditions)
        context.openings.update_hidden(sorted(context.view.hidden_upstreams()), now)
        if now >= self._complete_from_s:
            # After a pause, other instances may have opened flows in slots that changed meanwhile.
            context.take_over.mark_complete(change.contested)
        if change.members.live_changed:
            context.handle_home_change()
        if change.members.healed:
            context.take_over.invalidate_all()
        if context.view.version > version:
            for service in update.configuration.services:
                context.records.set_service_limits(service)
        self._leaving.retain_peers(context.directory.answering_peers())
        context.handovers.retain_peers(context.directory.answering_peers())
        return self._decider.retry_waiting_openings(now) + self._process_early_messages(now)

    def tick(self, now: float) -> Sequence[PacketAction]:
        """Run periodic work; must be called every few tens of milliseconds."""
        self._check_for_pause(now)
        self._context.records.table.expire(now, MAX_EXAMINED_RECORDS_PER_TICK)
        self._decider.expire_opening_copies(now)
        actions: Actions = self._advance_queries(now)
        actions += self._leases.tick(now)
        actions += self._decider.retry_waiting_openings(now)
        actions += self._releases.tick(now)
        actions += self._leaving.tick(now)
        actions += self._context.handovers.tick(now)
        actions += self._context.hints.flush(now)
        return actions

    def begin_leaving(self, now: float) -> Sequence[PacketAction]:
        """Begin the graceful shutdown: give up all roles and hand over records and releases."""
        self._context.directory.leave()
        actions = self._leaving.begin(
            self._context.directory.answering_peers(),
            self._records_by_home(),
            self._releases.releases_by_home(),
            now,
        )
        self._context.handle_home_change()
        return actions + self._leaving.tick(now)

    def may_stop(self, now: float) -> bool:
        """Return whether every peer has acknowledged the shutdown and the handover."""
        return self._leaving.is_done

    def built_slots(self) -> list[ServiceSlots]:
        """Return the slots of all services that have received a packet."""
        return self._context.view.built_slots()

    def own_contested_slots(self) -> list[tuple[SlotName, InstanceId]]:
        """Return the slots with several candidates whose home is this entry, and successors."""
        directory = self._context.directory
        names = [slots.name(slot) for slots in self.built_slots() for slot in slots.changed()]
        homes = [(name, directory.homes_of(name)) for name in names]
        return [
            (name, found[1]) for name, found in homes if len(found) > 1 and directory.is_home(name)
        ]

    def records_of(self, slot: SlotName) -> Sequence[FlowRecord]:
        """Return the records of a contested slot, except those on its base upstream."""
        route = self._context.view.find_service(slot.service)
        base = route.slots.base_name(slot.slot) if route and route.slots else None
        return self._context.records.records_of(slot, base, MAX_RECORDS_PER_SLOT)

    def collect_report(self) -> EntryReport:
        """Return the report for the view, and clear the outcomes collected for it."""
        clean = tuple(
            ServiceClean(slots.service, slots.report_clean())
            for slots in self._context.view.built_slots()
            if slots.has_unneeded_generations
        )
        return EntryReport(
            clean, self._leases.collect_reported(), self._context.grant_owner.warmed()
        )

    def describe(self) -> EntryDescription:
        """Describe the state for operators."""
        return describe_entry(self._context)

    def explain(self, flow: FlowName, now: float) -> Explanation:
        """Explain where packets of a flow go and why, without changing any state."""
        return explain_flow(self._context, flow, now)

    def _forward_clean(
        self,
        answer: ForwardActions,
        head: PacketHeader,
        flow: FlowKey,
        route: ServiceRoute,
        slots: ServiceSlots,
        now: float,
    ) -> Sequence[PacketAction]:
        if head.is_opening:
            slot = slots.slot_of(flow)
            reason = RouteReason.CLEAN_SLOT
            log = self._context.log_flow(reason, route.id, flow, slot, answer[0].upstream)
            return (answer[0], log)
        if head.protocol == UDP:
            self._record_datagram(flow, route, answer[0].upstream, now)
        return answer

    def _record_datagram(
        self, flow: FlowKey, route: ServiceRoute, upstream: UpstreamId, now: float
    ) -> None:
        """Record a flow without an opening packet, so that a later home can query for it."""
        records = self._context.records
        if records.table.find(flow) is None:
            records.record(flow, route.id, upstream, FlowFlag(0), now)
        else:
            records.table.touch(flow, now)

    def _route_contested(self, packet: PacketContext, now: float) -> Sequence[PacketAction]:
        if not self._context.directory.is_home(packet.slot):
            self._decider.discard_gone_record(packet)
        forwarded = self._decider.forward_by_recent_record(packet, now)
        if forwarded is not None:
            return forwarded
        homes = self._context.directory.homes_of(packet.slot)
        if not homes:
            return _DROPS[DropReason.NO_HOME]
        home = self._choose_home(homes, now)
        if home == self._context.own:
            return self._decider.decide_as_home(packet, now)
        return self._pass_to_home(packet, home, now)

    def _choose_home(self, homes: Sequence[InstanceId], now: float) -> InstanceId:
        """Return the first responsive home, or the first one if none is responsive.

        This instance is skipped while its view is stale, since it may no longer be a home.
        """
        is_stale = self._context.view.is_stale
        others = [home for home in homes if home != self._context.own or not is_stale]
        for home in others:
            if not self._context.liveness.is_unresponsive(home, now):
                return home
        return (others or homes)[0]

    def _pass_to_home(
        self, packet: PacketContext, home: InstanceId, now: float
    ) -> Sequence[PacketAction]:
        self._context.liveness.record_passed_packet(home, now)
        is_behind = self._context.view.is_behind
        reason = RouteReason.PASSED_BEHIND if is_behind else RouteReason.PASSED_CONTESTED
        message = PassedPacket(self._context.view.version, packet.data)
        return (
            SendToPeer(home, message, Priority.SAFETY),
            self._context.log(packet, reason, home),
        )

    def _receive_passed(
        self, sender: InstanceId, message: PassedPacket, now: float
    ) -> Sequence[PacketAction]:
        self._context.view.observe_version(message.version)
        head = parse_packet(message.packet)
        if isinstance(head, DropReason):
            return _DROPS[head]
        route = self._context.view.routes.get(head.target)
        if route is None:
            return self._receive_passed_return(message.packet, head, now)
        slots = self._context.view.get_slots(route, now)
        flow = hash_flow(head)
        name = slots.name(slots.slot_of(flow))
        packet = PacketContext(message.packet, head, flow, route, slots, name, sender)
        return self._decider.decide_as_home(packet, now)

    def _receive_returned(
        self, data: bytes, head: PacketHeader, source: Sequence[object], now: float
    ) -> Sequence[PacketAction]:
        if self._context.view.egress_policy is None:
            return _DROPS[DropReason.NO_VIEW]
        route = self._context.view.routes.get(head.source)
        if route is None:
            return _DROPS[DropReason.UNKNOWN_SERVICE]
        upstream = route.find_upstream_at(source)
        if upstream is None:
            return _DROPS[DropReason.UNKNOWN_SOURCE]
        return self._returns.receive(data, head, route, upstream, now)

    def _receive_passed_return(
        self, data: bytes, head: PacketHeader, now: float
    ) -> Sequence[PacketAction]:
        route = self._context.view.routes.get(head.source)
        if route is None:
            return _DROPS[DropReason.UNKNOWN_SERVICE]
        return self._returns.receive_passed(data, head, route, now)

    def _queue_early_message(self, sender: InstanceId, message: EntryMessage) -> None:
        """Queue a message that arrived before the first view.

        Peers may already treat this instance as a home.
        """
        if len(self._early_messages) < MAX_EARLY_MESSAGES:
            self._early_messages.append(_EarlyMessage(sender, message))

    def _process_early_messages(self, now: float) -> Actions:
        early, self._early_messages = self._early_messages, []
        actions: Actions = []
        for item in early:
            actions += self.receive_message(item.sender, item.message, now)
        return actions

    def _resend_queries(self, now: float) -> Actions:
        liveness = self._context.liveness
        peers = self._context.directory.answering_peers()
        responsive_peers = [peer for peer in peers if not liveness.is_unresponsive(peer, now)]
        return list(self._context.take_over.resend_query(responsive_peers, now))

    def _handle_heal(self) -> None:
        """Hold all slots after a message of a hidden peer, without waiting for the next view."""
        self._context.view.hold_all()
        self._context.take_over.invalidate_all()

    def _check_for_pause(self, now: float) -> None:
        """Detect a pause of this instance and invalidate what may have changed during it.

        After a pause the view is stale, leases are void and all records are considered
        incomplete. A packet may arrive before the first tick after a pause, so that every kind of
        event calls this.
        """
        is_late = now > self._pause_deadline_s
        self._pause_deadline_s = now + self._context.view.fleet.pause_s
        if not is_late:
            return
        self._complete_from_s = now + self._context.view.fleet.spread_s
        self._context.view.is_stale = True
        self._context.liveness.reset()
        self._context.grant_holder.invalidate()
        self._context.grant_owner.invalidate(now)
        self._context.take_over.invalidate_all()

    def _advance_queries(self, now: float) -> Actions:
        actions: Actions = []
        actions += self._resend_queries(now)
        for packet in self._context.take_over.finish_query(now):
            actions += self._decider.resume_packet(packet, now)
        actions += self._context.take_over.start_query(self._context.directory.listed_peers(), now)
        return actions + self._releases.finish(now)

    def _records_by_home(self) -> dict[InstanceId, list[FlowRecord]]:
        """Return the records of contested slots by the instance that is now their home."""
        found: dict[InstanceId, list[FlowRecord]] = {}
        for slots in self._context.view.built_slots():
            for slot in slots.held():
                name = slots.name(slot)
                homes = self._context.directory.homes_of(name)
                base = slots.base_name(slot)
                records = self._context.records.records_of(name, base, MAX_RECORDS_PER_SLOT)
                if homes and records:
                    found.setdefault(homes[0], []).extend(records)
        return found


def create_packet_core(
    own: InstanceId,
    domain: DomainId,
    region: RegionId,
    fleet: FleetLimits | None = None,
) -> PacketCore:
    """Create the packet core of an entry that has no view yet.

    :param own: id of the instance.
    :param domain: its failure domain.
    :param region: its region.
    :param fleet: limits until the first view.
    """
    return PacketCore(own, domain, region, fleet or FleetLimits())
