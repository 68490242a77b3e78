"""Servers and callers of the soak, which exchange packets in the platform's format."""

import itertools
import random
import struct

from chicoryproxy.eventloop.packetsocket import PacketSocket
from chicoryproxy.eventloop.stream import Listener, Stream, StreamHandler
from chicoryproxy.forwarding.peers.hosts import format_host, parse_host
from chicoryproxy.model import Endpoint
from chicoryproxy.platform.header import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN, HEADER_BYTES
from tests.soak.deployment import EXTRA_ROUTE, MOVING_ROUTE

HEADER = struct.Struct("<IIIIHHHIIB")
DRAIN_BOUND_S = 3.0
REMOVED_ROUTE_SHARE = 0.1
"""Share of the openings that go to a removed route while it is removed; they should be refused."""

RETRANSMIT_DELAYS_S = (0.2, 0.4)
OPENING_TIMEOUT_S = 1.4
REQUEST_TIMEOUT_S = 2.0
PROBE_INTERVAL_S = 0.2


def open_packet_socket(loop, host, port, receive):
    """Open a UDP socket that passes each datagram to a function."""
    packets = PacketSocket(loop, Endpoint(host, port), receive)
    packets.start_reading()
    return packets


class _HealthConnection(StreamHandler):
    """An accepted health check connection."""

    def __init__(self, server):
        self.stream = None
        self._server = server

    def handle_connected(self):
        """Do nothing; an accepted connection is already open."""

    def handle_closed(self, error):
        """Do nothing."""

    def handle_data(self, data):
        """Send a response with the id of the server."""
        head = f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self._server.name}\r\n"
        self.stream.write(head.encode() + b"Content-Length: 0\r\n\r\n")


class Server:
    """A server process, from its start to its end; a restart is a new object."""

    def __init__(self, soak, name, host, port, service, zone):
        self.name = name
        self.host = host
        self.service = service
        self.zone = zone
        self.number = int(name.partition("-")[2], 16)
        self.started_ms = int(soak.loop.read_clock() * 1000)
        self.state = "ready"
        self.state_changed_s = soak.loop.read_clock()
        self.is_alive = True
        self._soak = soak
        self._flows = {}
        self._port = port
        self._udp = open_packet_socket(soak.loop, host, port, self._receive)
        self._tcp = Listener(soak.loop, Endpoint(host, port), self._serve)

    def describe(self):
        """Return the server's entry in the store."""
        return {
            "Service": self.service,
            "Address": f"{self.host}:{self._port}",
            "Zone": self.zone,
            "Version": "v1",
            "Concurrency": 2,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": self.started_ms,
        }

    def set_draining(self):
        """Start draining."""
        self.state = "draining"
        self.state_changed_s = self._soak.loop.read_clock()

    def end(self):
        """Stop without draining, as a crash does."""
        self.is_alive = False
        self.state_changed_s = self._soak.loop.read_clock()
        self._udp.close()
        self._tcp.close()

    def _serve(self, sock):
        health = _HealthConnection(self)
        health.stream = Stream(self._soak.loop, sock, health)
        health.stream.accept()

    def _receive(self, data):
        number = int.from_bytes(data[:8], "big")
        if number not in (0, self.number):
            return
        packet = data[8:]
        sequence, _, source, host, port, source_port, size, total, mark, flags = HEADER.unpack_from(
            packet
        )
        self._soak.invariants.check_unchanged(packet, self)
        key = (source, source_port, host, port)
        if flags & FLAG_SYN:
            self._soak.invariants.check_opening(self, packet)
            own = self._flows.setdefault(key, random.getrandbits(31))
            self._reply(key, own, sequence + 1, mark, FLAG_SYN | FLAG_ACK, b"")
        elif key not in self._flows:
            self._reply(key, 0, 0, mark, FLAG_RST, b"")
        elif flags & FLAG_FIN:
            self._reply(key, self._flows[key], sequence + 1, mark, FLAG_ACK, b"")
        elif size:
            body = self.name.encode()
            self._reply(key, self._flows[key] + 1, sequence + size, mark, FLAG_ACK, body)

    def _reply(self, key, sequence, acknowledged, mark, flags, body):
        source, source_port, host, port = key
        numbers = (
            sequence & 0xFFFFFFFF,
            acknowledged & 0xFFFFFFFF,
            host,
            source,
            source_port,
            port,
        )
        head = HEADER.pack(*numbers, len(body), 1, mark, flags)
        target = (format_host(source), self._soak.packet_port)
        self._udp.send(head + body, target)


class Caller:
    """A caller with one flow at a time, which it opens, sends requests on and closes."""

    def __init__(self, soak, host, seed):
        self._soak = soak
        self._random = random.Random(seed)
        self._host = parse_host(host)
        self._port = 1024
        self._number = 0
        self._state = "idle"
        self._timers = []
        self._udp = open_packet_socket(soak.loop, host, soak.packet_port, self._receive)
        soak.loop.call_later(self._random.random(), self.open)

    def open(self):
        """Open a flow from the next source port."""
        self._port = 1024 + (self._port - 1023) % 60_000
        self._route = self._random.choice(self._soak.routes)
        if EXTRA_ROUTE not in self._soak.routes and self._random.random() < REMOVED_ROUTE_SHARE:
            self._route = EXTRA_ROUTE
        self._state = "opening"
        self._server = None
        self._mark = 0
        self._sequence = self._random.getrandbits(30)
        self._acknowledged = 0
        self._opened_s = self._soak.loop.read_clock()
        self._lifetimes = set()
        self._soak.attempted += self._route in self._soak.routes
        self._cancel_timers()
        for copy, delay in enumerate((0.0, 0.2, 0.6)):
            self._schedule(delay, lambda copy=copy: self._send(FLAG_SYN, b"", copy))
        self._schedule(OPENING_TIMEOUT_S, self._give_up)

    def _request(self):
        self._number += 1
        self._state = "waiting"
        body = f"GET / HTTP/1.1\r\nX-Request-Id: {self._host:x}{self._number:x}\r\n\r\n".encode()
        self._soak.attempted += 1
        self._cancel_timers()
        for delay in (0.0, *RETRANSMIT_DELAYS_S):
            self._schedule(delay, lambda: self._send(FLAG_ACK, body))
        self._schedule(REQUEST_TIMEOUT_S, self._give_up)
        self._size = len(body)

    def _give_up(self):
        self._soak.unanswered += 1
        self._restart()

    def _restart(self):
        self._state = "idle"
        self._cancel_timers()
        self._schedule(self._random.uniform(0.05, 0.3), self.open)

    def _send(self, flags, body, acknowledged=None):
        host, port = self._route
        acknowledged = self._acknowledged if acknowledged is None else acknowledged
        numbers = (self._sequence, acknowledged, self._host, host, port, self._port)
        packet = HEADER.pack(*numbers, len(body), 7, self._mark, flags) + body
        entry = self._soak.choose_entry((self._host, self._port, host, port))
        self._lifetimes.add(entry.get_lifetime())
        self._soak.invariants.record_sent(packet, entry.get_lifetime())
        self._udp.send(packet, (entry.host, self._soak.packet_port))

    def _receive(self, data):
        sequence, _, _, _, port, source_port, size, total, mark, flags = HEADER.unpack_from(data)
        if port != self._port and source_port != self._port:
            return
        now = self._soak.loop.read_clock()
        if flags & FLAG_RST:
            self._soak.invariants.check_reset(
                self._route, self._opened_s, self._server, self._state, now
            )
            if self._state == "opening":
                self._soak.refused += self._route in self._soak.routes
                # Resets of entries have no sum.
                if not total:
                    self._check_refusal()
            self._restart()
            return
        if flags & FLAG_SYN:
            if self._state == "opening":
                self._mark = mark
                self._acknowledged = (sequence + 1) & 0xFFFFFFFF
                self._sequence = (self._sequence + 1) & 0xFFFFFFFF
                self._send(FLAG_ACK, b"")
                self._soak.answered += 1
                self._request()
            return
        self._mark = mark
        if size and self._state == "waiting":
            self._server = data[HEADER_BYTES:].decode()
            self._soak.answered += 1
            self._acknowledged = (sequence + size) & 0xFFFFFFFF
            self._sequence = (self._sequence + self._size) & 0xFFFFFFFF
            self._send(FLAG_ACK, b"")
            self._state = "pausing"
            self._cancel_timers()
            pause = self._random.choice((0.02, 0.1, 0.5, 1.5))
            if now - self._opened_s > 6.0:
                self._schedule(pause, self._close)
            else:
                self._schedule(pause, self._request)

    def _check_refusal(self):
        # If copies went to several entries, it isn't known which of them refused.
        lifetime = next(iter(self._lifetimes)) if len(self._lifetimes) == 1 else None
        self._soak.invariants.check_refusal(self._route, self._opened_s, lifetime)

    def _close(self):
        self._send(FLAG_FIN | FLAG_ACK, b"")
        self._restart()

    def _schedule(self, delay, action):
        self._timers.append(self._soak.loop.call_later(delay, action))

    def _cancel_timers(self):
        for timer in self._timers:
            timer.cancel()
        self._timers = []


class Prober:
    """Sends openings of the routes that versions change directly to each ready entry.

    The platform does the same with few flows. They show what each entry has in force.
    """

    def __init__(self, soak, host):
        self._soak = soak
        self._host = parse_host(host)
        self._openings = {}
        self._ports = itertools.cycle(range(1024, 65_000))
        self._udp = open_packet_socket(soak.loop, host, soak.packet_port, self._receive)
        soak.loop.call_repeatedly(lambda: PROBE_INTERVAL_S, self._probe)

    def _probe(self):
        for entry in self._soak.entries:
            for route in (EXTRA_ROUTE, MOVING_ROUTE) if entry.is_ready else ():
                port = next(self._ports)
                now = self._soak.loop.read_clock()
                self._openings[port] = (entry, entry.get_lifetime(), route, now)
                self._send(port, FLAG_SYN, 0)

    def _send(self, port, flags, mark):
        entry, lifetime, route, _ = self._openings[port]
        sequence = 1 if flags & FLAG_SYN else 2
        packet = HEADER.pack(sequence, 0, self._host, *route, port, 0, 7, mark, flags)
        self._soak.invariants.record_sent(packet, lifetime)
        self._udp.send(packet, (entry.host, self._soak.packet_port))

    def _receive(self, data):
        *_, port, _, _, total, mark, flags = HEADER.unpack_from(data)
        if port not in self._openings:
            return
        if flags & FLAG_SYN:
            self._send(port, FLAG_FIN | FLAG_ACK, mark)
            return
        _, lifetime, route, opened_s = self._openings.pop(port)
        if flags & FLAG_RST and not total:
            self._soak.invariants.check_refusal(route, opened_s, lifetime)
