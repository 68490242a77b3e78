"""Packet of a caller, as decoded by the platform adapter."""

from msgspec import Struct

from chicoryproxy.forwarding.model import FlowId, Mark, RouteKey


class CallerPacket(Struct, gc=False):
    """Header of one packet from a caller.

    :ivar data: the whole packet as the caller sent it.
    :ivar flow: both addresses and ports.
    :ivar host: destination address as an unsigned 32-bit number.
    :ivar port: destination port.
    :ivar mark: the mark that the caller echoes; zero if it has none.
    :ivar sequence: offset of the data in the caller's stream.
    :ivar acknowledged: response offset that the caller has acknowledged; for an opening the number
        of copies sent before.
    :ivar size: bytes of data.
    """

    data: bytes
    flow: FlowId
    host: int
    port: int
    mark: Mark
    sequence: int
    acknowledged: int
    size: int
    is_opening: bool
    is_end: bool
    is_reset: bool

    @property
    def route_key(self) -> RouteKey:
        """Key by which the route is looked up."""
        return RouteKey(self.host, self.port)
