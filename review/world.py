"""A small deployment on loopback for the cases of the review.

The entries are the project's own program, started as the deploy file says. The store, the routers,
the servers and the consumers are small stand-ins that follow the users' pages. All of them run in
this one process, on addresses of one network 127.N.0.0 that the case reserves for itself.
"""

import asyncio
import base64
import contextlib
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
import traceback
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
HEADER = struct.Struct("<IIIIHHHIIB")
HEADER_BYTES = 31
ACK, SYN, FIN, RST, BOUNCED = 1, 2, 4, 64, 128
SUM_KEY = 0x51ED270B
RESET_WINDOW = 76_800
MASK = 0xFFFFFFFF
SYN_COPIES_S = (0.0, 0.2, 0.6)
SYN_TIMEOUT_S = 1.4
RETRANSMISSIONS_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
"""Pauses before the retransmissions of a packet that a server misses the acknowledgement of."""

BEAT_S = 1.2
READY_INTERVAL_S = 0.5
READY_TIMEOUT_S = 0.5
MAX_LATE_S = 0.1
RESTART_DELAY_S = 0.5

HELD, BROKEN, CANNOT_RUN = 0, 1, 2

BOUNDS = {
    "SeedLagS": 3,
    "ReuseDelayS": 2,
    "ContactMs": 4000,
    "AckTimeoutMs": 5000,
    "CatchUpS": 4,
    "DrainTimeoutMs": 3000,
    "GracePeriodS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "RegressionMs": 250,
    "MaxSkewMs": 12000,
    "ColdOverage": 1.5,
    "ColdSlack": 5,
    "EvacuateMs": 5000,
    "RecoveryS": 12,
    "ReorderMs": 2000,
    "MaxFlowS": 60,
}
"""The bounds of the site mtc-vault."""


class CannotRunError(Exception):
    """The case could not be played."""


def has_trouble():
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


def to_number(host):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), "big")


def to_host(number):
    """Return an IPv4 address as text."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Packet:
    """One packet of a flow."""

    __slots__ = (
        "seq",
        "ack",
        "src",
        "dst",
        "dport",
        "sport",
        "sum",
        "echo",
        "flags",
        "data",
    )

    def __init__(self, seq, ack, src, dst, dport, sport, flags, data=b"", echo=0, total=None):
        self.seq, self.ack, self.src, self.dst = seq & MASK, ack & MASK, src, dst
        self.dport, self.sport, self.flags, self.data = dport, sport, flags, data
        self.echo = echo
        self.sum = self.compute_sum() if total is None else total

    def compute_sum(self):
        """Return the keyed sum over all fields but the echo, the padding and BOUNCED."""
        numbers = (self.seq, self.ack, self.src, self.dst, self.dport, self.sport)
        head = struct.pack("<IIIIHHHB", *numbers, len(self.data), self.flags & ~BOUNCED)
        return zlib.crc32(head + self.data, SUM_KEY)

    def encode(self):
        """Return the bytes on the wire."""
        numbers = (self.seq, self.ack, self.src, self.dst, self.dport, self.sport)
        head = HEADER.pack(*numbers, len(self.data), self.sum, self.echo, self.flags)
        return head + self.data

    @classmethod
    def decode(cls, data):
        """Return the packet in some bytes, ``None`` if they hold none."""
        if len(data) < HEADER_BYTES:
            return None
        seq, ack, src, dst, dport, sport, size, total, echo, flags = HEADER.unpack_from(data)
        if len(data) != HEADER_BYTES + size:
            return None
        body = data[HEADER_BYTES:]
        return cls(seq, ack, src, dst, dport, sport, flags, body, echo, total)


class Datagrams(asyncio.DatagramProtocol):
    """A UDP socket that hands each datagram to a function."""

    def __init__(self, receive):
        self.receive = receive
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.receive(data, addr)

    def error_received(self, exc):
        """Ignore that the other end isn't there."""


async def open_datagrams(host, port, receive):
    """Open a UDP socket."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: Datagrams(receive), local_addr=(host, port)
    )
    return protocol


class Store:
    """The platform's store.

    :ivar era: value of the header ``Store-Era``.
    :ivar is_up: whether it answers; if not, it resets each channel.
    """

    def __init__(self, world, host):
        self.world = world
        self.host = host
        self.port = 0
        self.era = 1
        self.is_up = True
        self.revision = 1000
        self.oldest = 1000
        self.items = {}
        self.events = []
        self.calls = 0
        self._server = None
        self._writers = set()
        self._changed = asyncio.Event()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """Write an item; return its revision, which is the ack."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {
            "Key": key,
            "Value": base64.b64encode(data).decode(),
            "Revision": self.revision,
            "Created": created,
            "LeaseId": 0,
        }
        self.items[key] = item
        self._add_event(item)
        self.world.log("store", write=key, revision=self.revision, bytes=len(data))
        return self.revision

    def delete(self, key):
        """Delete an item."""
        if self.items.pop(key, None) is None:
            return self.revision
        self.revision += 1
        self._add_event({"Key": key, "Revision": self.revision, "Deleted": True})
        self.world.log("store", delete=key, revision=self.revision)
        return self.revision

    def copy(self):
        """Return a copy of what the store holds."""
        self.world.log("store", copied_at=self.revision)
        return self.revision, dict(self.items), list(self.events)

    def restore(self, copy):
        """Come back from a copy: all that was written since is gone."""
        self.revision, self.items, self.events = copy[0], dict(copy[1]), list(copy[2])
        self.era += 1
        self.is_up = True
        self.world.log("store", restored_to=self.revision, era=self.era)

    def take_down(self):
        """Reset all channels and answer no call until ``is_up`` is set again."""
        self.is_up = False
        for writer in list(self._writers):
            writer.transport.abort()
        self._notify()
        self.world.log("store", state="away")

    def _add_event(self, event):
        self.events.append(event)
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while self.is_up:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                status, body = await self._answer(target)
                if not self.is_up:
                    break
                data = json.dumps(body).encode()
                lines = (
                    f"HTTP/1.1 {status} S",
                    "Content-Type: application/json",
                    f"Store-Era: {self.era}",
                    f"Content-Length: {len(data)}",
                )
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, target):
        self.calls += 1
        await asyncio.sleep(0.004)
        path, _, text = target.partition("?")
        query = dict(part.partition("=")[::2] for part in text.split("&") if part)
        prefix = query.get("Prefix", "").replace("%2F", "/")
        if path == "/-/kv-range":
            return self._answer_range(prefix, query.get("after", "").replace("%2F", "/"))
        if path == "/-/kv-watch":
            return await self._answer_watch(prefix, int(query["after"]), int(query["WaitMs"]))
        return 404, {}

    def _answer_range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:500]]
        return 200, {"items": page, "HasMore": len(keys) > 500, "CurrentRev": self.revision}

    async def _answer_watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while self.is_up:
            if after > self.revision or after < self.oldest:
                return 410, {}
            events = [
                event
                for event in self.events
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "CurrentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        return 503, {}


class ServerFlow:
    """A flow at a server.

    :ivar seq: the server's own start of numbers.
    :ivar expected: number of the consumer's next byte.
    :ivar is_open: its handshake is complete.
    """

    def __init__(self, seq, expected):
        self.seq = seq
        self.sent = seq + 1
        self.expected = expected
        self.is_open = False
        self.echo = 0
        self.answers = {}


class Server:
    """A server of a service, from its start to its end."""

    def __init__(self, world, name, host, service, zone):
        self.world = world
        self.name = name
        self.host = host
        self.service = service
        self.zone = zone
        self.number = int(name.rpartition("-")[2], 16)
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.flows = {}
        self.reset_keys = set()
        self.is_alive = True
        self.work_s = 0.02
        self._sockets = None
        self._health = None
        self._task = None
        self._written = None

    async def start(self):
        """Listen and register."""
        port = self.world.server_port
        self._sockets = await open_datagrams(self.host, port, self._receive)
        self._health = await asyncio.start_server(self._answer_health, self.host, port)
        self.world.servers.append(self)
        self.world.log("server", id=self.name, service=self.service, zone=self.zone, state="start")
        self._beat()
        self._task = asyncio.create_task(self._repeat_beats())

    def describe(self):
        """Return what the server says of itself."""
        return {
            "Service": self.service,
            "Address": f"{self.host}:{self.world.server_port}",
            "Zone": self.zone,
            "Version": "v1",
            "Concurrency": 4,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }

    def drain(self):
        """Report that the server leaves; return the time of the ack."""
        self.state = "draining"
        self._beat()
        self.world.log("server", id=self.name, state="draining")
        return time.monotonic()

    def register_again(self):
        """Write the entry again, as after the loss of what the store had acknowledged."""
        self._written = None
        self._beat()

    def end(self):
        """End the process of the server."""
        self.is_alive = False
        self._task.cancel()
        self._sockets.transport.close()
        self._health.close()
        self.world.store.delete(f"servers/{self.name}")
        self.world.log("server", id=self.name, state="end")

    async def _repeat_beats(self):
        while True:
            await asyncio.sleep(BEAT_S)
            self._beat()

    def _beat(self):
        """Report liveness; the entry changes only when more than its number changes."""
        self.sequence += 1
        now = {key: value for key, value in self.describe().items() if key != "Sequence"}
        if now == self._written or not self.world.store.is_up:
            return
        self._written = now
        self.world.store.put(f"servers/{self.name}", self.describe())

    async def _answer_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n"
            writer.write(head.encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _receive(self, data, addr):
        number = int.from_bytes(data[:8], "big")
        packet = Packet.decode(data[8:])
        if not self.is_alive or number not in (0, self.number) or packet is None:
            return
        if packet.sum != packet.compute_sum():
            self.world.violate("UNASKED", server=self.name, reason="changed packet")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._accept(key, flow, packet, addr)
        elif packet.flags & RST:
            self.flows.pop(key, None)
        elif flow is None or (not flow.is_open and packet.ack != (flow.seq + 1) & MASK):
            self.reset_keys.add(key)
            self.world.log("reset", server=self.name, flow=describe(key))
            self._send(key, 0, packet.ack, RST, b"", packet.echo, seq=packet.ack)
        else:
            self._handle(key, flow, packet, addr)

    def _accept(self, key, flow, packet, addr):
        if flow is None:
            flow = ServerFlow(random.getrandbits(32), packet.seq + 1)
            self.flows[key] = flow
            self.world.on_opening(self, key, addr)
            self.world.spawn(self._repeat_syn_ack(key, flow))
        flow.echo = packet.echo
        self._send(key, flow.seq, flow.expected, SYN | ACK, b"", flow.echo)

    async def _repeat_syn_ack(self, key, flow):
        for pause in RETRANSMISSIONS_S:
            await asyncio.sleep(pause)
            if flow.is_open or self.flows.get(key) is not flow or not self.is_alive:
                return
            self._send(key, flow.seq, flow.expected, SYN | ACK, b"", flow.echo)
        if not flow.is_open and self.flows.get(key) is flow:
            del self.flows[key]

    def _handle(self, key, flow, packet, addr):
        flow.echo = packet.echo
        if not flow.is_open:
            flow.is_open = True
            self.world.on_open(self, key, addr)
        if packet.data:
            if packet.seq in flow.answers:
                self._answer(key, flow, packet.seq)
            elif packet.seq == flow.expected & MASK:
                flow.expected += len(packet.data)
                flow.answers[packet.seq] = None
                self._run(key, flow, packet)
        if packet.flags & FIN:
            self._send(key, flow.sent, packet.seq + 1, FIN | ACK, b"", flow.echo)
            self.flows.pop(key, None)

    def _run(self, key, flow, packet):
        request = read_header(packet.data, b"X-Request-Id")
        self.world.on_run(self, key, request)
        asyncio.get_running_loop().call_later(
            self.work_s, lambda: self._finish(key, flow, packet.seq, request)
        )

    def _finish(self, key, flow, seq, request):
        if not self.is_alive or self.flows.get(key) is not flow:
            return
        body = f"{self.service} {self.name} {request}".encode()
        head = f"HTTP/1.1 200 OK\r\nX-Response-Stamp: {request}\r\nContent-Length: {len(body)}"
        data = head.encode() + b"\r\n\r\n" + body
        flow.answers[seq] = (flow.sent, data)
        flow.sent += len(data)
        self._answer(key, flow, seq)

    def _answer(self, key, flow, seq):
        answer = flow.answers[seq]
        if answer is not None:
            self._send(key, answer[0], flow.expected, ACK, answer[1], flow.echo)

    def _send(self, key, number, ack, flags, data, echo, seq=None):
        src, sport, dst, dport = key
        number = number if seq is None else seq
        packet = Packet(number, ack, dst, src, sport, dport, flags, data, echo)
        if flags & SYN and self.world.loses_handshake():
            return
        self._sockets.transport.sendto(packet.encode(), (to_host(src), self.world.packet_port))


def read_header(data, name):
    """Return the value of a header in a message."""
    for line in data.split(b"\r\n"):
        if line.startswith(name + b": "):
            return line[len(name) + 2 :].decode()
    return ""


def describe(key):
    """Return a flow as text."""
    src, sport, dst, dport = key
    return f"{to_host(src)}:{sport}>{to_host(dst)}:{dport}"


class Flow:
    """A flow as its consumer sees it.

    :ivar reset: the reset that ended it, if one did.
    """

    def __init__(self, consumer, port, route):
        self.consumer = consumer
        self.world = consumer.world
        self.port = port
        self.route = route
        self.key = (consumer.number, port, *route)
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.echo = 0
        self.is_open = False
        self.is_ended = False
        self.server = None
        self.opened_s = time.monotonic()
        self.waiter = None

    async def open(self):
        """Open the flow; return whether a server answered."""
        self.waiter = asyncio.get_running_loop().create_future()
        self.opened_s = time.monotonic()
        for copy, due in enumerate(SYN_COPIES_S):
            delay = self.opened_s + due - time.monotonic()
            if await self._wait(delay):
                break
            self._send(self.seq, copy, SYN)
        await self._wait(self.opened_s + SYN_TIMEOUT_S - time.monotonic())
        if not self.is_open:
            self.is_ended = True
            self.consumer.flows.pop(self.port, None)
        return self.is_open

    async def request(self, budget_s, headers=b""):
        """Send a request; return the answer's body, ``None`` without one."""
        request = self.world.next_request()
        data = b"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + request.encode() + b"\r\n"
        data += headers + b"\r\n"
        self.waiter = asyncio.get_running_loop().create_future()
        start, sent_s = self.seq, time.monotonic()
        self.seq = (self.seq + len(data)) & MASK
        self.world.on_request(self, request)
        pause = 0.2
        while not self.waiter.done() and time.monotonic() - sent_s < budget_s:
            self._send(start, self.ack, ACK, data)
            left = budget_s - (time.monotonic() - sent_s)
            await self._wait(min(pause, left))
            pause = min(1.6, pause * 2)
        body = self.waiter.result() if self.waiter.done() else None
        self.world.on_answer(self, request, body, time.monotonic() - sent_s)
        return body

    def close(self):
        """End the flow."""
        if self.is_open and not self.is_ended:
            self._send(self.seq, self.ack, FIN | ACK)
        self.is_ended = True
        self.consumer.flows.pop(self.port, None)

    async def _wait(self, delay):
        if delay > 0 and not self.waiter.done():
            await asyncio.wait((self.waiter,), timeout=delay)
        return self.waiter.done()

    def _send(self, seq, ack, flags, data=b""):
        src, sport, dst, dport = self.key
        echo = 0 if flags & SYN else self.echo
        packet = Packet(seq, ack, src, dst, dport, sport, flags, data, echo)
        self.consumer.send(packet.encode(), self.key)

    def receive(self, packet):
        """Handle a packet of the flow."""
        if packet.flags & RST:
            self._receive_reset(packet)
            return
        if packet.sum != packet.compute_sum():
            self.world.violate("MIXED", flow=describe(self.key), reason="changed packet")
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.seq = (self.seq + 1) & MASK
                self.ack = (packet.seq + 1) & MASK
                self._send(self.seq, self.ack, ACK)
                self._settle(b"")
        elif packet.data:
            if packet.seq == self.ack:
                self.ack = (self.ack + len(packet.data)) & MASK
                self._settle(packet.data)
            self._send(self.seq, self.ack, ACK)

    def _receive_reset(self, packet):
        distance = (packet.seq - self.ack) & MASK
        if self.is_open and min(distance, MASK + 1 - distance) > RESET_WINDOW:
            return
        if not self.is_ended:
            self.is_ended = True
            self.world.on_reset(self, "system" if packet.sum == 0 else "server")
            self._settle(None)

    def _settle(self, value):
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(value)


class Consumer:
    """A consumer with an address of its own, in a zone."""

    def __init__(self, world, host, zone):
        self.world = world
        self.host = host
        self.number = to_number(host)
        self.zone = zone
        self.flows = {}
        self._port = random.randrange(20_000, 40_000)
        self._sockets = None

    async def start(self):
        """Listen."""
        self._sockets = await open_datagrams(self.host, self.world.packet_port, self._receive)

    def create_flow(self, route):
        """Return a new flow from a new port."""
        self._port = 20_000 + (self._port - 19_999) % 40_000
        flow = self.flows[self._port] = Flow(self, self._port, route)
        return flow

    def send(self, data, key):
        """Send a packet through the node that the routers choose."""
        entry = self.world.routers.choose(self.zone, key)
        if entry is not None:
            self._sockets.transport.sendto(data, (entry.host, self.world.packet_port))

    def _receive(self, data, addr):
        packet = Packet.decode(data)
        if packet is None:
            self.world.violate("MIXED", consumer=self.host, reason="bytes that are no packet")
            return
        flow = self.flows.get(packet.dport)
        if flow is not None and (packet.src, packet.sport) == flow.route:
            flow.receive(packet)


class Entry:
    """One process of the system, as the deploy file starts it."""

    def __init__(self, world, name, host, zone):
        self.world = world
        self.name = name
        self.host = host
        self.zone = zone
        self.process = None
        self.is_restarted = True
        self.misses = 0
        self.is_in_rotation = True
        self.was_ready = False
        self.store_address = None
        self.settings = world.folder / f"{name}.json"
        self.output = world.folder / f"{name}.log"
        self._task = None

    def write_settings(self):
        """Write the settings file."""
        world = self.world
        zones = dict.fromkeys(world.zones, "region-a")
        address = self.store_address or f"{world.store.host}:{world.store.port}"
        fields = {
            "NodeName": self.name,
            "Role": "entry",
            "MachineClass": "frontend",
            "Serves": ["frontend", "control_plane"],
            "IpAddress": self.host,
            "Zone": self.zone,
            "Region": "region-a",
            "Zones": zones,
            "ListenAddrs": {
                "DatagramAddr": f"{self.host}:{world.packet_port}",
                "Ready": f"{self.host}:{world.ready_port}",
                "ControlPlane": f"{self.host}:{world.control_port}",
            },
            "InternalPorts": [world.inner_port, world.inner_port + 15],
            "SeedNodes": [f"{entry.host}:{world.control_port}" for entry in world.entries[:3]],
            "FirstStart": True,
            "FaultCounted": False,
            "Limits": {
                "CpuShare": 0.236,
                "CpuCores": 1,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "announce",
            "HeartbeatMs": int(BEAT_S * 1000),
            "Contracts": world.contracts,
            "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Bounds": world.bounds,
            "EcmpHash": "mod",
            "ForwardingMode": "echo",
            "platform": {
                "Address": address,
                "ForwardingMode": "read",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "MinTtlMs": 1000,
            },
        }
        self.settings.write_text(json.dumps(fields, indent=1))

    async def start(self):
        """Start the process and watch it."""
        self.write_settings()
        await self._spawn()
        self._task = asyncio.create_task(self._watch())

    async def _spawn(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["CHICORYPROXY_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = "target/deps"
        with self.output.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.world.command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
                preexec_fn=end_with_parent,
            )
        self.world.log("entry", name=self.name, state="start")

    async def _watch(self):
        while True:
            code = await self.process.wait()
            self.world.log("entry", name=self.name, state="end", code=code)
            if not self.is_restarted:
                return
            await asyncio.sleep(RESTART_DELAY_S)
            await self._spawn()

    def send_signal(self, number):
        """Send a signal to the process."""
        self.world.log("entry", name=self.name, signal=signal.Signals(number).name)
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        """End the process."""
        self.is_restarted = False
        if self._task is not None:
            self._task.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Routers:
    """The platform's routers: readiness checks, and the choice of a node for a packet.

    :ivar changes: how often a node left the rotation or came back.
    """

    def __init__(self, world):
        self.world = world
        self._tasks = []
        self.rotations = {}
        self.changes = 0

    def start(self):
        """Start the checks."""
        for entry in self.world.entries:
            self._tasks.append(asyncio.create_task(self._check(entry)))

    def choose(self, zone, key):
        """Return the node that gets a packet, ``None`` if there is none."""
        nodes = self.rotations.get(zone)
        if nodes is None:
            nodes = self.rotations[zone] = self._list_rotation(zone)
        if not nodes:
            return None
        return nodes[zlib.crc32(struct.pack("<IHIH", *key)) % len(nodes)]

    def _list_rotation(self, zone):
        own = [entry for entry in self.world.entries if entry.zone == zone]
        ready = [entry for entry in own if entry.is_in_rotation]
        if not ready:
            others = [entry for entry in self.world.entries if entry.zone != zone]
            return [entry for entry in others if entry.is_in_rotation] or own
        return own if len(ready) * 2 < len(own) else ready

    async def _check(self, entry):
        while True:
            began = time.monotonic()
            is_ready = await self._ask(entry)
            # A check that took longer than its time says only that this process was held up.
            if is_ready or time.monotonic() - began < READY_TIMEOUT_S + MAX_LATE_S:
                entry.misses = 0 if is_ready else entry.misses + 1
            entry.was_ready = entry.was_ready or is_ready
            is_in_rotation = entry.misses < 2
            if is_in_rotation is not entry.is_in_rotation:
                entry.is_in_rotation = is_in_rotation
                self.rotations.clear()
                self.changes += 1
                self.world.log("routers", name=entry.name, in_rotation=is_in_rotation)
            await asyncio.sleep(max(0.0, began + READY_INTERVAL_S - time.monotonic()))

    async def _ask(self, entry):
        writer = None
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(entry.host, self.world.ready_port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()


class World:
    """The deployment of a case.

    :param folder: folder of the case, which gets ``record.txt``.
    :param zones: names of the zones.
    :param entries: number of entries in each zone.
    """

    def __init__(self, folder, zones=("zone-a", "zone-b", "zone-c"), entries=1, bounds=None):
        self.case_folder = Path(folder)
        self.zones = list(zones)
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.contracts = [
            "base",
            "drain",
            "config",
            "cost",
            "recover",
            "flows",
            "places",
            "platform",
        ]
        self.command = read_command()
        self.network, self._lock = reserve_network()
        ports = pick_ports(f"127.{self.network}.0.1", 5)
        self.packet_port, self.ready_port, self.control_port = ports[:3]
        self.server_port, self.inner_port = ports[3:]
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.began = time.monotonic()
        self.lines = []
        self.violations = []
        self.store = Store(self, f"127.{self.network}.200.1")
        self.entries = []
        self.servers = []
        self.consumers = []
        self.routers = Routers(self)
        self.answered = 0
        self.unanswered = 0
        self.opening_listeners = []
        self.reset_listeners = []
        self.run_counts = {}
        self.open_at = {}
        self.loss_interval = 0
        self._handshakes = 0
        self._requests = 0
        self._tasks = set()
        for zone_number, zone in enumerate(self.zones):
            for number in range(entries):
                host = f"127.{self.network}.{10 + zone_number}.{1 + number}"
                self.entries.append(Entry(self, f"frontend-{zone}-{number + 1}", host, zone))

    def log(self, kind, **fields):
        """Write a line of the record."""
        self.lines.append(
            json.dumps({"t": round(time.monotonic() - self.began, 3), "what": kind, **fields})
        )

    def violate(self, rule, **fields):
        """Record that a rule was broken."""
        self.violations.append((rule, fields))
        self.log("BROKEN", rule=rule, **fields)

    def loses_handshake(self):
        """Return whether the next SYN+ACK is lost on its way to the consumer."""
        self._handshakes += 1
        return bool(self.loss_interval) and self._handshakes % self.loss_interval == 0

    def next_request(self):
        """Return a new request id."""
        self._requests += 1
        return f"r{self._requests}"

    def on_opening(self, server, key, addr):
        """Handle that a server took an opening packet."""
        self.log("opening", server=server.name, flow=describe(key), via=addr[0])
        for listener in self.opening_listeners:
            listener(server, key, addr)

    def on_open(self, server, key, addr):
        """Handle that a flow is open at a server."""
        self.open_at[key] = server
        self.log("open", server=server.name, flow=describe(key), via=addr[0])

    def on_run(self, server, key, request):
        """Handle that a server began to work on a request."""
        self.run_counts[request] = self.run_counts.get(request, 0) + 1
        self.log("run", server=server.name, flow=describe(key), request=request)
        if self.run_counts[request] > 1:
            self.violate("RUN-ONCE", request=request)

    def on_request(self, flow, request):
        """Handle that a consumer sends a request."""
        self.log("request", flow=describe(flow.key), request=request)

    def on_answer(self, flow, request, body, duration_s):
        """Handle the end of a request."""
        if body:
            self.answered += 1
            if read_header(body, b"X-Response-Stamp") != request:
                self.violate("MIXED", request=request, reason="foreign answer")
        else:
            self.unanswered += 1
        self.log("answer" if body else "no answer", request=request, ms=round(duration_s * 1000))

    def on_reset(self, flow, sender):
        """Handle that a consumer got a reset."""
        self.log("got reset", flow=describe(flow.key), sender=sender, open=flow.is_open)
        for listener in self.reset_listeners:
            listener(flow, sender)

    async def add_server(self, name, service, zone):
        """Start a server."""
        host = f"127.{self.network}.{100 + len(self.servers) // 200}.{1 + len(self.servers) % 200}"
        server = Server(self, name, host, service, zone)
        await server.start()
        return server

    async def add_consumer(self, zone):
        """Start a consumer."""
        host = f"127.{self.network}.150.{1 + len(self.consumers)}"
        consumer = Consumer(self, host, zone)
        await consumer.start()
        self.consumers.append(consumer)
        return consumer

    def spawn(self, coroutine):
        """Run a coroutine in the background until the case ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start_entries(self):
        """Start all entries and wait until they are ready."""
        for entry in self.entries:
            await entry.start()
        self.routers.start()
        await self.wait_until(lambda: all(entry.was_ready for entry in self.entries), 20.0)

    async def wait_until(self, condition, seconds):
        """Wait until a condition holds; the case can't run without it."""
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRunError("a condition did not hold in time")
            await asyncio.sleep(0.05)

    async def use_fresh_flows(self, consumer, route, pause_s, budget_s=1.5):
        """Open a flow for each request, one after the other."""
        while True:
            flow = consumer.create_flow(route)
            if await flow.open():
                await flow.request(budget_s)
            flow.close()
            await asyncio.sleep(pause_s)

    async def stop(self):
        """End everything that the case started, and write the record."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*(entry.stop() for entry in self.entries))
        self.log("total", answered=self.answered, unanswered=self.unanswered)
        (self.case_folder / "record.txt").write_text("\n".join(self.lines) + "\n")
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def read_command():
    """Return the words of the command of the deploy file's only role."""
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        if line.startswith("run = "):
            return line.partition("=")[2].strip().strip('"').split()
    raise CannotRunError("deploy/system.toml names no command")


def reserve_network():
    """Reserve a network 127.N.0.0; return N and the socket that holds it."""
    numbers = list(range(20, 220))
    random.shuffle(numbers)
    for number in numbers:
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.0.1", 8998))
            lock.listen()
            return number, lock
        except OSError:
            lock.close()
    raise CannotRunError("no free network")


def pick_ports(host, count):
    """Return different ports that are free for TCP and UDP, below those of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(10_000, 30_000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((host, port))
        except OSError:
            continue
        if all(abs(port - other) > 15 for other in ports):
            ports.append(port)
    return ports


def end_with_parent():
    """Have the kernel end this process when the case ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def build_config(version, routes, services, cold_s=2.0, cold_per_s=0.0, timeout_ms=1500):
    """Return a configuration.

    :param routes: service by destination, which is a pair of number and port.
    """
    return {
        "Version": version,
        "Routes": [
            {
                "Name": f"route-{number}",
                "Hostname": to_host(host),
                "Prefix": f"/{port}/",
                "Type": "idempotent",
                "TimeoutMs": timeout_ms,
                "TargetLatencyMs": 100,
                "Priority": 1,
                "MaxAttempts": 1,
                "Service": service,
            }
            for number, ((host, port), service) in enumerate(routes.items())
        ],
        "Services": [
            {
                "Name": service,
                "HealthCheckPath": "/health",
                "MaxConnections": 2000,
                "ColdStartS": cold_s,
                "ColdPerS": cold_per_s,
            }
            for service in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 15000,
        },
    }


def run_case(play, limit_s=115.0):
    """Play a case and return its exit code.

    :param play: coroutine function that returns whether the rule held.
    """

    async def play_limited():
        try:
            async with asyncio.timeout(limit_s):
                return HELD if await play() else BROKEN
        except CannotRunError as error:
            print(f"can't run: {error}")
            return CANNOT_RUN
        except TimeoutError:
            print("can't run: time is up")
            return CANNOT_RUN
        except Exception:
            traceback.print_exc()
            return CANNOT_RUN

    return asyncio.run(play_limited())
