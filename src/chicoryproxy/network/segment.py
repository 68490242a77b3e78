"""Builder and parser of TCP segments in IPv4 packets, for simulated callers and upstreams."""

import socket

import dpkt
from msgspec import Struct

from chicoryproxy.protocol.packet import TCP

WINDOW_BYTES = 65_535
SEQUENCE_MASK = (1 << 32) - 1


class TcpEndpoint(Struct, frozen=True, order=True):
    """One endpoint of a TCP connection."""

    host: str
    port: int


class Segment(Struct, frozen=True):
    """A TCP segment with its endpoints.

    :param sequence: sequence number of the first payload byte.
    :param acknowledged: acknowledgment number, the next sequence number that the sender expects.
    """

    source: TcpEndpoint
    target: TcpEndpoint
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    payload: bytes = b""


def build_packet(segment: Segment) -> bytes:
    """Encode a segment as an IPv4 packet with checksums."""
    tcp = dpkt.tcp.TCP(
        sport=segment.source.port,
        dport=segment.target.port,
        seq=segment.sequence & SEQUENCE_MASK,
        ack=segment.acknowledged & SEQUENCE_MASK,
        flags=segment.flags,
        win=WINDOW_BYTES,
        data=segment.payload,
    )
    packet = dpkt.ip.IP(
        src=socket.inet_aton(segment.source.host),
        dst=socket.inet_aton(segment.target.host),
        p=TCP,
        ttl=64,
        data=tcp,
    )
    packet.len = len(packet)
    return bytes(packet)


def read_segment(packet: bytes) -> Segment | None:
    """Parse the TCP segment of an IPv4 packet.

    :returns: ``None`` if the data is not an IPv4 packet with a TCP segment.
    """
    try:
        ip = dpkt.ip.IP(packet)
    except dpkt.UnpackError:
        return None
    tcp = ip.data
    if not isinstance(tcp, dpkt.tcp.TCP):
        return None
    return Segment(
        TcpEndpoint(socket.inet_ntoa(ip.src), tcp.sport),
        TcpEndpoint(socket.inet_ntoa(ip.dst), tcp.dport),
        tcp.flags,
        tcp.seq,
        tcp.ack,
        bytes(tcp.data),
    )
