"""Tests of the packet parser."""

from ipaddress import ip_address

import dpkt
import pytest

from chicoryproxy.protocol.packet import (
    PacketHeader,
    hash_flow,
    hash_returned_flow,
    pack_address,
    parse_packet,
)
from chicoryproxy.states import DropReason, Protocol


def build_packet(source="192.0.2.1", target="198.51.100.1", flags=dpkt.tcp.TH_SYN, data=b""):
    """Build an IPv4 packet with a TCP segment."""
    segment = dpkt.tcp.TCP(sport=4000, dport=443, flags=flags, data=data)
    packet = dpkt.ip.IP(
        src=ip_address(source).packed,
        dst=ip_address(target).packed,
        p=6,
        data=segment,
    )
    packet.len = len(packet)
    return bytes(packet)


def test_opening():
    head = parse_packet(build_packet())
    assert head.is_opening
    assert not head.has_data
    assert head.target == pack_address(Protocol.TCP, "198.51.100.1", 443)


def test_both_directions_have_the_same_flow_key():
    request = parse_packet(build_packet())
    response = dpkt.ip.IP(
        src=ip_address("198.51.100.1").packed,
        dst=ip_address("192.0.2.1").packed,
        p=6,
        data=dpkt.tcp.TCP(sport=443, dport=4000, flags=dpkt.tcp.TH_SYN | dpkt.tcp.TH_ACK),
    )
    response.len = len(response)
    assert hash_flow(request) == hash_returned_flow(parse_packet(bytes(response)))


@pytest.mark.parametrize("length", [0, 1, 19, 20, 33, 39])
def test_truncated_packet_is_dropped(length):
    assert parse_packet(build_packet()[:length]) is DropReason.TRUNCATED


def test_fragment_is_dropped():
    data = bytearray(build_packet())
    data[6] = 0x20
    assert parse_packet(bytes(data)) is DropReason.FRAGMENT


def test_other_protocol_is_foreign():
    data = bytearray(build_packet())
    data[9] = 1
    assert parse_packet(bytes(data)) is DropReason.FOREIGN


def test_ip_options_change_only_the_transport_offset():
    plain = build_packet(flags=dpkt.tcp.TH_PUSH | dpkt.tcp.TH_ACK, data=b"body")
    options = b"\x01" * 4
    with_options = bytearray(plain[:20] + options + plain[20:])
    with_options[0] = 0x46
    with_options[2:4] = len(with_options).to_bytes(2)
    expected = parse_packet(plain)
    assert parse_packet(bytes(with_options)) == PacketHeader(
        expected.target, expected.source, expected.flags, True, 6, 24
    )


@pytest.mark.parametrize("words", [0x40, 0xF0])
def test_invalid_tcp_header_length_is_dropped(words):
    data = bytearray(build_packet(data=b"body"))
    data[32] = words
    assert parse_packet(bytes(data)) is DropReason.TRUNCATED


def test_trailing_bytes_are_dropped():
    assert parse_packet(build_packet() + b"x") is DropReason.TRUNCATED
