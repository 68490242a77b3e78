"""Probe results for servers that respond, are gone, are silent or have another id."""

import socket
import struct
import threading
import time

import pytest

from chicoryproxy.eventloop.stream import Listener, Stream, StreamHandler
from chicoryproxy.forwarding.health.reachability import ProbeResult
from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import Endpoint
from chicoryproxy.node.probe import (
    CONNECT_TIMEOUT_S,
    IDENTITY_TIMEOUT_S,
    SLOW_CONNECT_S,
    probe_connection,
    probe_identity,
)
from tests.node.fakestore import HOST, pick_port, run_until


class Server(StreamHandler):
    """Answers health checks with the id ``i-7``.

    :ivar delay_s: time that it takes to answer.
    """

    def __init__(self, loop):
        self.loop = loop
        self.delay_s = 0.0
        self.stream = None
        self.listener = Listener(loop, Endpoint(HOST, 0), self.serve)
        self.address = Endpoint(HOST, self.listener.port)

    def serve(self, sock):
        """Serve one connection."""
        self.stream = Stream(self.loop, sock, self)
        self.stream.accept()

    def handle_connected(self):
        """Do nothing; an accepted connection is already open."""

    def handle_closed(self, error):
        """Do nothing."""

    def handle_data(self, data):
        """Answer with status 503, as a draining server does."""
        answer = b"HTTP/1.1 503 X\r\nX-Instance-Id: i-7\r\nContent-Length: 0\r\n\r\n"
        self.loop.call_later(self.delay_s, lambda: self.stream.write(answer))


def run(loop, start):
    """Run a probe and return its result."""
    results = []
    start(results.append)
    run_until(loop, lambda: results)
    return results[0]


@pytest.fixture
def server(loop):
    """A server with the id ``i-7``."""
    return Server(loop)


def test_a_server_that_accepts_is_connected(loop, server):
    result = run(loop, lambda done: probe_connection(loop, server.address, done))
    assert result is ProbeResult.CONNECTED


def test_a_port_without_a_server_refuses(loop):
    address = Endpoint(HOST, pick_port())
    result = run(loop, lambda done: probe_connection(loop, address, done))
    assert result is ProbeResult.REFUSED


def test_the_identity_probe_detects_another_server_at_the_address(loop, server):
    for name, expected in (("i-7", ProbeResult.CONNECTED), ("i-8", ProbeResult.OTHER_SERVER)):
        result = run(
            loop,
            lambda done, name=name: probe_identity(
                loop, server.address, "/health", UpstreamId(name), done
            ),
        )
        assert result is expected


def probe_both(loop, address):
    """Return the results of a connection and of a health check."""
    return [
        run(loop, lambda done: probe_connection(loop, address, done)),
        run(loop, lambda done: probe_identity(loop, address, "/health", UpstreamId("i-7"), done)),
    ]


def test_a_server_that_accepts_and_does_not_answer_is_silent(loop):
    """Busy server: its health check waits for a slot."""
    with socket.socket() as silent:
        silent.bind((HOST, 0))
        silent.listen()
        address = Endpoint(*silent.getsockname())
        assert probe_both(loop, address) == [ProbeResult.CONNECTED, ProbeResult.SILENT]


def test_a_server_that_does_not_accept_times_out(loop):
    """Full queue of connections: the opening segment is dropped."""
    with socket.socket() as full, socket.socket() as first, socket.socket() as second:
        full.bind((HOST, 0))
        full.listen(0)
        for client in (first, second):
            client.setblocking(False)
            client.connect_ex(full.getsockname())
        address = Endpoint(*full.getsockname())
        assert probe_both(loop, address) == [ProbeResult.TIMEOUT, ProbeResult.TIMEOUT]


def probe_resetting_server(loop, probe, delay_s):
    """Let a server reset a connection at once; this process looks only after a delay."""
    results = []
    reader, writer = socket.socketpair()
    with socket.socket() as listener, reader, writer:
        listener.bind((HOST, 0))
        listener.listen()

        def start():
            loop.unwatch(reader)
            probe(Endpoint(*listener.getsockname()), results.append)
            connection, _ = listener.accept()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()
            time.sleep(delay_s)

        loop.watch(reader, on_readable=start)
        writer.send(b"x")
        run_until(loop, lambda: results)
    return results


def test_a_server_that_resets_connections_does_not_time_out(loop):
    """Burst: a full server resets the connections beyond its limit, and serves its flows."""

    def probe(address, done):
        probe_connection(loop, address, done)

    assert probe_resetting_server(loop, probe, 0.0) == [ProbeResult.RESET]
    assert probe_resetting_server(loop, probe, SLOW_CONNECT_S + 0.02) == [ProbeResult.RESET_SLOWLY]


def test_a_server_that_resets_health_checks_does_not_time_out(loop):
    """Burst: the upstream was unreachable before, and is probed by its health check."""

    def probe(address, done):
        probe_identity(loop, address, "/health", UpstreamId("i-7"), done)

    assert probe_resetting_server(loop, probe, 0.0) == [ProbeResult.RESET]


@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 302 X\r\nContent-Length: 0\r\n\r\n"])
def test_a_server_that_does_not_say_its_id_is_silent(loop, answer):
    """Full server: it closes the connection, or answers without its id."""

    def serve(sock):
        with sock:
            sock.send(answer)

    listener = Listener(loop, Endpoint(HOST, 0), serve)
    address = Endpoint(HOST, listener.port)
    assert probe_both(loop, address) == [ProbeResult.CONNECTED, ProbeResult.SILENT]
    listener.close()


def test_a_health_check_that_is_answered_late_is_a_slow_connection(loop, server):
    """Congested link: the answer arrives, but it must not confirm the timeouts of others."""
    server.delay_s = SLOW_CONNECT_S + 0.05
    result = run(
        loop,
        lambda done: probe_identity(loop, server.address, "/health", UpstreamId("i-7"), done),
    )
    assert result is ProbeResult.CONNECTED_SLOWLY


def block_loop(loop, reader, seconds):
    """Let one event of the loop take long, as a batch of packets does on a slow machine."""

    def handle():
        loop.unwatch(reader)
        time.sleep(seconds)

    loop.watch(reader, on_readable=handle)


def test_a_connection_that_is_ready_when_its_timer_is_late_has_succeeded(loop, server):
    """Busy loop: the connection was there in time; only this process was slow to look."""
    results = []
    reader, writer = socket.socketpair()
    with reader, writer:

        def start():
            loop.unwatch(reader)
            probe_connection(loop, server.address, results.append)
            time.sleep(CONNECT_TIMEOUT_S + 0.03)

        loop.watch(reader, on_readable=start)
        writer.send(b"x")
        run_until(loop, lambda: results)
    assert results == [ProbeResult.CONNECTED_SLOWLY]


def test_a_health_check_that_is_answered_when_its_timer_is_late_has_succeeded(loop):
    """Busy loop: the answer was there in time."""
    reader, writer = socket.socketpair()
    with socket.socket() as listener, reader, writer:
        listener.bind((HOST, 0))
        listener.listen()

        def answer():
            connection, _ = listener.accept()
            with connection:
                connection.recv(1024)
                writer.send(b"x")
                time.sleep(0.05)
                connection.send(
                    b"HTTP/1.1 200 X\r\nX-Instance-Id: i-7\r\nContent-Length: 0\r\n\r\n"
                )

        thread = threading.Thread(target=answer)
        thread.start()
        block_loop(loop, reader, IDENTITY_TIMEOUT_S + 0.03)
        address = Endpoint(*listener.getsockname())
        result = run(
            loop, lambda done: probe_identity(loop, address, "/health", UpstreamId("i-7"), done)
        )
        thread.join()
    assert result in (ProbeResult.CONNECTED, ProbeResult.CONNECTED_SLOWLY)
