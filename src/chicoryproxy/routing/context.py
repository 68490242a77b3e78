"""State of one entry that the components of its packet core share."""

from chicoryproxy.ids import (
    DomainId,
    FlowKey,
    InstanceId,
    RegionId,
    ServiceId,
    SlotIndex,
    UpstreamId,
)
from chicoryproxy.model import FleetLimits
from chicoryproxy.protocol.actions import LogRoute, PacketAction, SendToPeer
from chicoryproxy.protocol.budget import ControlBudget
from chicoryproxy.protocol.messages import (
    FlowRecord,
    Grant,
    GrantRequest,
    Priority,
    SlotName,
    SlotReleases,
)
from chicoryproxy.routing.agreement import create_release_agreement
from chicoryproxy.routing.grants import MIN_RETRY_DELAY_S, GrantHolder, GrantOwner
from chicoryproxy.routing.handover import create_handover_queue
from chicoryproxy.routing.hints import HintBatches
from chicoryproxy.routing.homes import create_home_directory
from chicoryproxy.routing.liveness import create_peer_liveness
from chicoryproxy.routing.openings import create_opening_placer
from chicoryproxy.routing.outcomes import OutcomeCounts
from chicoryproxy.routing.records import create_flow_records
from chicoryproxy.routing.route import PacketContext
from chicoryproxy.routing.slots import ServiceSlots
from chicoryproxy.routing.takeover import create_take_over
from chicoryproxy.routing.view import create_entry_view
from chicoryproxy.states import DropReason, RefusalReason, RouteReason

MAX_RECORDS_PER_SLOT = 10_000
ENTRY_BUDGET_FRACTION = 0.5


class EntryContext:
    """Holds the components of one entry, and the operations that span several of them.

    :param own: id of this instance.
    :param domain: its failure domain.
    :param region: its region.
    :param fleet: limits that apply until the first view.
    """

    def __init__(
        self, own: InstanceId, domain: DomainId, region: RegionId, fleet: FleetLimits
    ) -> None:
        self.own = own
        self.directory = create_home_directory(own, domain, region)
        self.view = create_entry_view(self.directory)
        self.records = create_flow_records(fleet.flow_table_size)
        self.budget = ControlBudget(fleet.control_bytes_per_s * ENTRY_BUDGET_FRACTION)
        self.hints = HintBatches(self.budget)
        self.grant_holder = GrantHolder()
        self.grant_owner = GrantOwner(fleet.lease_s)
        self.openings = create_opening_placer(self.directory, self.grant_holder, fleet.spread_s)
        self.take_over = create_take_over()
        self.agreement = create_release_agreement(self.directory)
        self.outcomes = OutcomeCounts()
        self.liveness = create_peer_liveness()
        self.handovers = create_handover_queue()
        self._successors: dict[SlotName, InstanceId] = {}

    def log(
        self,
        packet: PacketContext,
        reason: RouteReason | DropReason | RefusalReason,
        target: UpstreamId | InstanceId | None,
    ) -> LogRoute:
        """Build the log action for a decision on a packet."""
        return self.log_flow(reason, packet.route.id, packet.flow, packet.slot.slot, target)

    def log_flow(
        self,
        reason: RouteReason | DropReason | RefusalReason,
        service: ServiceId | None,
        flow: FlowKey | None,
        slot: SlotIndex | None,
        target: UpstreamId | InstanceId | None,
    ) -> LogRoute:
        """Build the log action for a decision."""
        return LogRoute(reason, service, flow, slot, self.view.version, target)

    def handle_home_change(self) -> None:
        """Update all state that depends on homes after the set of possible homes changed.

        Queues the records of slots with several candidates for the new successors of those slots
        whose home is this instance.
        """
        self.take_over.handle_home_change(self.directory.is_home)
        self.grant_owner.retain_owned(self._owns)
        self.agreement.clear_postponed()
        for slots in self.view.built_slots():
            for slot in slots.changed():
                self._queue_for_new_successor(slots, slots.name(slot))

    def queue_for_successor(self, record: FlowRecord) -> None:
        """Queue a record for the successor of its slot if this instance is the slot's home."""
        route = self.view.find_service(record.service)
        if route is None or route.slots is None:
            return
        homes = self.directory.homes_of(route.slots.name(route.slots.slot_of(record.flow)))
        if len(homes) > 1 and homes[0] == self.own:
            self.hints.add(homes[1], record, Priority.HANDOVER)

    def _queue_for_new_successor(self, slots: ServiceSlots, name: SlotName) -> None:
        homes = self.directory.homes_of(name)
        if len(homes) < 2 or homes[0] != self.own:
            self._successors.pop(name, None)
            return
        if self._successors.get(name) == homes[1]:
            return
        self._successors[name] = homes[1]
        base = slots.base_name(name.slot)
        for record in self.records.records_of(name, base, MAX_RECORDS_PER_SLOT):
            self.hints.add(homes[1], record, Priority.HANDOVER)

    def find_owner(self, upstream_id: UpstreamId) -> InstanceId | None:
        """Return the owner of an upstream, or ``None`` if it has none or is not listed."""
        upstream = self.view.find_upstream(upstream_id)
        if upstream is None:
            return None
        return self.directory.owner_of(upstream.id, upstream.domain)

    def _owns(self, upstream_id: UpstreamId) -> bool:
        return self.find_owner(upstream_id) == self.own

    def has_live_older_flow(self, slot: SlotName) -> bool:
        """Return whether a slot has a live flow on an upstream other than its newest one."""
        route = self.view.find_service(slot.service)
        if route is None or route.slots is None:
            return False
        newest = route.slots.newest(slot.slot)
        return self.records.has_other_records(slot, newest)

    def decide_grant(self, holder: InstanceId, request: GrantRequest, now: float) -> Grant:
        """Answer a request for openings, with zero openings unless this instance is the owner."""
        refusal = Grant(request.request, request.upstream, 0, MIN_RETRY_DELAY_S)
        upstream = self.view.find_upstream(request.upstream)
        condition = self.view.conditions.get(request.upstream)
        if upstream is None or condition is None or self.view.is_stale:
            return refusal
        if not self._owns(upstream.id):
            self.grant_owner.end_ownership(upstream.id)
            return refusal
        openings = self.grant_owner.request(upstream, condition, holder, request.openings, now)
        if openings == 0:
            wait_s = self.grant_owner.retry_after_s(upstream.id, now)
            return Grant(request.request, request.upstream, 0, wait_s)
        return Grant(request.request, request.upstream, openings, self.grant_owner.lease_s)

    def build_release_notice(self, peer: InstanceId, releases: SlotReleases) -> list[PacketAction]:
        """Build the message that sends releases to a peer; none if the peer is this instance."""
        if peer == self.own:
            return []
        return [SendToPeer(peer, releases, Priority.HANDOVER)]


Actions = list[PacketAction]
"""Actions that the driver carries out for a decision."""
