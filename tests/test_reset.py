"""Tests of the packets that refuse a flow."""

import ipaddress
import struct

import dpkt
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryproxy.routing.reset import ResetProblem, create_reset

ACK = dpkt.tcp.TH_ACK
SYN = dpkt.tcp.TH_SYN
FIN = dpkt.tcp.TH_FIN
RST = dpkt.tcp.TH_RST
CALLER = {4: "10.0.0.1", 6: "2001:db8::1"}
SERVICE = {4: "10.0.0.2", 6: "2001:db8::2"}


def wrap(kind, protocol, body, source=None):
    src = ipaddress.ip_address(source or CALLER[kind]).packed
    dst = ipaddress.ip_address(SERVICE[kind]).packed
    if kind == 4:
        packet = dpkt.ip.IP(src=src, dst=dst, p=protocol, data=body)
        packet.len = len(packet)
        return bytes(packet)
    packet = dpkt.ip6.IP6(src=src, dst=dst, nxt=protocol, plen=len(body), hlim=9, data=body)
    packet.extension_hdrs = {}
    return bytes(packet)


def make_tcp(kind, flags, data=b"", source=None):
    body = dpkt.tcp.TCP(sport=4000, dport=80, seq=2**32 - 1, ack=777, flags=flags, data=data)
    return wrap(kind, dpkt.ip.IP_PROTO_TCP, body, source)


def make_udp(kind, data=b"hello"):
    body = dpkt.udp.UDP(sport=4000, dport=80, ulen=8 + len(data), data=data)
    return wrap(kind, dpkt.ip.IP_PROTO_UDP, body)


def sum_words(data):
    words = struct.unpack(f"!{(len(data) + 1) // 2}H", data + b"\0" * (len(data) % 2))
    total = sum(words)
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return total


def check_packet(kind, packet, protocol):
    """Check addresses, lengths and checksums; return the transport-layer packet."""
    if kind == 4:
        assert sum_words(packet[:20]) == 0xFFFF
        assert int.from_bytes(packet[2:4], "big") == len(packet)
        assert packet[9] == protocol
        addresses, body = packet[12:20], packet[20:]
    else:
        assert int.from_bytes(packet[4:6], "big") + 40 == len(packet)
        assert packet[6] == protocol
        addresses, body = packet[8:40], packet[40:]
    half = len(addresses) // 2
    assert addresses[:half] == ipaddress.ip_address(SERVICE[kind]).packed
    assert addresses[half:] == ipaddress.ip_address(CALLER[kind]).packed
    pseudo = addresses + struct.pack("!IHH", len(body), 0, protocol)
    covered = body if protocol == dpkt.ip.IP_PROTO_ICMP else pseudo + body
    assert sum_words(covered) == 0xFFFF
    return body


@pytest.mark.parametrize("kind", [4, 6])
@pytest.mark.parametrize(
    ("flags", "data", "expected"),
    [
        (SYN, b"", (0, 0, RST | ACK)),
        (SYN, b"early", (0, 5, RST | ACK)),
        (FIN, b"", (0, 0, RST | ACK)),
        (0, b"abc", (0, 2, RST | ACK)),
        (ACK, b"abc", (777, 0, RST)),
        (SYN | ACK, b"", (777, 0, RST)),
    ],
)
def test_a_reset_is_acceptable_to_the_caller(kind, flags, data, expected):
    body = check_packet(kind, create_reset(make_tcp(kind, flags, data)), dpkt.ip.IP_PROTO_TCP)
    tcp = dpkt.tcp.TCP(body)
    assert (tcp.sport, tcp.dport) == (80, 4000)
    assert (tcp.seq, tcp.ack, tcp.flags) == expected


@pytest.mark.parametrize(("kind", "protocol", "start"), [(4, 1, b"\3\3"), (6, 58, b"\1\4")])
def test_a_datagram_gets_a_port_unreachable_that_quotes_it(kind, protocol, start):
    packet = make_udp(kind)
    body = check_packet(kind, create_reset(packet), protocol)
    assert body[:2] == start
    assert body[8:] == packet


@pytest.mark.parametrize(("kind", "limit"), [(4, 576), (6, 1280)])
def test_a_long_datagram_is_quoted_in_part(kind, limit):
    assert len(create_reset(make_udp(kind, b"x" * 1400))) == limit


@pytest.mark.parametrize("kind", [4, 6])
def test_a_reset_is_never_answered(kind):
    assert create_reset(make_tcp(kind, RST)) is ResetProblem.IS_RESET


@pytest.mark.parametrize(("kind", "source"), [(4, "224.0.0.1"), (6, "ff02::1")])
def test_a_multicast_source_gets_no_answer(kind, source):
    assert create_reset(make_tcp(kind, SYN, source=source)) is ResetProblem.NOT_UNICAST


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.sampled_from([make_tcp(4, SYN), make_tcp(6, ACK), make_udp(4), make_udp(6)]),
    st.lists(st.tuples(st.integers(0, 60), st.integers(0, 255)), max_size=4),
    st.integers(0, 90),
)
def test_damaged_packets_raise_nothing(packet, changes, size):
    damaged = bytearray(packet)
    for at, value in changes:
        if at < len(damaged):
            damaged[at] = value
    assert isinstance(create_reset(bytes(damaged[:size])), bytes | ResetProblem)
    assert isinstance(create_reset(bytes(damaged)), bytes | ResetProblem)
