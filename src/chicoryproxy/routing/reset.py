"""Builds the packets that refuse a flow.

TCP flows get a reset according to RFC 9293, section 3.10.7.1. UDP flows get an ICMP port
unreachable message according to RFC 792 and RFC 4443.
"""

from enum import Enum, unique

import dpkt

from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_RST, parse_packet
from chicoryproxy.states import DropReason, Protocol

HOP_LIMIT = 64
SEQUENCE_MASK = 0xFFFF_FFFF
MAX_ICMP4_QUOTE_BYTES = 548
MAX_ICMP6_QUOTE_BYTES = 1232
ICMP6_UNREACHABLE_PORT = 4


@unique
class ResetProblem(Enum):
    """Why a packet is not answered with a refusal."""

    UNREADABLE = "unreadable"
    IS_RESET = "is_reset"
    NOT_UNICAST = "not_unicast"


def create_reset(packet: bytes) -> bytes | ResetProblem:
    """Build the packet that refuses a flow, sent from the packet's destination to its source.

    The sequence number of a reset is the acknowledgement number of the packet. If the packet has
    none, the reset acknowledges the whole segment, so that the caller accepts it.

    :param packet: inner packet from caller to service.
    :returns: the inner packet for the caller, or the reason why none may be sent.
    """
    head = parse_packet(packet)
    if isinstance(head, DropReason):
        return ResetProblem.UNREADABLE
    if head.flags & FLAG_RST:
        return ResetProblem.IS_RESET
    try:
        return _build_refusal(packet, head.protocol)
    except (dpkt.Error, ValueError):
        return ResetProblem.UNREADABLE


def _build_refusal(packet: bytes, protocol: int) -> bytes | ResetProblem:
    if packet[0] >> 4 == 4:
        ip4 = dpkt.ip.IP(packet)
        if _is_multicast4(ip4.src) or _is_multicast4(ip4.dst):
            return ResetProblem.NOT_UNICAST
        if protocol == Protocol.TCP:
            return _build_ipv4(ip4, dpkt.ip.IP_PROTO_TCP, _build_tcp_reset(ip4.data))
        return _build_ipv4(ip4, dpkt.ip.IP_PROTO_ICMP, _build_unreachable4(packet))
    ip6 = dpkt.ip6.IP6(packet)
    if ip6.src[0] == 0xFF or ip6.dst[0] == 0xFF:
        return ResetProblem.NOT_UNICAST
    if protocol == Protocol.TCP:
        return _build_ipv6(ip6, dpkt.ip.IP_PROTO_TCP, _build_tcp_reset(ip6.data))
    return _build_ipv6(ip6, dpkt.ip.IP_PROTO_ICMP6, _build_unreachable6(packet))


def _is_multicast4(address: bytes) -> bool:
    """Return whether an IPv4 address is a multicast, reserved or broadcast address."""
    return address[0] >= 224


def _build_tcp_reset(tcp: "dpkt.tcp.TCP") -> "dpkt.tcp.TCP":
    if tcp.flags & FLAG_ACK:
        sequence, acknowledged, flags = tcp.ack, 0, FLAG_RST
    else:
        length = (
            len(tcp.data) + bool(tcp.flags & dpkt.tcp.TH_SYN) + bool(tcp.flags & dpkt.tcp.TH_FIN)
        )
        sequence, acknowledged = 0, (tcp.seq + length) & SEQUENCE_MASK
        flags = FLAG_RST | FLAG_ACK
    return dpkt.tcp.TCP(
        sport=tcp.dport, dport=tcp.sport, seq=sequence, ack=acknowledged, flags=flags, win=0
    )


def _build_unreachable4(packet: bytes) -> "dpkt.icmp.ICMP":
    return dpkt.icmp.ICMP(
        type=dpkt.icmp.ICMP_UNREACH,
        code=dpkt.icmp.ICMP_UNREACH_PORT,
        data=dpkt.icmp.ICMP.Unreach(data=packet[:MAX_ICMP4_QUOTE_BYTES]),
    )


def _build_unreachable6(packet: bytes) -> "dpkt.icmp6.ICMP6":
    return dpkt.icmp6.ICMP6(
        type=dpkt.icmp6.ICMP6_DST_UNREACH,
        code=ICMP6_UNREACHABLE_PORT,
        data=dpkt.icmp6.ICMP6.Unreach(data=packet[:MAX_ICMP6_QUOTE_BYTES]),
    )


def _build_ipv4(request: "dpkt.ip.IP", protocol: int, body: "dpkt.Packet") -> bytes:
    refusal = dpkt.ip.IP(
        src=request.dst, dst=request.src, p=protocol, ttl=HOP_LIMIT, df=1, data=body
    )
    refusal.len = len(refusal)
    return bytes(refusal)


def _build_ipv6(request: "dpkt.ip6.IP6", protocol: int, body: "dpkt.Packet") -> bytes:
    refusal = dpkt.ip6.IP6(
        src=request.dst,
        dst=request.src,
        nxt=protocol,
        hlim=HOP_LIMIT,
        plen=len(body),
        data=body,
    )
    refusal.extension_hdrs = {}
    return bytes(refusal)
