"""Callers' packets that arrive during the imports, such as after a power loss, are not lost."""

import json
import socket
from pathlib import Path

import pytest

from chicoryproxy.eventloop.datagram import open_datagram_socket
from chicoryproxy.eventloop.packetsocket import PacketSocket
from chicoryproxy.model import Endpoint
from chicoryproxy.node.early import bind_packet_socket
from chicoryproxy.platform.packetaddress import SETTINGS_VARIABLE
from tests.node.entryprocess import wait_until
from tests.node.fakestore import HOST, pick_port


@pytest.fixture
def port(node_file):
    """The port for callers' packets in the settings."""
    return int(json.loads(node_file.read_text())["ListenAddrs"]["DatagramAddr"].rpartition(":")[2])


def is_bound(port):
    """Return whether any process has a UDP socket bound to a port."""
    lines = Path("/proc/net/udp").read_text().splitlines()[1:]
    return any(line.split()[1].endswith(f":{port:04X}") for line in lines)


def test_packets_wait_while_the_libraries_are_loaded(blocked_process, port):
    wait_until(lambda: is_bound(port))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        caller.sendto(b"no packet", (HOST, port))
    blocked_process.load_libraries()
    assert blocked_process.wait_for("start")["bound_early"]
    assert blocked_process.wait_for("drop")["reason"] == "malformed"


@pytest.mark.parametrize("text", ["", "{", "[]", '{"ListenAddrs": {"DatagramAddr": 7}}'])
def test_invalid_settings_bind_no_socket(tmp_path, monkeypatch, text):
    path = tmp_path / "node.json"
    path.write_text(text)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    assert bind_packet_socket() is None


def test_missing_settings_bind_no_socket(monkeypatch):
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    assert bind_packet_socket() is None


def test_an_address_in_use_binds_no_socket(node_file, port, monkeypatch):
    monkeypatch.setenv(SETTINGS_VARIABLE, str(node_file))
    with open_datagram_socket(HOST, port):
        assert bind_packet_socket() is None


def test_a_socket_bound_to_another_address_is_replaced(loop):
    """This occurs if the settings change between the early and the complete reading of the file."""
    early = open_datagram_socket(HOST, pick_port())
    address = Endpoint(HOST, pick_port())
    packets = PacketSocket(loop, address, lambda data: None, early)
    assert packets.port == address.port
    assert early.fileno() == -1
    packets.close()
