"""Packets per second of the entry's data path against a bare uvloop UDP forwarder.

Each forwarder runs in a process of its own. Two sources overload it for ``MEASURED_S`` while it
counts the packets that it forwards. Then one source at a fixed rate measures the added latency.
``python -m benchmarks.forwarding`` prints both; ``--rounds`` sets the rounds for each forwarder.
"""

import argparse
import asyncio
import itertools
import logging
import multiprocessing
import os
import resource
import socket
import statistics
import time
from collections.abc import Callable, Mapping, Sequence
from enum import Enum, unique
from ipaddress import ip_address
from multiprocessing.connection import Connection

import uvloop
from hdrh.histogram import HdrHistogram
from msgspec import Struct, structs

from benchmarks.control_slopes import make_instance
from chicoryproxy.configuration.settings import Settings
from chicoryproxy.ids import DomainId, InstanceId, RegionId
from chicoryproxy.model import Configuration, Endpoint, Generation, Instance, Service
from chicoryproxy.processes.entrydriver import TICK_S, EntryDriver
from chicoryproxy.protocol.messages import Member, ViewUpdate
from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_FIN, FLAG_SYN
from chicoryproxy.routing.router import create_packet_core
from chicoryproxy.states import MemberState
from chicoryproxy.telemetry.logs import LogFormat, configure_logs
from chicoryproxy.telemetry.metrics import create_metrics
from chicoryproxy.testing import Segment, create_tenggara

HOST = "127.45.1.1"
FLOW_COUNT = 2000
DATA_PACKETS = 8
DATA_PAYLOAD = b"x" * 200
SOURCE_COUNT = 2
MAX_PACKETS_PER_SOURCE = 2_000_000
WARM_UP_S = 1.0
MEASURED_S = 3.0
LATENCY_PACKETS = 10_000
LATENCY_PACKETS_PER_S = 5000
MAX_LATENCY_US = 1_000_000
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
DEFAULT_ROUNDS = 5


@unique
class Forwarder(Enum):
    """The forwarders to compare."""

    BARE = "bare uvloop forwarder"
    CLEAN = "entry, clean slots, logs on"
    SAMPLED = "entry, clean slots, one in 100 repeated lines"
    QUIET = "entry, clean slots, logs off"
    CONTESTED = "entry, every slot contested, logs on"


class Throughput(Struct, frozen=True):
    """Results of a forwarder in one round.

    :param packets_per_s: packets forwarded per second.
    :param user_us: user processor time per packet, in microseconds.
    :param system_us: system processor time per packet, in microseconds.
    :param lines: log lines written per second.
    :param lost: log lines dropped per second because the queue was full.
    """

    packets_per_s: float
    user_us: float
    system_us: float
    lines: float = 0.0
    lost: float = 0.0


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
    loop = asyncio.get_running_loop()
    started, before = time.perf_counter(), resource.getrusage(resource.RUSAGE_SELF)
    counted, lost = count(), count_lost()
    while True:
        arrived = asyncio.Event()
        loop.add_reader(control.fileno(), arrived.set)
        await arrived.wait()
        loop.remove_reader(control.fileno())
        if not control.recv():
            return
        now, usage = time.perf_counter(), resource.getrusage(resource.RUSAGE_SELF)
        packets, seconds = max(1, count() - counted), now - started
        user, system = usage.ru_utime - before.ru_utime, usage.ru_stime - before.ru_stime
        control.send(
            Throughput(
                packets / seconds,
                user / packets * 1e6,
                system / packets * 1e6,
                lost=(count_lost() - lost) / seconds,
            )
        )
        started, before, counted, lost = now, usage, count(), count_lost()


def create_packets(first_caller: int) -> list[bytes]:
    """Create the packets of many flows, interleaved: SYN of all flows, then data, then FIN."""
    target = ip_address("198.51.100.1").packed
    steps = [
        (FLAG_SYN, b""),
        *((FLAG_ACK, DATA_PAYLOAD),) * DATA_PACKETS,
        (FLAG_FIN | FLAG_ACK, b""),
    ]
    return [
        Segment(
            (first_caller + flow % 16).to_bytes(4), 1024 + flow, target, 443, flags, 1, 1, data
        ).pack()
        for flags, data in steps
        for flow in range(FLOW_COUNT)
    ]


def flood(address: tuple[str, int], first_caller: int, until_s: float) -> None:
    """Send packets as fast as the socket accepts them; target of a source's process."""
    packets = create_packets(first_caller)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as source:
        source.connect(address)
        send = source.send
        for number, packet in enumerate(itertools.cycle(packets)):
            if number >= MAX_PACKETS_PER_SOURCE or (
                number % 256 == 0 and time.monotonic() >= until_s
            ):
                return
            try:
                send(packet)
            except ConnectionError:
                return


def measure_throughput(kind: Forwarder) -> Throughput:
    """Overload a forwarder and return its throughput."""
    with RunningForwarder(kind) as running:
        until_s = time.monotonic() + WARM_UP_S + MEASURED_S + 1.0
        sources = [
            multiprocessing.Process(
                target=flood, args=(running.address, 0x0A000001 + index * 16, until_s)
            )
            for index in range(SOURCE_COUNT)
        ]
        for source in sources:
            source.start()
        time.sleep(WARM_UP_S)
        running.read_throughput()
        time.sleep(MEASURED_S)
        throughput = running.read_throughput()
        for source in sources:
            source.join()
    return throughput


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


def measure_latency(kind: Forwarder | None) -> HdrHistogram:
    """Send at a fixed rate and measure the time until each packet reaches the upstream.

    :param kind: ``None`` sends to the upstream directly.
    """
    if kind is None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
            sink.bind((HOST, 0))
            return _time_packets(sink.getsockname(), sink)
    with RunningForwarder(kind) as running:
        return _time_packets(running.address, running.sink)


def _time_packets(address: tuple[str, int], sink: socket.socket) -> HdrHistogram:
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    packets = create_packets(0x0A000001)
    sink.settimeout(1.0)
    send_at_s = time.perf_counter()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as source:
        source.connect(address)
        for packet in itertools.islice(itertools.cycle(packets), LATENCY_PACKETS):
            send_at_s += 1.0 / LATENCY_PACKETS_PER_S
            while time.perf_counter() < send_at_s:
                pass
            started = time.perf_counter_ns()
            source.send(packet)
            try:
                sink.recv(2048)
            except TimeoutError:
                continue
            histogram.record_value(max(1, (time.perf_counter_ns() - started) // 1000))
    return histogram


def print_throughput(rounds: int) -> None:
    """Measure all forwarders in alternation and print their medians."""
    results: dict[Forwarder, list[Throughput]] = {kind: [] for kind in Forwarder}
    for _ in range(rounds):
        for kind in Forwarder:
            results[kind].append(measure_throughput(kind))
    bare = [item.packets_per_s for item in results[Forwarder.BARE]]
    print(
        "| forwarder | packets/s | lowest..highest | ratio | user us | system us | lost lines/s |"
    )
    print("|---|---:|---:|---:|---:|---:|---:|")
    for kind, items in results.items():
        rates = [item.packets_per_s for item in items]
        ratio = statistics.median(
            packets_per_s / one for packets_per_s, one in zip(rates, bare, strict=True)
        )
        print(
            f"| {kind.value} | {statistics.median(rates):.0f} "
            f"| {min(rates):.0f}..{max(rates):.0f} | {ratio:.2f} "
            f"| {statistics.median(item.user_us for item in items):.1f} "
            f"| {statistics.median(item.system_us for item in items):.1f} "
            f"| {statistics.median(item.lost for item in items):.0f} |"
        )


def print_latency() -> None:
    """Measure the latency without a forwarder and with each, and print the difference."""
    print("| path | arrived | p50 us | p99 us | added p50 us | added p99 us |")
    print("|---|---:|---:|---:|---:|---:|")
    direct = measure_latency(None)
    base = direct.get_value_at_percentile(50), direct.get_value_at_percentile(99)
    for kind in (None, Forwarder.BARE, Forwarder.CLEAN, Forwarder.CONTESTED):
        histogram = direct if kind is None else measure_latency(kind)
        p50, p99 = histogram.get_value_at_percentile(50), histogram.get_value_at_percentile(99)
        print(
            f"| {kind.value if kind else 'direct'} | {histogram.get_total_count()} of "
            f"{LATENCY_PACKETS} | {p50} | {p99} | {p50 - base[0]} | {p99 - base[1]} |"
        )


def main() -> None:
    """Measure throughput and latency and print both tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=DEFAULT_ROUNDS)
    options = parser.parse_args()
    print_throughput(options.rounds)
    print()
    print_latency()


if __name__ == "__main__":
    main()
