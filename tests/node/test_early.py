"""Power loss: callers' packets that arrive while the process loads its modules are not lost."""

import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from chicoryproxy.eventloop.datagram import open_datagram_socket
from chicoryproxy.eventloop.packetsocket import PacketSocket
from chicoryproxy.model import Endpoint
from chicoryproxy.node.early import bind_packet_socket
from chicoryproxy.platform.packetaddress import SETTINGS_VARIABLE
from tests.adapter.test_settings import create_node
from tests.node.standins import HOST, pick_port

SOURCE = Path(__file__).resolve().parents[2] / "src"
PATIENCE_S = 20.0
SLOW_LIBRARY = """
import os, sys, time
while not os.path.exists({flag!r}):
    time.sleep(0.01)
sys.path.remove({folder!r})
del sys.modules["msgspec"]
import msgspec
sys.modules["msgspec"] = msgspec
"""


@pytest.fixture
def settings(tmp_path):
    """Settings of an entry whose store does not answer: the file and the port of the packets."""
    ports = [pick_port() for _ in range(3)]
    listen = {"DatagramAddr": f"{HOST}:{ports[0]}", "Ready": f"{HOST}:{ports[1]}"}
    fields = create_node(
        IpAddress=HOST,
        ListenAddrs=listen,
        InternalPorts=[ports[2], ports[2] + 1],
        platform={"Address": f"{HOST}:1"},
    )
    path = tmp_path / "node.json"
    path.write_text(json.dumps(fields))
    return path, ports[0]


def is_bound(port):
    """Tell whether some process has a UDP socket at a port."""
    lines = Path("/proc/net/udp").read_text().splitlines()[1:]
    return any(line.split()[1].endswith(f":{port:04X}") for line in lines)


def wait_until(condition):
    """Wait until a condition holds."""
    deadline = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def test_packets_wait_while_the_libraries_are_loaded(settings, tmp_path):
    path, port = settings
    slow = tmp_path / "slow"
    slow.mkdir()
    flag = tmp_path / "go"
    (slow / "msgspec.py").write_text(SLOW_LIBRARY.format(flag=str(flag), folder=str(slow)))
    process = subprocess.Popen(
        [sys.executable, "-m", "chicoryproxy.node.main"],
        env={"PYTHONPATH": os.pathsep.join((str(slow), str(SOURCE))), SETTINGS_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
    )
    try:
        wait_until(lambda: is_bound(port))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
            caller.sendto(b"no packet", (HOST, port))
        flag.touch()
        lines = map(json.loads, process.stdout)
        start = next(lines)
        assert (start["event"], start["bound_early"]) == ("start", True)
        assert next(line for line in lines if line["event"] == "drop")["reason"] == "malformed"
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("text", ["", "{", "[]", '{"ListenAddrs": {"DatagramAddr": 7}}'])
def test_faulty_settings_bind_nothing_early(tmp_path, monkeypatch, text):
    path = tmp_path / "node.json"
    path.write_text(text)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    assert bind_packet_socket() is None


def test_missing_settings_bind_nothing_early(monkeypatch):
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    assert bind_packet_socket() is None


def test_an_address_that_is_taken_binds_nothing_early(settings, monkeypatch):
    path, port = settings
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    with open_datagram_socket(HOST, port):
        assert bind_packet_socket() is None


def test_a_socket_of_another_address_is_replaced(loop):
    """The settings changed between the two readings of the file."""
    early = open_datagram_socket(HOST, pick_port())
    address = Endpoint(HOST, pick_port())
    packets = PacketSocket(loop, address, lambda data: None, early)
    assert packets.port == address.port
    assert early.fileno() == -1
    packets.close()
