"""Figures and plots of docs/CAPACITY.md: ``make capacity``, or ``python -m benchmarks.capacity``.

Measures the slopes of membership and versions, the choice of homes, a view of the target's size
at one entry, and hints; prints them as tables in Markdown and draws docs/capacity/*.svg.
``--sizes`` sets the numbers of members, ``--large`` adds single cores among 1,025 and 4,100.
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

PLOTS = Path(__file__).parents[1] / "docs" / "capacity"
SIZES = (10, 50, 100, 200)
REGION_MEMBERS = 1025
HOME_MEMBERS = (10, 30, 100, 300, REGION_MEMBERS)
HOME_SLOTS = 100
HINT_COUNTS = (1, 2, 4, 8, 16, 36)
SERVICE_COUNTS = (100, 1000, 4000, 13_000)
CHANGES_PER_DAY = 3100
UPSTREAM_CHANGES_PER_DAY = 775
CONTESTED_FLOWS = 6250
DAY_S = 86_400
HEADERS_BYTES = 72
MAX_CONTROL_BYTES_PER_S = 4096
SAMPLE_SERVICES = 500
TICKS = 100
TICK_S = 0.02


class ViewRow(Struct, frozen=True):
    """A view of one size at one entry.

    :param link_bytes: bytes of the view on the link; every change sends it whole.
    :param body_bytes: bytes of the configuration between two views.
    :param state_mb: megabytes of the entry's state, the decoded view included.
    :param decode_s: processor time to decode the view.
    :param unchanged_s: processor time for a view that changes nothing.
    :param version_s: processor time for a new version.
    """

    services: int
    link_bytes: int
    body_bytes: int
    state_mb: float
    decode_s: float
    unchanged_s: float
    version_s: float
    tick_us: float


def time_call(call: Callable[[], object]) -> float:
    """Return the processor time of a call in seconds."""
    began = time.process_time()
    call()
    return time.process_time() - began


def measure_view(services: int) -> ViewRow:
    """Measure a view with about two upstreams for each service and the members of a region."""
    fleet = create_fleet(FleetSize(services * 24 // 13, services, 9))
    view = _create_view(fleet)
    own = view.members[0].instance
    data = codec.encode(view)
    size = len(data)
    decode_s = time_call(lambda: codec.decode_link_message(data))
    gc.collect()
    tracemalloc.start()
    decoded = [codec.decode_link_message(data)]
    core = create_packet_core(own.id, own.domain, own.region)
    core.update_view(decoded[0], 1.0)
    gc.collect()
    state = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    unchanged_s = time_call(lambda: core.update_view(structs.replace(view, number=2), 1.1))
    newer = structs.replace(fleet, version=Version(2))
    update = structs.replace(view, number=3, configuration=newer, highest=Version(2))
    version_s = time_call(lambda: core.update_view(update, 1.2))
    tick_s = time_call(lambda: [core.tick(1.3 + step * TICK_S) for step in range(TICKS)])
    body = VersionBody(fleet, (), (), ())
    return ViewRow(
        services,
        size,
        len(codec.encode(body)),
        state / 1e6,
        decode_s,
        unchanged_s,
        version_s,
        tick_s / TICKS * 1e6,
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
    """Print what the slots of services with about two upstreams cost, from a sample."""
    fleet = create_fleet(FleetSize(SAMPLE_SERVICES * 24 // 13, SAMPLE_SERVICES, 9))
    view = _create_view(fleet)
    own = view.members[0].instance
    used, spent = [], []
    for is_traced in (True, False):
        core = create_packet_core(own.id, own.domain, own.region)
        core.update_view(view, 1.0)
        world = core._context.view
        routes = list(world.routes.values())
        gc.collect()
        if is_traced:
            tracemalloc.start()
            for route in routes:
                world.get_slots(route, 1.0)
            used.append(tracemalloc.get_traced_memory()[0] / len(routes))
            tracemalloc.stop()
        else:
            began = time.process_time()
            for route in routes:
                world.get_slots(route, 1.0)
            spent.append((time.process_time() - began) / len(routes))
    total = used[0] * SERVICE_COUNTS[-1] / 1e6
    print(
        f"slots of a service: {used[0]:.0f} bytes, {spent[0] * 1e3:.2f} ms to build; "
        f"of {SERVICE_COUNTS[-1]:,}: {total:.1f} MB, {spent[0] * SERVICE_COUNTS[-1]:.1f} s"
    )


def measure_homes(members: int) -> float:
    """Return the processor time of one choice of homes, in microseconds."""
    names = [control_slopes.make_instance(index).id for index in range(members)]
    slots = [SlotName(ServiceId("service"), SlotIndex(slot), 512) for slot in range(HOME_SLOTS)]
    spent = time_call(lambda: [choose_homes(slot, names) for slot in slots])
    return spent / HOME_SLOTS * 1e6


def measure_hint(count: int) -> float:
    """Return the bytes of a hint when a message carries so many, headers and seal included."""
    records = tuple(
        FlowRecord(FlowKey(0x9E3779B97F4A7C15 * (flow + 1) % 2**64), service, upstream)
        for flow in range(count)
        for service, upstream in [(ServiceId("service-00012"), UpstreamId("service-00012-00012"))]
    )
    return (len(codec.encode(FlowHints(records))) + HEADERS_BYTES) / count


def draw(name: str, label: str, lines: dict[str, tuple[Sequence[float], Sequence[float]]]) -> None:
    """Draw lines against their number of members or services into an SVG file."""
    PLOTS.mkdir(parents=True, exist_ok=True)
    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    for title, (across, values) in lines.items():
        axes.plot(across, values, marker="o", label=title)
    axes.set_ylabel(label)
    axes.set_xlabel("number of members or services")
    axes.legend()
    axes.grid(visible=True)
    figure.tight_layout()
    figure.savefig(PLOTS / f"{name}.svg", metadata={"Date": None})
    pyplot.close(figure)


def report_views(counts: Sequence[int]) -> None:
    """Measure, print and draw views of several sizes."""
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
    draw("view-memory", "MB at one entry", {"state": (services, [row.state_mb for row in rows])})
    draw(
        "view-time",
        "seconds of a core",
        {
            "unchanged view": (services, [row.unchanged_s for row in rows]),
            "new version": (services, [row.version_s for row in rows]),
        },
    )


def report_homes() -> None:
    """Measure, print and draw the choice of homes."""
    times = [measure_homes(members) for members in HOME_MEMBERS]
    print("| members | us for the homes of a slot |")
    print("|---:|---:|")
    for members, spent in zip(HOME_MEMBERS, times, strict=True):
        print(f"| {members} | {spent:.0f} |")
    draw("homes", "microseconds for a slot", {"homes": (HOME_MEMBERS, times)})


def report_hints() -> None:
    """Print the bytes of a hint and the sum for a region of the target."""
    print("| hints in a message | bytes a hint | B/s for each entry |")
    print("|---:|---:|---:|")
    for count in HINT_COUNTS:
        size = measure_hint(count)
        rate = CONTESTED_FLOWS * size * UPSTREAM_CHANGES_PER_DAY / DAY_S
        print(f"| {count} | {size:.0f} | {rate:.0f} |")


def report_slopes(sizes: Sequence[int]) -> None:
    """Measure, print and draw the slopes of the control core."""
    interval_s = control_slopes.FleetLimits().probe_interval_s
    rows = [control_slopes.measure(members, interval_s) for members in sizes]
    control_slopes.print_rows(rows)
    draw(
        "control-bytes",
        "bytes per second",
        {
            "steady": (sizes, [row.steady for row in rows]),
            "an instance replaced every 10 s": (sizes, [row.churn for row in rows]),
            "limit": (sizes, [MAX_CONTROL_BYTES_PER_S for _ in rows]),
        },
    )
    draw("control-cpu", "share of a core", {"view": (sizes, [row.cpu for row in rows])})
    draw("control-memory", "bytes", {"view": (sizes, [row.state for row in rows])})


def main() -> None:
    """Measure, print and draw."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
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
        control_slopes.print_large(
            [control_slopes.measure_large(*size) for size in control_slopes.LARGE_FLEETS]
        )


if __name__ == "__main__":
    main()
