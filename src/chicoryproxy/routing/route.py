"""A service as the packet core routes to it, and a parsed packet."""

from collections.abc import Mapping, Sequence

from msgspec import Struct

from chicoryproxy.ids import FlowKey, InstanceId, ServiceId, UpstreamId
from chicoryproxy.model import Endpoint, Service, Upstream
from chicoryproxy.protocol.messages import FlowRecord, SlotName
from chicoryproxy.protocol.packet import PacketHeader
from chicoryproxy.routing.slots import ServiceSlots
from chicoryproxy.states import Protocol


class ServiceRoute:
    """A service with its slots, and with its upstreams by id and by address.

    :ivar slots: ``None`` until the first packet, so that unused services take no memory for them.
    """

    def __init__(self, service: Service) -> None:
        self.slots: ServiceSlots | None = None
        self.update_service(service)

    @property
    def id(self) -> ServiceId:
        """Id of the service."""
        return self.service.id

    @property
    def has_datagrams(self) -> bool:
        """Whether the service has flows without an opening packet."""
        return any(item.protocol is Protocol.UDP for item in self.service.addresses)

    def update_service(self, service: Service) -> None:
        """Apply a newer definition of the same service."""
        self.service = service
        self.upstreams: Mapping[UpstreamId, Upstream] = {
            item.id: item for item in service.upstreams
        }
        self._by_address: Mapping[Endpoint, UpstreamId] = {
            item.address: item.id for item in service.upstreams
        }

    def find_upstream_at(self, source: Sequence[object]) -> UpstreamId | None:
        """Return the upstream with an address, or ``None`` if the service has no such upstream.

        :param source: host and port of the outer source of a returned packet.
        """
        return self._by_address.get(Endpoint(str(source[0]), int(str(source[1]))))


class PacketContext(Struct, frozen=True):
    """A packet from a caller with its parsed headers, service and slot.

    :param sender: the peer that passed it, or ``None`` if it came from the fabric; the id of this
        instance if it came from the fabric and is forwarded later.
    """

    data: bytes
    head: PacketHeader
    flow: FlowKey
    route: ServiceRoute
    slots: ServiceSlots
    slot: SlotName
    sender: InstanceId | None

    def make_record(self, upstream: UpstreamId) -> FlowRecord:
        """Create the record of this packet's flow on an upstream."""
        return FlowRecord(self.flow, self.route.id, upstream)
