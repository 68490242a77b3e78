"""Packet cores to compare with: plain hashing, and tracking of connections by each entry alone.

Both have the interface of ``router.PacketCore`` as far as drivers use it, take the same views and
place by the same tables. They send no messages, hold no opening back and build no reset.
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
    """A service with the table of its newest set of upstreams."""

    def __init__(self, service: Service, table: PlacementTable) -> None:
        self.id: ServiceId = service.id
        self.table = table


class HashingCore:
    """Sends each packet to the upstream that the newest set gives its flow."""

    def __init__(self) -> None:
        self._version = NO_VERSION
        self._services: dict[bytes, ServiceTable] = {}
        self._egress_policy: EgressPolicy | None = None

    def receive_packet(
        self, data: bytes, source: Sequence[object], now: float
    ) -> Sequence[PacketAction]:
        """Forward a packet of a caller, return one of an upstream."""
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
        """Take a new view."""
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
        """Take no message."""
        return ()

    def tick(self, now: float) -> Sequence[PacketAction]:
        """Do nothing."""
        return ()

    def begin_leaving(self, now: float) -> Sequence[PacketAction]:
        """Do nothing: there is nobody to tell."""
        return ()

    def may_stop(self, now: float) -> bool:
        """Return true."""
        return True

    def built_slots(self) -> list[ServiceSlots]:
        """Return no slots."""
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
    """Keeps each flow that this entry saw on the upstream of its first packet here."""

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
