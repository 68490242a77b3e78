"""The name of a flow as operators write it, such as ``tcp 10.0.0.1:1024 198.51.100.1:443``."""

from enum import Enum, unique

import xxhash
from msgspec import Struct

from chicoryproxy.address import AddressFault, format_endpoint, parse_endpoint
from chicoryproxy.ids import FlowKey
from chicoryproxy.model import Endpoint
from chicoryproxy.protocol.packet import pack_address
from chicoryproxy.states import Protocol

_PART_COUNT = 3
_PROTOCOLS = {protocol.name.lower(): protocol for protocol in Protocol}


@unique
class FlowNameFault(Enum):
    """Why a text names no flow."""

    PARTS = "write PROTOCOL CALLER SERVICE, such as tcp 10.0.0.1:1024 198.51.100.1:443"
    PROTOCOL = "the protocol is tcp or udp"
    SOURCE = "the caller is an IP number with a port, such as 10.0.0.1:1024"
    TARGET = "the service is an IP number with a port, such as 198.51.100.1:443"
    FAMILIES = "caller and service are both IPv4 or both IPv6"


class FlowName(Struct, frozen=True):
    """A flow in the direction from caller to service.

    :param source: the caller's end.
    :param target: the address of the service.
    """

    protocol: Protocol
    source: Endpoint
    target: Endpoint

    def __str__(self) -> str:
        ends = f"{format_endpoint(self.source)} {format_endpoint(self.target)}"
        return f"{self.protocol.name.lower()} {ends}"

    def pack_target(self) -> bytes:
        """Return the service's end as the key of the service table."""
        return pack_address(self.protocol, self.target.host, self.target.port)

    def hash(self) -> FlowKey:
        """Return the key that packets of the flow give."""
        source = pack_address(self.protocol, self.source.host, self.source.port)
        return FlowKey(xxhash.xxh3_64_intdigest(source + self.pack_target()))


def parse_flow(text: str) -> FlowName | FlowNameFault:
    """Return the flow that a text names, or what is wrong with the text."""
    parts = text.split()
    if len(parts) != _PART_COUNT:
        return FlowNameFault.PARTS
    protocol = _PROTOCOLS.get(parts[0].lower())
    if protocol is None:
        return FlowNameFault.PROTOCOL
    source = parse_endpoint(parts[1])
    if isinstance(source, AddressFault):
        return FlowNameFault.SOURCE
    target = parse_endpoint(parts[2])
    if isinstance(target, AddressFault):
        return FlowNameFault.TARGET
    if (":" in source.host) != (":" in target.host):
        return FlowNameFault.FAMILIES
    return FlowName(protocol, source, target)
