"""The forwarders that ``benchmarks.forwarding`` compares, each in a process of its own."""

import asyncio
import logging
import multiprocessing
import os
import socket
import time
from collections.abc import Callable, Mapping, Sequence
from enum import Enum, unique
from multiprocessing.connection import Connection

import uvloop
from msgspec import structs

from benchmarks.control_slopes import make_instance
from benchmarks.throughput import Throughput, ThroughputMeter
from chicoryproxy.configuration.settings import Settings
from chicoryproxy.ids import DomainId, InstanceId, RegionId
from chicoryproxy.model import Configuration, Endpoint, Generation, Instance, Service
from chicoryproxy.processes.entrydriver import TICK_S, EntryDriver
from chicoryproxy.protocol.messages import Member, ViewUpdate
from chicoryproxy.routing.router import create_packet_core
from chicoryproxy.states import MemberState
from chicoryproxy.telemetry.logs import LogFormat, configure_logs
from chicoryproxy.telemetry.metrics import create_metrics
from chicoryproxy.testing import create_tenggara

HOST = "127.45.1.1"
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024


@unique
class Forwarder(Enum):
    """The forwarders to compare."""

    BARE = "bare uvloop forwarder"
    CLEAN = "entry, clean slots, logs on"
    SAMPLED = "entry, clean slots, one in 100 repeated lines"
    QUIET = "entry, clean slots, logs off"
    CONTESTED = "entry, every slot contested, logs on"


class BareForwarder(asyncio.DatagramProtocol):
    """Forwards every datagram to one address.

    :param target: host and port.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.count = 0
        self._target = target

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram."""
        self.count += 1
        self._transport.sendto(data, self._target)


class CountingTransport:
    """A stub of the peer transport that only counts messages."""

    def __init__(self) -> None:
        self.sent = 0

    def set_peers(self, peers: Mapping[InstanceId, Endpoint]) -> None:
        """Ignore the peers."""

    def send(self, peer: InstanceId, body: bytes, as_datagram: bool = False) -> None:
        """Count a message and drop it."""
        self.sent += 1


def create_view(target: Endpoint, own: Instance, peers: Sequence[Instance]) -> ViewUpdate:
    """Create a view in which every upstream is ready and has the address ``target``."""
    configuration = create_tenggara().configuration
    services = tuple(_set_upstream_addresses(service, target) for service in configuration.services)
    configuration = Configuration(configuration.version, configuration.domains, services)
    return ViewUpdate(
        number=1,
        configuration=configuration,
        generations=tuple(
            Generation(item.id, configuration.version, item.upstreams) for item in services
        ),
        members=(
            Member(own, MemberState.ALIVE),
            *(Member(peer, MemberState.LEAVING) for peer in peers),
        ),
        conditions=(),
        highest=configuration.version,
        placed=configuration.version,
        stale=False,
    )


def _set_upstream_addresses(service: Service, target: Endpoint) -> Service:
    upstreams = tuple(structs.replace(item, address=target) for item in service.upstreams)
    return structs.replace(service, upstreams=upstreams)


def create_driver(kind: Forwarder, port: int, target: Endpoint) -> EntryDriver:
    """Create the driver and packet core of an entry and apply a view."""
    region = create_tenggara().instances[0].region
    own, peer = (structs.replace(make_instance(index), region=region) for index in range(2))
    settings = Settings(
        instance=own.id,
        domain=own.domain,
        region=region,
        data=Endpoint(HOST, port),
        peer=own.peer,
        view=own.view,
        platform="http://127.0.0.1:1",
        fabric=Endpoint(HOST, 9),
        log_sample=100 if kind is Forwarder.SAMPLED else 1,
    )
    core = create_packet_core(own.id, DomainId(own.domain), RegionId(region))
    transport = CountingTransport()
    driver = EntryDriver(core, settings, lambda receive: transport, create_metrics(None, own.id), 1)
    peers = (peer,) if kind is Forwarder.CONTESTED else ()
    driver.receive_update(create_view(target, own, peers))
    return driver


def run_forwarder(kind: Forwarder, port: int, target: Endpoint, control: Connection) -> None:
    """Forward packets until an empty message arrives; target of a forwarder's process."""
    with (
        open(os.devnull, "w") as output,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        configure_logs(LogFormat.JSON, output)
        logging.getLogger("chicoryproxy").disabled = kind is Forwarder.QUIET
        runner.run(_forward(kind, port, target, control))


async def _forward(kind: Forwarder, port: int, target: Endpoint, control: Connection) -> None:
    if kind is Forwarder.BARE:
        await _forward_bare(port, target, control)
        return
    driver = create_driver(kind, port, target)
    loop = asyncio.get_running_loop()
    driver.data.set_loop(loop)
    tasks = [loop.create_task(driver.data.start()), loop.create_task(_tick(driver, kind))]
    await _measure(control, lambda: driver._forwarded, lambda: driver.route_log.lost)
    for task in tasks:
        task.cancel()


async def _tick(driver: EntryDriver, kind: Forwarder) -> None:
    while True:
        driver.tick()
        if kind is Forwarder.QUIET:
            driver.route_log._queue.clear()
        else:
            driver.route_log.flush()
        await asyncio.sleep(TICK_S)


async def _forward_bare(port: int, target: Endpoint, control: Connection) -> None:
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_datagram_endpoint(
        lambda: BareForwarder((target.host, target.port)), local_addr=(HOST, port)
    )
    udp_socket = transport.get_extra_info("socket")
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    await _measure(control, lambda: protocol.count, lambda: 0)
    transport.close()


async def _measure(
    control: Connection, count: Callable[[], int], count_lost: Callable[[], int]
) -> None:
    """Answer each message with the throughput since the previous one; stop at an empty one."""
    control.send(b"ready")
    meter = ThroughputMeter(count, count_lost)
    while await _receive(control):
        control.send(meter.read())


async def _receive(control: Connection) -> bytes:
    """Wait for a message without blocking the event loop."""
    loop = asyncio.get_running_loop()
    arrived = asyncio.Event()
    loop.add_reader(control.fileno(), arrived.set)
    await arrived.wait()
    loop.remove_reader(control.fileno())
    return control.recv()


class RunningForwarder:
    """Runs a forwarder in a process, with the socket that it forwards to.

    :ivar address: host and port on which the forwarder receives packets.
    :ivar sink: socket that receives the forwarded packets.
    """

    def __init__(self, kind: Forwarder) -> None:
        self.sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sink.bind((HOST, 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind((HOST, 0))
            port = free.getsockname()[1]
        self.address = (HOST, port)
        target = Endpoint(HOST, self.sink.getsockname()[1])
        self._control, remote = multiprocessing.Pipe()
        self._process = multiprocessing.Process(
            target=run_forwarder, args=(kind, port, target, remote)
        )

    def __enter__(self) -> "RunningForwarder":
        self._process.start()
        self._control.recv()
        time.sleep(0.1)
        return self

    def __exit__(self, *_: object) -> None:
        self._control.send(b"")
        self._process.join()
        self.sink.close()

    def read_throughput(self) -> Throughput:
        """Return the throughput since the last call."""
        self._control.send(b"ask")
        return self._control.recv()
