"""Tables and plots of docs/CAPACITY.md: ``make capacity``, or ``python -m benchmarks.capacity``.

Measures how membership and versions scale with the number of members, the time to choose homes,
the cost of a view of the target fleet's size at one entry, and the bytes of flow hints. Prints
Markdown tables and writes docs/capacity/*.svg. ``--sizes`` sets the numbers of members, and
``--large`` adds single control cores in fleets of 1,025 and 4,100 members.
"""

import argparse
import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path

import matplotlib
from msgspec import Struct, structs

from benchmarks import control_slopes
from benchmarks.sizes import FleetSize, create_fleet
from chicoryproxy.ids import FlowKey, ServiceId, SlotIndex, UpstreamId, Version
from chicoryproxy.model import Configuration, Generation
from chicoryproxy.network import codec
from chicoryproxy.protocol.messages import (
    FlowHints,
    FlowRecord,
    Member,
    SlotName,
    VersionBody,
    ViewUpdate,
)
from chicoryproxy.rendezvous import choose_homes
from chicoryproxy.routing.router import create_packet_core
from chicoryproxy.states import MemberState

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402

PLOT_FOLDER = Path(__file__).parents[1] / "docs" / "capacity"
MEMBER_COUNTS = (10, 50, 100, 200)
REGION_MEMBERS = 1025
HOME_MEMBERS = (10, 30, 100, 300, REGION_MEMBERS)
HOME_SLOT_COUNT = 100
HINT_COUNTS = (1, 2, 4, 8, 16, 36)
SERVICE_COUNTS = (100, 1000, 4000, 13_000)
CHANGES_PER_DAY = 3100
UPSTREAM_CHANGES_PER_DAY = 775
CONTESTED_FLOWS = 6250
DAY_S = 86_400
OVERHEAD_BYTES_PER_MESSAGE = 72
MAX_CONTROL_BYTES_PER_S = 4096
SAMPLE_SERVICE_COUNT = 500
TICK_COUNT = 100
TICK_S = 0.02


class ViewRow(Struct, frozen=True):
    """Cost at one entry of a view with a given number of services.

    :param link_bytes: bytes of the view on the link; every change sends the whole view.
    :param body_bytes: bytes of the configuration as one view process sends it to another.
    :param state_mb: megabytes of the entry's state, including the decoded view.
    :param decode_s: processor time to decode the view, in seconds.
    :param unchanged_s: processor time to apply a view without changes, in seconds.
    :param version_s: processor time to apply a new version, in seconds.
    :param tick_us: processor time of a tick without work, in microseconds.
    """

    services: int
    link_bytes: int
    body_bytes: int
    state_mb: float
    decode_s: float
    unchanged_s: float
    version_s: float
    tick_us: float


def measure_cpu_s(call: Callable[[], object]) -> float:
    """Return the processor time of a call in seconds."""
    began = time.process_time()
    call()
    return time.process_time() - began


def measure_view(services: int) -> ViewRow:
    """Measure a view with about two upstreams per service and as many members as a region."""
    fleet = create_fleet(FleetSize(services * 24 // 13, services, 9))
    view = _create_view(fleet)
    own = view.members[0].instance
    data = codec.encode(view)
    size = len(data)
    decode_s = measure_cpu_s(lambda: codec.decode_link_message(data))
    gc.collect()
    tracemalloc.start()
    decoded = [codec.decode_link_message(data)]
    core = create_packet_core(own.id, own.domain, own.region)
    core.update_view(decoded[0], 1.0)
    gc.collect()
    state = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    unchanged_s = measure_cpu_s(lambda: core.update_view(structs.replace(view, number=2), 1.1))
    newer = structs.replace(fleet, version=Version(2))
    update = structs.replace(view, number=3, configuration=newer, highest=Version(2))
    version_s = measure_cpu_s(lambda: core.update_view(update, 1.2))
    tick_s = measure_cpu_s(lambda: [core.tick(1.3 + step * TICK_S) for step in range(TICK_COUNT)])
    body = VersionBody(fleet, (), (), ())
    return ViewRow(
        services,
        size,
        len(codec.encode(body)),
        state / 1e6,
        decode_s,
        unchanged_s,
        version_s,
        tick_s / TICK_COUNT * 1e6,
    )


def _create_view(fleet: Configuration) -> ViewUpdate:
    domain = fleet.domains[0]
    members = tuple(
        Member(
            structs.replace(
                control_slopes.make_instance(index), domain=domain.id, region=domain.region
            ),
            MemberState.ALIVE,
        )
        for index in range(REGION_MEMBERS)
    )
    generations = tuple(
        Generation(service.id, fleet.version, service.upstreams) for service in fleet.services
    )
    return ViewUpdate(1, fleet, generations, members, (), fleet.version, fleet.version, stale=False)


def report_slots() -> None:
    """Print the memory and build time of a service's slots, extrapolated from a sample.

    Services have about two upstreams each.
    """
    fleet = create_fleet(FleetSize(SAMPLE_SERVICE_COUNT * 24 // 13, SAMPLE_SERVICE_COUNT, 9))
    view = _create_view(fleet)
    own = view.members[0].instance
    bytes_per_service, elapsed_s = [], []
    for is_traced in (True, False):
        core = create_packet_core(own.id, own.domain, own.region)
        core.update_view(view, 1.0)
        view_state = core._context.view
        routes = list(view_state.routes.values())
        gc.collect()
        if is_traced:
            tracemalloc.start()
            for route in routes:
                view_state.get_slots(route, 1.0)
            bytes_per_service.append(tracemalloc.get_traced_memory()[0] / len(routes))
            tracemalloc.stop()
        else:
            began = time.process_time()
            for route in routes:
                view_state.get_slots(route, 1.0)
            elapsed_s.append((time.process_time() - began) / len(routes))
    total = bytes_per_service[0] * SERVICE_COUNTS[-1] / 1e6
    print(
        f"slots of a service: {bytes_per_service[0]:.0f} bytes, {elapsed_s[0] * 1e3:.2f} ms "
        f"to build; of {SERVICE_COUNTS[-1]:,}: {total:.1f} MB, "
        f"{elapsed_s[0] * SERVICE_COUNTS[-1]:.1f} s"
    )


def measure_homes_us(members: int) -> float:
    """Return the processor time to choose the homes of one slot, in microseconds."""
    names = [control_slopes.make_instance(index).id for index in range(members)]
    slots = [
        SlotName(ServiceId("service"), SlotIndex(slot), 512) for slot in range(HOME_SLOT_COUNT)
    ]
    elapsed_s = measure_cpu_s(lambda: [choose_homes(slot, names) for slot in slots])
    return elapsed_s / HOME_SLOT_COUNT * 1e6


def measure_hint_bytes(count: int) -> float:
    """Return the bytes per hint in a message of ``count`` hints, with headers and seal."""
    records = tuple(
        FlowRecord(FlowKey(0x9E3779B97F4A7C15 * (flow + 1) % 2**64), service, upstream)
        for flow in range(count)
        for service, upstream in [(ServiceId("service-00012"), UpstreamId("service-00012-00012"))]
    )
    return (len(codec.encode(FlowHints(records))) + OVERHEAD_BYTES_PER_MESSAGE) / count


def draw_plot(
    name: str, label: str, lines: dict[str, tuple[Sequence[float], Sequence[float]]]
) -> None:
    """Write an SVG plot of values against the number of members or services."""
    PLOT_FOLDER.mkdir(parents=True, exist_ok=True)
    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    for title, (across, values) in lines.items():
        axes.plot(across, values, marker="o", label=title)
    axes.set_ylabel(label)
    axes.set_xlabel("number of members or services")
    axes.legend()
    axes.grid(visible=True)
    figure.tight_layout()
    figure.savefig(PLOT_FOLDER / f"{name}.svg", metadata={"Date": None})
    pyplot.close(figure)


def report_views(counts: Sequence[int]) -> None:
    """Measure views with several numbers of services, print a table and plot it."""
    rows = [measure_view(count) for count in counts]
    print(
        "| services | link bytes | version bytes | version B/s at 3,100 a day | state MB ", end=""
    )
    print("| decode s | unchanged view s | new version s | idle tick us |")
    print("|---:|---:|---:|---:|---:|---:|---:|---:|---:|")
    for row in rows:
        rate = row.body_bytes * CHANGES_PER_DAY / DAY_S
        print(
            f"| {row.services} | {row.link_bytes:,} | {row.body_bytes:,} | {rate:,.0f} "
            f"| {row.state_mb:.1f} | {row.decode_s:.3f} | {row.unchanged_s:.3f} "
            f"| {row.version_s:.3f} | {row.tick_us:.0f} |"
        )
    services = [row.services for row in rows]
    draw_plot(
        "view-memory", "MB at one entry", {"state": (services, [row.state_mb for row in rows])}
    )
    draw_plot(
        "view-time",
        "seconds of a core",
        {
            "unchanged view": (services, [row.unchanged_s for row in rows]),
            "new version": (services, [row.version_s for row in rows]),
        },
    )


def report_homes() -> None:
    """Measure the choice of homes, print a table and plot it."""
    times = [measure_homes_us(members) for members in HOME_MEMBERS]
    print("| members | us for the homes of a slot |")
    print("|---:|---:|")
    for members, elapsed_s in zip(HOME_MEMBERS, times, strict=True):
        print(f"| {members} | {elapsed_s:.0f} |")
    draw_plot("homes", "microseconds for a slot", {"homes": (HOME_MEMBERS, times)})


def report_hints() -> None:
    """Print the bytes per hint and the resulting rate in a region of the target fleet."""
    print("| hints in a message | bytes a hint | B/s for each entry |")
    print("|---:|---:|---:|")
    for count in HINT_COUNTS:
        size = measure_hint_bytes(count)
        rate = CONTESTED_FLOWS * size * UPSTREAM_CHANGES_PER_DAY / DAY_S
        print(f"| {count} | {size:.0f} | {rate:.0f} |")


def report_slopes(sizes: Sequence[int]) -> None:
    """Measure the control core with several numbers of members, print a table and plot it."""
    interval_s = control_slopes.FleetLimits().probe_interval_s
    rows = [control_slopes.measure(members, interval_s) for members in sizes]
    control_slopes.print_rows(rows)
    draw_plot(
        "control-bytes",
        "bytes per second",
        {
            "steady": (sizes, [row.steady_bytes_per_s for row in rows]),
            "an instance replaced every 10 s": (sizes, [row.churn_bytes_per_s for row in rows]),
            "limit": (sizes, [MAX_CONTROL_BYTES_PER_S for _ in rows]),
        },
    )
    draw_plot("control-cpu", "share of a core", {"view": (sizes, [row.cpu_share for row in rows])})
    draw_plot("control-memory", "bytes", {"view": (sizes, [row.state_bytes for row in rows])})


def main() -> None:
    """Run all capacity benchmarks."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=MEMBER_COUNTS)
    parser.add_argument("--services", type=int, nargs="+", default=SERVICE_COUNTS)
    parser.add_argument("--large", action="store_true")
    options = parser.parse_args()
    report_hints()
    print()
    report_homes()
    print()
    report_slots()
    print()
    report_views(options.services)
    print(flush=True)
    report_slopes(options.sizes)
    if options.large:
        print()
        control_slopes.print_single_cores(
            [control_slopes.measure_single_core(*size) for size in control_slopes.LARGE_FLEETS]
        )


if __name__ == "__main__":
    main()
