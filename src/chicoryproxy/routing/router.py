"""The packet core of one entry: every decision on a packet, without I/O.

``docs/design/overview.md`` states the rules R1 to R15 that the parts of the core apply.
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
from chicoryproxy.protocol.packet import UDP, PacketHead, hash_flow, read_packet
from chicoryproxy.routing.decision import create_decider
from chicoryproxy.routing.description import EntryDescription, describe_entry
from chicoryproxy.routing.explanation import Explanation, explain_flow
from chicoryproxy.routing.flowname import FlowName
from chicoryproxy.routing.flowtable import FlowFlag
from chicoryproxy.routing.handover import create_leaving_entry
from chicoryproxy.routing.leases import create_lease_exchange
from chicoryproxy.routing.parts import ENTRY_SHARE, MAX_RECORDS_PER_SLOT, Actions, EntryParts
from chicoryproxy.routing.peers import create_peer_exchange
from chicoryproxy.routing.releases import create_slot_releaser
from chicoryproxy.routing.returns import create_return_router
from chicoryproxy.routing.route import PacketAtHand, ServiceRoute
from chicoryproxy.routing.slots import ForwardActions, ServiceSlots
from chicoryproxy.states import DropReason, RouteReason

EXPIRED_PER_TICK = 2000
MAX_EARLY_MESSAGES = 4096

_DROPS: dict[DropReason, tuple[Drop, ...]] = {reason: (Drop(reason),) for reason in DropReason}


class _EarlyMessage(Struct, frozen=True):
    """A message that came before the first view."""

    sender: InstanceId
    message: EntryMessage


class PacketCore:
    """Decides on every packet of one entry instance.

    The same events give the same actions. Times are in seconds and never go back.

    :param own: id of this instance.
    :param domain: its failure domain.
    :param region: its region, whose instances share the packets of a flow.
    :param fleet: limits that hold until the first view.
    """

    def __init__(
        self, own: InstanceId, domain: DomainId, region: RegionId, fleet: FleetLimits
    ) -> None:
        self._parts = EntryParts(own, domain, region, fleet)
        self._leaving = create_leaving_entry(own, self._parts.handovers)
        self._decider = create_decider(self._parts)
        self._returns = create_return_router(self._parts, self._decider)
        self._releases = create_slot_releaser(self._parts)
        self._leases = create_lease_exchange(self._parts)
        self._exchange = create_peer_exchange(self._parts, self._leaving, self._releases)
        self._fresh_until_s = inf
        self._trusted_from_s = 0.0
        self._early: list[_EarlyMessage] = []

    def receive_packet(
        self, data: bytes, source: Sequence[object], now: float
    ) -> Sequence[PacketAction]:
        """Decide on a packet that came from the fabric, or as an answer from an upstream.

        :param data: the inner packet.
        :param source: host and port of the outer source.
        """
        if now > self._fresh_until_s:
            self._note_time(now)
        head = read_packet(data)
        if isinstance(head, DropReason):
            return _DROPS[head]
        route = self._parts.world.routes.get(head.target)
        if route is None:
            return self._receive_answer(data, head, source, now)
        slots = route.slots
        if slots is None:
            slots = self._parts.world.slots_of(route, now)
        flow = hash_flow(head)
        answer = slots.find_forward(flow)
        if answer is not None and not self._parts.world.is_behind:
            return self._forward_clean(answer, head, flow, route, slots, now)
        packet = PacketAtHand(data, head, flow, route, slots, slots.name(slots.slot_of(flow)), None)
        return self._route_contested(packet, now)

    def receive_message(
        self, sender: InstanceId, message: EntryMessage, now: float
    ) -> Sequence[PacketAction]:
        """Take a message of another entry."""
        if now > self._fresh_until_s:
            self._note_time(now)
        if self._parts.directory.is_hidden(sender):
            self._note_heal()
        self._parts.contact.note_heard(sender)
        if self._parts.world.egress_policy is None:
            self._keep_early(sender, message)
            return ()
        if isinstance(message, PassedPacket):
            self._parts.hints.note_pass(sender)
            return self._receive_passed(sender, message, now)
        actions = self._exchange.receive(sender, message, now)
        return actions + self._finish_rounds(now)

    def update_view(self, update: ViewUpdate, now: float) -> Sequence[PacketAction]:
        """Take a new view of the world."""
        if now > self._fresh_until_s:
            self._note_time(now)
        parts = self._parts
        version = parts.world.version
        change = parts.world.update(update, now)
        parts.budget.set_rate(parts.world.fleet.control_bytes_per_s * ENTRY_SHARE)
        parts.openings.spread_s = parts.world.fleet.spread_s
        parts.owner.set_lease(parts.world.fleet.lease_s, now)
        if parts.world.egress_policy is not None:
            parts.openings.update(parts.world.egress_policy, parts.world.conditions)
        parts.openings.note_hidden(sorted(parts.world.hidden_upstreams()), now)
        if now >= self._trusted_from_s:
            # Slots that changed during a pause may have flows that others opened.
            parts.take_over.trust(change.contested)
        if change.members.live_changed:
            parts.change_homes()
        if change.members.healed:
            parts.take_over.distrust_all()
        if parts.world.version > version:
            for service in update.configuration.services:
                parts.records.set_service_limits(service)
        self._leaving.drop_peers(parts.directory.answering_peers())
        parts.handovers.drop_peers(parts.directory.answering_peers())
        return self._decider.retry_waiting(now) + self._take_early(now)

    def tick(self, now: float) -> Sequence[PacketAction]:
        """Do what is due; to be called every few tens of milliseconds."""
        self._note_time(now)
        self._parts.records.table.expire(now, EXPIRED_PER_TICK)
        self._decider.expire_openings(now)
        actions: Actions = self._finish_rounds(now)
        actions += self._leases.tick(now)
        actions += self._decider.retry_waiting(now)
        actions += self._releases.tick(now)
        actions += self._leaving.tick(now)
        actions += self._parts.handovers.tick(now)
        actions += self._parts.hints.flush(now)
        return actions

    def begin_leaving(self, now: float) -> Sequence[PacketAction]:
        """Begin the graceful stop: give up all roles and hand over the records."""
        self._parts.directory.leave()
        actions = self._leaving.begin(
            self._parts.directory.answering_peers(),
            self._records_by_home(),
            self._releases.releases_by_home(),
        )
        self._parts.change_homes()
        return actions + self._leaving.tick(now)

    def may_stop(self, now: float) -> bool:
        """Return whether every peer knows of the stop and has the records."""
        return self._leaving.is_done

    def built_slots(self) -> list[ServiceSlots]:
        """Return the slots of all services that had a packet."""
        return self._parts.world.built_slots()

    def own_contested_slots(self) -> list[tuple[SlotName, InstanceId]]:
        """Return the slots with several candidates that this entry is home of, with successors."""
        directory = self._parts.directory
        names = [slots.name(slot) for slots in self.built_slots() for slot in slots.changed()]
        homes = [(name, directory.homes_of(name)) for name in names]
        return [
            (name, found[1]) for name, found in homes if len(found) > 1 and directory.is_home(name)
        ]

    def records_of(self, slot: SlotName) -> Sequence[FlowRecord]:
        """Return the records of a contested slot that its base doesn't imply."""
        route = self._parts.world.find_service(slot.service)
        base = route.slots.base_name(slot.slot) if route and route.slots else None
        return self._parts.records.records_of(slot, base, MAX_RECORDS_PER_SLOT)

    def take_report(self) -> EntryReport:
        """Return what the view should know, and start collecting anew."""
        clean = tuple(
            ServiceClean(slots.service, slots.version)
            for slots in self._parts.world.built_slots()
            if slots.has_unneeded_generations
        )
        return EntryReport(clean, self._leases.collect_reported(), self._parts.owner.warmed())

    def describe(self) -> EntryDescription:
        """Return the state for operators."""
        return describe_entry(self._parts)

    def explain(self, flow: FlowName, now: float) -> Explanation:
        """Return why a flow goes where it goes; changes nothing."""
        return explain_flow(self._parts, flow, now)

    def _forward_clean(
        self,
        answer: ForwardActions,
        head: PacketHead,
        flow: FlowKey,
        route: ServiceRoute,
        slots: ServiceSlots,
        now: float,
    ) -> Sequence[PacketAction]:
        if head.is_opening:
            slot = slots.slot_of(flow)
            reason = RouteReason.CLEAN_SLOT
            log = self._parts.log_flow(reason, route.id, flow, slot, answer[0].upstream)
            return (answer[0], log)
        if head.protocol == UDP:
            self._record_datagram(flow, route, answer[0].upstream, now)
        return answer

    def _record_datagram(
        self, flow: FlowKey, route: ServiceRoute, upstream: UpstreamId, now: float
    ) -> None:
        """Record a flow without an opening packet, so that a later home can ask for it."""
        records = self._parts.records
        if records.table.find(flow) is None:
            records.record(flow, route.id, upstream, FlowFlag(0), now)
        else:
            records.table.touch(flow, now)

    def _route_contested(self, packet: PacketAtHand, now: float) -> Sequence[PacketAction]:
        known = self._decider.follow_record(packet, now)
        if known is not None:
            return known
        homes = self._parts.directory.homes_of(packet.slot)
        if not homes:
            return _DROPS[DropReason.NO_HOME]
        home = self._choose_home(homes, now)
        if home == self._parts.own:
            return self._decider.decide(packet, now)
        return self._pass(packet, home, now)

    def _choose_home(self, homes: Sequence[InstanceId], now: float) -> InstanceId:
        """Return the first home that reacts to packets, or else the first of all.

        With a stale view this instance can't know whether it is still a home itself.
        """
        is_stale = self._parts.world.is_stale
        others = [home for home in homes if home != self._parts.own or not is_stale]
        for home in others:
            if not self._parts.contact.is_silent(home, now):
                return home
        return (others or homes)[0]

    def _pass(self, packet: PacketAtHand, home: InstanceId, now: float) -> Sequence[PacketAction]:
        self._parts.contact.note_passed(home, now)
        is_behind = self._parts.world.is_behind
        reason = RouteReason.PASSED_BEHIND if is_behind else RouteReason.PASSED_CONTESTED
        message = PassedPacket(self._parts.world.version, packet.data)
        return (
            SendToPeer(home, message, Priority.SAFETY),
            self._parts.log(packet, reason, home),
        )

    def _receive_passed(
        self, sender: InstanceId, message: PassedPacket, now: float
    ) -> Sequence[PacketAction]:
        self._parts.world.note_version(message.version)
        head = read_packet(message.packet)
        if isinstance(head, DropReason):
            return _DROPS[head]
        route = self._parts.world.routes.get(head.target)
        if route is None:
            return self._receive_passed_answer(message.packet, head, now)
        slots = self._parts.world.slots_of(route, now)
        flow = hash_flow(head)
        name = slots.name(slots.slot_of(flow))
        packet = PacketAtHand(message.packet, head, flow, route, slots, name, sender)
        return self._decider.decide(packet, now)

    def _receive_answer(
        self, data: bytes, head: PacketHead, source: Sequence[object], now: float
    ) -> Sequence[PacketAction]:
        if self._parts.world.egress_policy is None:
            return _DROPS[DropReason.NO_VIEW]
        route = self._parts.world.routes.get(head.source)
        if route is None:
            return _DROPS[DropReason.UNKNOWN_SERVICE]
        upstream = route.find_sender(source)
        if upstream is None:
            return _DROPS[DropReason.UNKNOWN_SOURCE]
        return self._returns.receive(data, head, route, upstream, now)

    def _receive_passed_answer(
        self, data: bytes, head: PacketHead, now: float
    ) -> Sequence[PacketAction]:
        route = self._parts.world.routes.get(head.source)
        if route is None:
            return _DROPS[DropReason.UNKNOWN_SERVICE]
        return self._returns.receive_passed(data, head, route, now)

    def _keep_early(self, sender: InstanceId, message: EntryMessage) -> None:
        """Keep what peers send before the first view: they may take this instance for a home."""
        if len(self._early) < MAX_EARLY_MESSAGES:
            self._early.append(_EarlyMessage(sender, message))

    def _take_early(self, now: float) -> Actions:
        early, self._early = self._early, []
        actions: Actions = []
        for item in early:
            actions += self.receive_message(item.sender, item.message, now)
        return actions

    def _remind_peers(self, now: float) -> Actions:
        contact = self._parts.contact
        peers = self._parts.directory.answering_peers()
        reacting = [peer for peer in peers if not contact.is_silent(peer, now)]
        return list(self._parts.take_over.remind(reacting, now))

    def _note_heal(self) -> None:
        """A hidden peer speaks: hold all slots before the view says that it is back."""
        self._parts.world.hold_all()
        self._parts.take_over.distrust_all()

    def _note_time(self, now: float) -> None:
        """Note that this instance runs; a gap makes its view stale, leases and trust void.

        A packet may come before the first tick after a pause, so events of all kinds call this.
        """
        is_late = now > self._fresh_until_s
        self._fresh_until_s = now + self._parts.world.fleet.pause_s
        if not is_late:
            return
        self._trusted_from_s = now + self._parts.world.fleet.spread_s
        self._parts.world.is_stale = True
        self._parts.contact.forget_all()
        self._parts.holder.invalidate()
        self._parts.owner.invalidate(now)
        self._parts.take_over.distrust_all()

    def _finish_rounds(self, now: float) -> Actions:
        actions: Actions = []
        actions += self._remind_peers(now)
        for packet in self._parts.take_over.finish(now):
            actions += self._decider.resume(packet, now)
        actions += self._parts.take_over.start(self._parts.directory.listed_peers(), now)
        return actions + self._releases.finish(now)

    def _records_by_home(self) -> dict[InstanceId, list[FlowRecord]]:
        """Return the records of contested slots by the instance that is their home now."""
        found: dict[InstanceId, list[FlowRecord]] = {}
        for slots in self._parts.world.built_slots():
            for slot in slots.held():
                name = slots.name(slot)
                homes = self._parts.directory.homes_of(name)
                base = slots.base_name(slot)
                records = self._parts.records.records_of(name, base, MAX_RECORDS_PER_SLOT)
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
