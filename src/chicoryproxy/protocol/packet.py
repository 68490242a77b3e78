"""Parser of inner packets, which reads header fields at fixed offsets.

The fast path reads only the flow key, the destination and the TCP flags. ``parse_packet`` returns
a ``DropReason`` as a sentinel instead of a header if the packet must not be forwarded.
"""

import ipaddress
import struct

import xxhash
from msgspec import Struct

from chicoryproxy.ids import FlowKey
from chicoryproxy.states import DropReason, Protocol

IPV4_HEADER_BYTES = 20
IPV6_HEADER_BYTES = 40
TCP_HEADER_BYTES = 20
UDP_HEADER_BYTES = 8
FRAGMENT_MASK = 0x3FFF

FLAG_FIN = 0x01
FLAG_SYN = 0x02
FLAG_RST = 0x04
FLAG_ACK = 0x10

TCP = int(Protocol.TCP)
UDP = int(Protocol.UDP)

_PROTOCOL_BYTES = {TCP: bytes((TCP,)), UDP: bytes((UDP,))}
_TCP_BYTE = _PROTOCOL_BYTES[TCP]
_IPV4_WITHOUT_OPTIONS = 0x45
_IPV4_TCP_HEADERS_BYTES = IPV4_HEADER_BYTES + TCP_HEADER_BYTES
_unpack_ipv4_tcp = struct.Struct("!2xH2xHxB2x4s4s2s2s8xBB").unpack_from


class PacketHeader(Struct, frozen=True, gc=False):
    """The header fields that routing decisions depend on.

    :ivar target: destination as the bytes of protocol, address and port, which is the key of the
        service table.
    :ivar source: source in the same form.
    :ivar flags: TCP flags; zero for UDP.
    :ivar has_data: whether the transport payload is non-empty.
    :ivar transport_offset: offset of the transport header in bytes.
    """

    target: bytes
    source: bytes
    flags: int
    has_data: bool
    protocol: int
    transport_offset: int

    @property
    def is_opening(self) -> bool:
        """True for a TCP SYN without ACK."""
        return self.flags & (FLAG_SYN | FLAG_ACK) == FLAG_SYN


def parse_packet(data: bytes) -> PacketHeader | DropReason:
    """Parse the headers of an IPv4 or IPv6 packet.

    TCP in IPv4 without options is unpacked in one step; the generic parser handles the rest.

    :param data: the complete inner packet.
    :returns: the header fields, or the reason to drop the packet.
    """
    size = len(data)
    if size >= _IPV4_TCP_HEADERS_BYTES and data[0] == _IPV4_WITHOUT_OPTIONS:
        total, fragment, protocol, source, target, source_port, target_port, data_offset, flags = (
            _unpack_ipv4_tcp(data)
        )
        payload_offset = IPV4_HEADER_BYTES + (data_offset >> 4) * 4
        is_whole = total == size and not fragment & FRAGMENT_MASK
        if protocol == TCP and is_whole and _IPV4_TCP_HEADERS_BYTES <= payload_offset <= size:
            return PacketHeader(
                _TCP_BYTE + target + target_port,
                _TCP_BYTE + source + source_port,
                flags,
                payload_offset < size,
                TCP,
                IPV4_HEADER_BYTES,
            )
    return _parse_generic(data, size)


def _parse_generic(data: bytes, size: int) -> PacketHeader | DropReason:
    """Parse any packet field by field."""
    if size < IPV4_HEADER_BYTES:
        return DropReason.TRUNCATED
    ip_version = data[0] >> 4
    if ip_version == 4:
        return _parse_ipv4(data, size)
    if ip_version == 6:
        return _parse_ipv6(data, size)
    return DropReason.FOREIGN


def _parse_ipv4(data: bytes, size: int) -> PacketHeader | DropReason:
    header_bytes = (data[0] & 0x0F) * 4
    if header_bytes < IPV4_HEADER_BYTES:
        return DropReason.FOREIGN
    if (data[2] << 8 | data[3]) != size:
        return DropReason.TRUNCATED
    if (data[6] << 8 | data[7]) & FRAGMENT_MASK:
        return DropReason.FRAGMENT
    return _parse_transport(data, size, header_bytes, data[9], data[12:16], data[16:20])


def _parse_ipv6(data: bytes, size: int) -> PacketHeader | DropReason:
    if size < IPV6_HEADER_BYTES or (data[4] << 8 | data[5]) + IPV6_HEADER_BYTES != size:
        return DropReason.TRUNCATED
    protocol = data[6]
    if protocol == 44:
        return DropReason.FRAGMENT
    return _parse_transport(data, size, IPV6_HEADER_BYTES, protocol, data[8:24], data[24:40])


def _parse_transport(
    data: bytes, size: int, offset: int, protocol: int, source: bytes, target: bytes
) -> PacketHeader | DropReason:
    if protocol == TCP:
        if size < offset + TCP_HEADER_BYTES:
            return DropReason.TRUNCATED
        flags = data[offset + 13]
        payload_offset = offset + (data[offset + 12] >> 4) * 4
        if payload_offset < offset + TCP_HEADER_BYTES or payload_offset > size:
            return DropReason.TRUNCATED
    elif protocol == UDP:
        if size < offset + UDP_HEADER_BYTES:
            return DropReason.TRUNCATED
        flags = 0
        payload_offset = offset + UDP_HEADER_BYTES
    else:
        return DropReason.FOREIGN
    number = _PROTOCOL_BYTES[protocol]
    source_key = number + source + data[offset : offset + 2]
    target_key = number + target + data[offset + 2 : offset + 4]
    return PacketHeader(target_key, source_key, flags, payload_offset < size, protocol, offset)


def hash_flow(head: PacketHeader) -> FlowKey:
    """Return the flow key of a packet from the caller to the service."""
    return FlowKey(xxhash.xxh3_64_intdigest(head.source + head.target))


def hash_returned_flow(head: PacketHeader) -> FlowKey:
    """Return the flow key of a packet from the service to the caller."""
    return FlowKey(xxhash.xxh3_64_intdigest(head.target + head.source))


def pack_address(protocol: Protocol, host: str, port: int) -> bytes:
    """Return a service address in the form of ``PacketHeader.target``."""
    return bytes((protocol,)) + ipaddress.ip_address(host).packed + struct.pack("!H", port)
