"""Parses and formats flow names such as ``tcp 10.0.0.1:1024 198.51.100.1:443``."""

from enum import Enum, unique

import xxhash
from msgspec import Struct

from chicoryproxy.address import EndpointProblem, format_endpoint, parse_endpoint
from chicoryproxy.ids import FlowKey
from chicoryproxy.model import Endpoint
from chicoryproxy.protocol.packet import pack_address
from chicoryproxy.states import Protocol

_PART_COUNT = 3
_PROTOCOLS = {protocol.name.lower(): protocol for protocol in Protocol}


@unique
class FlowNameFault(Enum):
    """Why a text is not a valid flow name; the values are error messages for operators."""

    PARTS = "expected PROTOCOL CALLER SERVICE, such as tcp 10.0.0.1:1024 198.51.100.1:443"
    PROTOCOL = "the protocol must be tcp or udp"
    SOURCE = "the caller must be an IP address with a port, such as 10.0.0.1:1024"
    TARGET = "the service must be an IP address with a port, such as 198.51.100.1:443"
    FAMILIES = "caller and service must both be IPv4 or both be IPv6"


class FlowName(Struct, frozen=True):
    """The 5-tuple of a flow, in the direction from caller to service.

    :param source: address and port of the caller.
    :param target: address and port of the service.
    """

    protocol: Protocol
    source: Endpoint
    target: Endpoint

    def __str__(self) -> str:
        ends = f"{format_endpoint(self.source)} {format_endpoint(self.target)}"
        return f"{self.protocol.name.lower()} {ends}"

    def pack_target(self) -> bytes:
        """Return the packed target address, which is the key of the service table."""
        return pack_address(self.protocol, self.target.host, self.target.port)

    def hash(self) -> FlowKey:
        """Return the flow key, equal to that computed from packets of the flow."""
        source = pack_address(self.protocol, self.source.host, self.source.port)
        return FlowKey(xxhash.xxh3_64_intdigest(source + self.pack_target()))


def parse_flow(text: str) -> FlowName | FlowNameFault:
    """Parse the name of a flow.

    :returns: the flow, or the reason why the text is not a valid name.
    """
    parts = text.split()
    if len(parts) != _PART_COUNT:
        return FlowNameFault.PARTS
    protocol = _PROTOCOLS.get(parts[0].lower())
    if protocol is None:
        return FlowNameFault.PROTOCOL
    source = parse_endpoint(parts[1])
    if isinstance(source, EndpointProblem):
        return FlowNameFault.SOURCE
    target = parse_endpoint(parts[2])
    if isinstance(target, EndpointProblem):
        return FlowNameFault.TARGET
    if (":" in source.host) != (":" in target.host):
        return FlowNameFault.FAMILIES
    return FlowName(protocol, source, target)
