"""``chicory-demo``: a complete fleet under load, in one process on one event loop.

Callers open thousands of flows whose packets are sprayed over the entries of three failure domains,
while one failure domain is taken out of service and brought back and one entry is replaced.
"""

import asyncio
import os
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Annotated

import cappa
import uvloop
from msgspec import Struct
from rich.console import Console
from rich.table import Table

from chicoryproxy.commands.demo_fleet import DOMAINS, TARGET, DemoFleet
from chicoryproxy.configuration.logformat import LogFormat
from chicoryproxy.ids import UpstreamId, Version
from chicoryproxy.network.segment import TcpEndpoint
from chicoryproxy.telemetry.logs import configure_logs
from chicoryproxy.testing.caller_standin import CallerFlow, FlowEnd

UPSTREAM_COUNT = 7
INSTANCE_COUNT = 6
OUT_DOMAIN = DOMAINS[2]
PAYLOAD = b"is heat number 7 certified?"
STEP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
PHASE_DURATION_S = 4.0
REQUEST_INTERVAL_S = 1.0
MAX_CONCURRENT_OPENINGS = 200
EXIT_CODE_BROKEN = 1


@cappa.command(
    name="chicory-demo",
    help="Run a complete fleet under load in one process.",
    description="Example: `chicory-demo --flows 3000`. Exits with code 1 if a flow broke.",
)
@dataclass
class DemoOptions:
    """Options of ``chicory-demo``."""

    flows: Annotated[int, cappa.Arg(long=True, help="Number of flows to open.")] = 3000
    seed: Annotated[
        int, cappa.Arg(long=True, help="Random seed of packet spraying and the cores.")
    ] = 1


class DemoResult(Struct, frozen=True):
    """Counts of a run.

    :param broken: established flows that ended although they had to survive.
    :param given_up: established flows that ended because their failure domain was taken out.
    :param imbalance: openings of the busiest upstream divided by the mean of all.
    :param control_bytes_per_s: mean bytes per second that one instance sends to peers, passed
        packets included.
    """

    opened: int
    answered: int
    broken: int
    refused: int
    unanswered: int
    given_up: int
    imbalance: float
    control_bytes_per_s: float


class Demo:
    """One run of the demo."""

    def __init__(self, options: DemoOptions, console: Console) -> None:
        self._console = console
        self._flows = options.flows
        self._fleet = DemoFleet(options.seed)
        self._upstream_of: dict[TcpEndpoint, UpstreamId] = {}
        self._is_stopping = False
        self._started_at = time.monotonic()

    async def run(self) -> DemoResult:
        """Run all steps and return the resulting counts."""
        fleet = self._fleet
        await fleet.start(UPSTREAM_COUNT, INSTANCE_COUNT)
        await self._wait_until("every entry has version 1", lambda: fleet.has_version(Version(1)))
        self._started_at = time.monotonic()
        traffic = asyncio.create_task(self._run_callers())
        progress = asyncio.create_task(self._show_progress())
        await asyncio.sleep(PHASE_DURATION_S)
        await self._take_domain_out()
        await asyncio.sleep(PHASE_DURATION_S)
        await self._replace_entry()
        await asyncio.sleep(PHASE_DURATION_S)
        self._is_stopping = True
        self._console.print("callers close their flows")
        await traffic
        progress.cancel()
        result = self._count()
        await fleet.stop()
        return result

    async def _take_domain_out(self) -> None:
        fleet = self._fleet
        self._console.print(f"failure domain {OUT_DOMAIN} is taken out of service")
        version = await fleet.publish(out=frozenset((OUT_DOMAIN,)))
        await self._wait_until("every entry has the version", lambda: fleet.has_version(version))
        await asyncio.sleep(PHASE_DURATION_S)
        self._console.print(f"failure domain {OUT_DOMAIN} is brought back into service")
        version = await fleet.publish()
        await self._wait_until("every entry has the version", lambda: fleet.has_version(version))

    async def _replace_entry(self) -> None:
        fleet = self._fleet
        leaving = next(iter(fleet.instances.values()))
        self._console.print(f"{leaving.instance.id} is replaced")
        added = fleet.add_instance()
        version = await fleet.publish(leaving=frozenset((leaving.instance.id,)))
        await self._wait_until("the new entry has the version", lambda: added.version >= version)
        await leaving.leave()
        del fleet.instances[leaving.instance.id]
        self._console.print(f"{leaving.instance.id} has stopped")

    async def _run_callers(self) -> None:
        """Open the flows over the first phases, with a bounded number of concurrent openings."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_OPENINGS)
        opening_interval_s = 3 * PHASE_DURATION_S / self._flows
        async with asyncio.TaskGroup() as group:
            for number in range(self._flows):
                source = TcpEndpoint(f"10.9.{number >> 8 & 255}.{number & 255}", 40_000)
                group.create_task(self._run_caller(source, semaphore))
                await asyncio.sleep(opening_interval_s)

    async def _run_caller(self, source: TcpEndpoint, semaphore: asyncio.Semaphore) -> None:
        """Open a flow, send requests until the run ends, and close the flow."""
        flow = self._fleet.callers.create_flow(source, TARGET)
        async with semaphore:
            end = await flow.open(time.monotonic())
        upstream = self._fleet.find_upstream(source)
        if upstream is not None:
            self._upstream_of[source] = upstream
        while end is FlowEnd.OPEN:
            end = await flow.request(PAYLOAD, time.monotonic())
            if self._is_stopping:
                break
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await flow.close(time.monotonic())

    async def _show_progress(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            ends = self._fleet.callers.count_ends()
            answered = sum(flow.answered for flow in self._fleet.callers.flows.values())
            text = ", ".join(f"{count} {end.value}" for end, count in sort_ends(ends))
            self._console.print(
                f"[dim]{time.monotonic() - self._started_at:5.1f} s[/dim] {text}, "
                f"{answered} answers"
            )

    async def _wait_until(self, description: str, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds.

        :raises TimeoutError: if it does not hold within ``STEP_TIMEOUT_S``.
        """
        started = time.monotonic()
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)
        self._console.print(f"{description} after {time.monotonic() - started:.2f} s")

    def _count(self) -> DemoResult:
        fleet = self._fleet
        flows = list(fleet.callers.flows.values())
        outcomes = Counter(self._classify(flow) for flow in flows)
        openings = [upstream.openings for upstream in fleet.upstreams.values()]
        seconds = time.monotonic() - self._started_at
        control = [instance.control_bytes for instance in fleet.instances.values()]
        return DemoResult(
            opened=len(flows) - outcomes["refused"] - outcomes["unanswered"],
            answered=sum(flow.answered for flow in flows),
            broken=outcomes["broken"],
            refused=outcomes["refused"],
            unanswered=outcomes["unanswered"],
            given_up=outcomes["given up"],
            imbalance=max(openings) * len(openings) / max(sum(openings), 1),
            control_bytes_per_s=sum(control) / len(control) / seconds,
        )

    def _classify(self, flow: CallerFlow) -> str:
        if flow.end is FlowEnd.CLOSED:
            return "survived"
        if flow.end is FlowEnd.REFUSED:
            return "refused"
        upstream = flow.upstream or self._upstream_of.get(flow.source)
        if upstream is None:
            return "unanswered"
        domain = self._fleet.domains.get(upstream)
        ended_with_domain = domain == OUT_DOMAIN and flow.end in (FlowEnd.RESET, FlowEnd.SILENT)
        return "given up" if ended_with_domain else "broken"


def sort_ends(ends: Counter[FlowEnd]) -> list[tuple[FlowEnd, int]]:
    """Return the nonzero counts in the order of ``FlowEnd``."""
    return [(end, ends[end]) for end in FlowEnd if ends[end]]


def render(result: DemoResult) -> Table:
    """Return the result table of a run."""
    table = Table(title="chicoryproxy demo")
    table.add_column("measure")
    table.add_column("value", justify="right")
    table.add_row("flows opened", str(result.opened))
    table.add_row("requests answered", str(result.answered))
    table.add_row("flows broken that had to survive", str(result.broken))
    table.add_row("openings refused", str(result.refused))
    table.add_row("openings unanswered", str(result.unanswered))
    table.add_row(f"flows given up with {OUT_DOMAIN}", str(result.given_up))
    table.add_row("imbalance of openings (max/mean)", f"{result.imbalance:.2f}")
    table.add_row("bytes/s to peers per instance", f"{result.control_bytes_per_s:.0f}")
    return table


def main(argv: Sequence[str] | None = None) -> None:
    """Run ``chicory-demo`` and exit."""
    options = cappa.parse(DemoOptions, argv=None if argv is None else list(argv))
    console = Console()
    with open(os.devnull, "w") as null_device:
        configure_logs(LogFormat.JSON, null_device)
        result = uvloop.run(Demo(options, console).run())
    console.print(render(result))
    sys.exit(EXIT_CODE_BROKEN if result.broken else 0)


if __name__ == "__main__":
    main()
