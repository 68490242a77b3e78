"""Baseline packet cores: stateless hashing, and connection tracking local to each entry.

Both implement the part of the ``router.PacketCore`` interface that drivers use, accept the same
views and use the same placement tables. They send no messages, never queue an opening and create
no TCP resets.
"""

from collections.abc import Sequence

from chicoryproxy.ids import NO_VERSION, FlowKey, InstanceId, ServiceId, UpstreamId
from chicoryproxy.model import Generation, Service
from chicoryproxy.protocol.actions import Drop, Forward, PacketAction, Return
from chicoryproxy.protocol.messages import EntryMessage, EntryReport, ViewUpdate
from chicoryproxy.protocol.packet import PacketHeader, hash_flow, pack_address, parse_packet
from chicoryproxy.routing.egress import EgressPolicy, create_egress_policy
from chicoryproxy.routing.placement import PlacementTable, create_table
from chicoryproxy.routing.slots import ServiceSlots
from chicoryproxy.states import DomainState, DropReason

_RETURN = (Return(),)


class ServiceTable:
    """A service and the placement table of its newest generation."""

    def __init__(self, service: Service, table: PlacementTable) -> None:
        self.id: ServiceId = service.id
        self.table = table


class HashingCore:
    """Sends each packet to the upstream that the newest generation assigns to its flow."""

    def __init__(self) -> None:
        self._version = NO_VERSION
        self._services: dict[bytes, ServiceTable] = {}
        self._egress_policy: EgressPolicy | None = None

    def receive_packet(
        self, data: bytes, source: Sequence[object], now: float
    ) -> Sequence[PacketAction]:
        """Forward a caller's packet to an upstream, or an upstream's packet to its caller."""
        header = parse_packet(data)
        if isinstance(header, DropReason):
            return (Drop(header),)
        service = self._services.get(header.target)
        if service is None:
            return (
                _RETURN if header.source in self._services else (Drop(DropReason.UNKNOWN_SERVICE),)
            )
        action = self._forward(header, hash_flow(header), service)
        return (Drop(DropReason.NOT_LISTED),) if action is None else (action,)

    def update_view(self, update: ViewUpdate, now: float) -> Sequence[PacketAction]:
        """Rebuild the placement tables if the view has a newer configuration."""
        configuration = update.configuration
        if configuration.version <= self._version:
            return ()
        self._version = configuration.version
        self._egress_policy = create_egress_policy(configuration)
        domains_in = {
            domain.id for domain in configuration.domains if domain.state is DomainState.IN
        }
        self._services = {}
        for service in configuration.services:
            members = tuple(
                item
                for item in service.upstreams
                if item.domain in domains_in and not item.draining
            )
            table = create_table(Generation(service.id, configuration.version, members))
            for address in service.addresses:
                key = pack_address(address.protocol, address.host, address.port)
                self._services[key] = ServiceTable(service, table)
        return ()

    def receive_message(
        self, sender: InstanceId, message: EntryMessage, now: float
    ) -> Sequence[PacketAction]:
        """Ignore messages of other entries."""
        return ()

    def tick(self, now: float) -> Sequence[PacketAction]:
        """Do nothing: the baselines have no timers."""
        return ()

    def begin_leaving(self, now: float) -> Sequence[PacketAction]:
        """Do nothing: the baselines don't announce that they leave."""
        return ()

    def may_stop(self, now: float) -> bool:
        """Return true: no flow has to be handed over first."""
        return True

    def built_slots(self) -> list[ServiceSlots]:
        """Return an empty list: the baselines keep no slot state."""
        return []

    def collect_report(self) -> EntryReport:
        """Return an empty report."""
        return EntryReport()

    def _forward(
        self, header: PacketHeader, flow: FlowKey, service: ServiceTable
    ) -> Forward | None:
        upstream = service.table.find(flow)
        return None if upstream is None else self._check_egress(service, upstream.id)

    def _check_egress(self, service: ServiceTable, upstream: UpstreamId) -> Forward | None:
        allowed = self._egress_policy.check(service.id, upstream) if self._egress_policy else None
        return allowed[0] if isinstance(allowed, tuple) else None


class TrackingCore(HashingCore):
    """Keeps each flow on the upstream chosen for its first packet at this entry."""

    def __init__(self) -> None:
        super().__init__()
        self._flows: dict[FlowKey, UpstreamId] = {}

    def _forward(
        self, header: PacketHeader, flow: FlowKey, service: ServiceTable
    ) -> Forward | None:
        tracked = self._flows.get(flow)
        if tracked is not None:
            allowed = self._check_egress(service, tracked)
            if allowed is not None:
                return allowed
        action = super()._forward(header, flow, service)
        if action is not None:
            self._flows[flow] = action.upstream
        return action
