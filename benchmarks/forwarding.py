"""Packets per second of the entry's data path against a bare uvloop UDP forwarder.

Each forwarder runs in a process of its own. Two sources overload it for ``MEASURED_S`` while it
counts the packets that it forwards. Then one source at a fixed rate measures the added latency.
``python -m benchmarks.forwarding`` prints both; ``--rounds`` sets the rounds for each forwarder.
"""

import argparse
import itertools
import multiprocessing
import socket
import time
from collections.abc import Sequence
from ipaddress import ip_address
from statistics import median

from hdrh.histogram import HdrHistogram

from benchmarks.forwarders import HOST, Forwarder, RunningForwarder
from benchmarks.throughput import Throughput
from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_FIN, FLAG_SYN
from chicoryproxy.testing import Segment

FLOW_COUNT = 2000
DATA_PACKETS = 8
DATA_PAYLOAD = b"x" * 200
FIRST_CALLER = 0x0A000001
CALLERS_PER_SOURCE = 16
SOURCE_COUNT = 2
MAX_PACKETS_PER_SOURCE = 2_000_000
CLOCK_READ_PACKETS = 256
"""Number of packets between two readings of the clock."""
WARM_UP_S = 1.0
MEASURED_S = 3.0
LATENCY_PACKETS = 10_000
LATENCY_PACKETS_PER_S = 5000
MAX_LATENCY_US = 1_000_000
DEFAULT_ROUNDS = 5


def create_packets(first_caller: int) -> list[bytes]:
    """Create the packets of many flows, interleaved: SYN of all flows, then data, then FIN."""
    steps = [
        (FLAG_SYN, b""),
        *((FLAG_ACK, DATA_PAYLOAD),) * DATA_PACKETS,
        (FLAG_FIN | FLAG_ACK, b""),
    ]
    return [
        _build_packet(first_caller, flow, flags, data)
        for flags, data in steps
        for flow in range(FLOW_COUNT)
    ]


def _build_packet(first_caller: int, flow: int, flags: int, data: bytes) -> bytes:
    caller = (first_caller + flow % CALLERS_PER_SOURCE).to_bytes(4)
    target = ip_address("198.51.100.1").packed
    return Segment(caller, 1024 + flow, target, 443, flags, 1, 1, data).pack()


def flood(address: tuple[str, int], first_caller: int, until_s: float) -> None:
    """Send packets as fast as the socket accepts them; target of a source's process."""
    packets = itertools.cycle(create_packets(first_caller))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as source:
        source.connect(address)
        send = source.send
        for number, packet in enumerate(itertools.islice(packets, MAX_PACKETS_PER_SOURCE)):
            if number % CLOCK_READ_PACKETS == 0 and time.monotonic() >= until_s:
                return
            try:
                send(packet)
            except ConnectionError:
                return


def measure_throughput(kind: Forwarder) -> Throughput:
    """Overload a forwarder and return its throughput."""
    with RunningForwarder(kind) as running:
        until_s = time.monotonic() + WARM_UP_S + MEASURED_S + 1.0
        sources = _start_sources(running.address, until_s)
        time.sleep(WARM_UP_S)
        running.read_throughput()
        time.sleep(MEASURED_S)
        throughput = running.read_throughput()
        for source in sources:
            source.join()
    return throughput


def _start_sources(address: tuple[str, int], until_s: float) -> list[multiprocessing.Process]:
    sources = []
    for index in range(SOURCE_COUNT):
        first_caller = FIRST_CALLER + index * CALLERS_PER_SOURCE
        source = multiprocessing.Process(target=flood, args=(address, first_caller, until_s))
        source.start()
        sources.append(source)
    return sources


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
    packets = create_packets(FIRST_CALLER)
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
    print(
        "| forwarder | packets/s | lowest..highest | ratio | user us | system us | lost lines/s |"
    )
    print("|---|---:|---:|---:|---:|---:|---:|")
    for kind, items in results.items():
        print(_format_throughput(kind, items, results[Forwarder.BARE]))


def _format_throughput(
    kind: Forwarder, items: Sequence[Throughput], bare_items: Sequence[Throughput]
) -> str:
    """Return the table row of a forwarder, with its ratio to the bare forwarder."""
    rates = [item.packets_per_s for item in items]
    ratio = median(
        item.packets_per_s / bare.packets_per_s
        for item, bare in zip(items, bare_items, strict=True)
    )
    return (
        f"| {kind.value} | {median(rates):.0f} "
        f"| {min(rates):.0f}..{max(rates):.0f} | {ratio:.2f} "
        f"| {median(item.user_us for item in items):.1f} "
        f"| {median(item.system_us for item in items):.1f} "
        f"| {median(item.lost for item in items):.0f} |"
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
