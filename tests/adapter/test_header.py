"""Packet header codec, checked against the example in the protocol documentation."""

from chicoryproxy.platform.header import (
    HEADER_BYTES,
    create_reset,
    describe_flow,
    get_caller_host,
    read_packet,
    read_request_id,
    write_mark,
)

SYN = bytes.fromhex(
    "44 33 22 11 00 00 00 00 07 00 40 64 01 00 12 c6 bb 01 41 9c 00 00 d5 c3 b2 a1 00 00 00 00 02"
)
RESET = bytes.fromhex(
    "00 00 00 00 00 00 00 00 01 00 12 c6 07 00 40 64 41 9c bb 01 00 00 00 00 00 00 00 00 00 00 40"
)


def test_an_opening_is_read():
    packet = read_packet(SYN)
    assert packet.is_opening
    assert packet.sequence == 0x11223344
    assert (packet.host, packet.port) == (0xC6120001, 443)
    assert describe_flow(packet.flow) == "100.64.0.7:40001>198.18.0.1:443"
    assert get_caller_host(packet.flow) == "100.64.0.7"


def test_a_reset_goes_from_the_destination_to_the_caller():
    assert create_reset(read_packet(SYN).flow, 0) == RESET


def test_only_the_mark_changes():
    marked = write_mark(SYN, b"\x01\x02\x03\x04")
    assert read_packet(marked).mark == 0x04030201
    assert marked[:26] + marked[30:] == SYN[:26] + SYN[30:]


def test_packets_that_no_caller_sends_are_rejected():
    assert read_packet(SYN[:-1]) is None
    assert read_packet(SYN + b"x") is None
    # Only servers send SYN with ACK; such a packet must not be forwarded to another server.
    assert read_packet(SYN[:-1] + b"\x03") is None


def test_the_request_id_is_extracted():
    head = b"GET / HTTP/1.1\r\nX-Request-Id: 0a1b\r\n\r\n"
    assert read_request_id(b"\0" * HEADER_BYTES + head) == "0a1b"
    assert read_request_id(b"\0" * HEADER_BYTES + b"X-Request-Id: cut") == ""
    assert read_request_id(SYN) == ""
