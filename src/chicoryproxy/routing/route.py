"""One service as the packet core sees it."""

from collections.abc import Mapping, Sequence

from msgspec import Struct

from chicoryproxy.ids import FlowKey, InstanceId, ServiceId, UpstreamId
from chicoryproxy.model import Endpoint, Service, Upstream
from chicoryproxy.protocol.messages import FlowRecord, SlotName
from chicoryproxy.protocol.packet import PacketHead
from chicoryproxy.routing.slots import ServiceSlots
from chicoryproxy.states import Protocol


class ServiceRoute:
    """A service with its upstreams by name and by address, and its slots.

    :ivar slots: ``None`` until the first packet, so that services without packets cost nothing.
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
        """Take a newer definition of the same service."""
        self.service = service
        self.upstreams: Mapping[UpstreamId, Upstream] = {
            item.id: item for item in service.upstreams
        }
        self._by_address: Mapping[Endpoint, UpstreamId] = {
            item.address: item.id for item in service.upstreams
        }

    def find_upstream_at(self, source: Sequence[object]) -> UpstreamId | None:
        """Return the upstream that a returned packet came from.

        :param source: host and port of the outer source.
        """
        return self._by_address.get(Endpoint(str(source[0]), int(str(source[1]))))


class PacketContext(Struct, frozen=True):
    """A packet from a caller with what was read of it.

    :param sender: the peer that passed it; ``None`` when it came from the fabric.
    """

    data: bytes
    head: PacketHead
    flow: FlowKey
    route: ServiceRoute
    slots: ServiceSlots
    slot: SlotName
    sender: InstanceId | None

    def make_record(self, upstream: UpstreamId) -> FlowRecord:
        """Return the record that places this packet's flow on an upstream."""
        return FlowRecord(self.flow, self.route.id, upstream)
