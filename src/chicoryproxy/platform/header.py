"""Codec of the packet header that the platform's flows use.

The header is little-endian, 31 bytes long, and precedes the payload of each packet.
"""

import struct

from chicoryproxy.forwarding.model import FlowId, Mark
from chicoryproxy.forwarding.packet import CallerPacket
from chicoryproxy.forwarding.peers.hosts import format_host

HEADER_BYTES = 31
MARK_OFFSET = 26
MARK_END = 30
FLOW_OFFSET = 8
FLOW_END = 20

FLAG_ACK = 1
FLAG_SYN = 2
FLAG_FIN = 4
FLAG_RST = 64
_SYN_ACK = FLAG_SYN | FLAG_ACK
"""Only servers send both flags; such a packet must not be forwarded to another server."""

REQUEST_ID_HEADER = b"X-Request-Id: "
MAX_REQUEST_ID_BYTES = 128

# seq, ack, src, dst, dport, sport, len, sum, echo, flags
_HEADER = struct.Struct("<IIIIHHHIIB")
# src, dst, dport, sport
_FLOW = struct.Struct("<IIHH")


def read_packet(data: bytes) -> CallerPacket | None:
    """Decode the header of a datagram from a caller.

    :returns: ``None`` if the datagram isn't a valid packet from a caller.
    """
    if len(data) < HEADER_BYTES:
        return None
    sequence, acknowledged, _, host, port, _, size, _, mark, flags = _HEADER.unpack_from(data)
    if len(data) != HEADER_BYTES + size or flags & _SYN_ACK == _SYN_ACK:
        return None
    return CallerPacket(
        data,
        FlowId(data[FLOW_OFFSET:FLOW_END]),
        host,
        port,
        Mark(mark),
        sequence,
        acknowledged,
        size,
        bool(flags & FLAG_SYN),
        bool(flags & FLAG_FIN),
        bool(flags & FLAG_RST),
    )


def write_mark(data: bytes, mark: bytes) -> bytes:
    """Return a copy of a packet with another mark; no other byte changes."""
    return data[:MARK_OFFSET] + mark + data[MARK_END:]


def create_reset(flow: FlowId, acknowledged: int) -> bytes:
    """Build a reset packet from the destination of a flow to its caller.

    :param acknowledged: offset up to which the caller has received the response. It becomes the
        sequence number; the caller ignores a reset whose number is far from it.
    """
    source, host, port, source_port = _FLOW.unpack(flow)
    return _HEADER.pack(acknowledged, 0, host, source, source_port, port, 0, 0, 0, FLAG_RST)


def get_caller_host(flow: FlowId) -> str:
    """Return the IPv4 address of the caller in text form."""
    source, *_ = _FLOW.unpack(flow)
    return format_host(source)


def describe_flow(flow: FlowId) -> str:
    """Format the endpoints of a flow as ``caller:port>destination:port``."""
    source, host, port, source_port = _FLOW.unpack(flow)
    return f"{format_host(source)}:{source_port}>{format_host(host)}:{port}"


def read_request_id(data: bytes) -> str:
    """Return the value of the first ``X-Request-Id`` header in a packet.

    :returns: an empty string if there is none, or if it continues in the next packet.
    """
    start = data.find(REQUEST_ID_HEADER, HEADER_BYTES)
    if start < 0:
        return ""
    start += len(REQUEST_ID_HEADER)
    end = data.find(b"\r\n", start, start + MAX_REQUEST_ID_BYTES)
    return data[start:end].decode("ascii", "replace") if end > 0 else ""
