"""Opens flows at a fixed rate and verifies every byte of the responses."""

import asyncio
import time
from collections.abc import Awaitable, Sequence
from itertools import count

import aiomisc
from msgspec import Struct

from chicoryproxy.commands.loadrecord import LoadRecord
from chicoryproxy.model import Endpoint
from chicoryproxy.network.segment import TcpEndpoint
from chicoryproxy.prng import Prng
from chicoryproxy.processes.ticker import Ticker
from chicoryproxy.testing.caller_standin import CallerFlow, CallerStandIn, FlowEnd
from chicoryproxy.testing.fabric_standin import FabricStandIn

RETRANSMIT_CHECK_INTERVAL_S = 0.05
FIRST_PORT = 1024
PORTS_PER_CALLER = 60_000
CALLER_PREFIX = "10.77.0."
MAX_CALLERS = 250
MAX_FLOWS = PORTS_PER_CALLER * MAX_CALLERS
BYTE_VALUE_COUNT = 256
MAX_PAYLOAD_BYTES = 1000


class LoadPlan(Struct, frozen=True):
    """Parameters of a run.

    :param targets: addresses that packets are sent to: the fabric, or entries to spray over.
    :param listen: address that receives responses, the ``fabric`` of the instances' settings.
    :param service: address that the callers connect to.
    :param rate: flows opened per second.
    :param flows: number of flows.
    :param seconds: maximum duration of the run.
    :param requests: number of requests per flow.
    :param interval_s: time between two requests of a flow, in seconds.
    :param payload_bytes: size of a request.
    :param seed: random seed of packet spraying and payloads.
    """

    targets: tuple[Endpoint, ...]
    listen: Endpoint
    service: Endpoint
    rate: float
    flows: int
    seconds: float
    requests: int
    interval_s: float
    payload_bytes: int
    seed: int


class LoadRun:
    """Executes a plan on the running event loop."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._clock = time.monotonic
        self._prng = Prng(plan.seed, "load")
        self._fabric = FabricStandIn(
            plan.listen, lambda data: self._callers.receive(data), plan.seed
        )
        self._callers = CallerStandIn(self._fabric.spray, self._clock)
        self._fabric.set_entries(plan.targets)
        self._flow_numbers = count()
        self._service = TcpEndpoint(plan.service.host, plan.service.port)
        self._open_flows: set[CallerFlow] = set()
        self.record = LoadRecord(self._clock())

    async def run(self) -> None:
        """Run until all flows have ended or the maximum duration is reached."""
        services = [self._fabric.socket, Ticker(RETRANSMIT_CHECK_INTERVAL_S, self._callers.tick)]
        tasks = [await _start_service(service) for service in services]
        try:
            await self._run_flows()
        finally:
            for task in tasks:
                task.cancel()
            await self._fabric.socket.stop()
        for flow in self._open_flows:
            end = FlowEnd.SILENT if flow.is_waiting else FlowEnd.OPEN
            self.record.add_end(end, self._clock())

    async def _run_flows(self) -> None:
        try:
            async with asyncio.timeout(self._plan.seconds), asyncio.TaskGroup() as group:
                started_at = self._clock()
                for number in range(self._plan.flows):
                    due_s = started_at + number / self._plan.rate - self._clock()
                    await asyncio.sleep(max(due_s, 0.0))
                    group.create_task(self._run_flow())
        except TimeoutError:
            pass

    async def _run_flow(self) -> None:
        flow = self._create_flow()
        self._open_flows.add(flow)
        end = await self._measure_latency(flow.open(self._clock()))
        for number in range(self._plan.requests):
            if end is not FlowEnd.OPEN:
                break
            end = await self._send_request(flow, is_first=number == 0)
        if end is FlowEnd.OPEN:
            end = await flow.close(self._clock())
        self._open_flows.discard(flow)
        del self._callers.flows[(flow.source, flow.target)]
        self.record.add_end(end, self._clock())

    async def _send_request(self, flow: CallerFlow, is_first: bool) -> FlowEnd:
        if not is_first:
            await asyncio.sleep(self._plan.interval_s)
        end = await self._measure_latency(flow.request(self._draw_payload(), self._clock()))
        if end is FlowEnd.OPEN:
            self.record.add_answer()
            if is_first:
                self.record.add_opening(flow.upstream, self._clock())
        return end

    async def _measure_latency(self, operation: Awaitable[FlowEnd]) -> FlowEnd:
        started_at = self._clock()
        end = await operation
        now = self._clock()
        if end is FlowEnd.OPEN:
            self.record.add_latency(now - started_at, now)
        return end

    def _create_flow(self) -> CallerFlow:
        caller, port = divmod(next(self._flow_numbers), PORTS_PER_CALLER)
        source = TcpEndpoint(f"{CALLER_PREFIX}{caller + 1}", FIRST_PORT + port)
        return self._callers.create_flow(source, self._service)

    def _draw_payload(self) -> bytes:
        values = (self._prng.draw_fraction() for _ in range(self._plan.payload_bytes))
        return bytes(int(value * BYTE_VALUE_COUNT) for value in values)


async def _start_service(service: aiomisc.Service) -> "asyncio.Task[None]":
    loop = asyncio.get_running_loop()
    service.set_loop(loop)
    task = loop.create_task(service.start())
    started = loop.create_task(service.start_event.wait())
    await asyncio.wait((task, started), return_when=asyncio.FIRST_COMPLETED)
    if task.done():
        started.cancel()
        task.result()
    return task


async def run_load(plan: LoadPlan) -> LoadRecord:
    """Execute a plan and return its measurements.

    :raises OSError: if the socket for responses can't be bound.
    """
    run = LoadRun(plan)
    await run.run()
    return run.record


def list_plan_errors(plan: LoadPlan) -> Sequence[str]:
    """Return an error message for each invalid option of a plan."""
    checks = (
        (plan.rate > 0, "--rate must be above 0"),
        (0 < plan.flows <= MAX_FLOWS, f"--count must be between 1 and {MAX_FLOWS}"),
        (plan.seconds > 0, "--seconds must be above 0"),
        (plan.requests > 0, "--requests must be above 0"),
        (plan.interval_s >= 0, "--interval can't be negative"),
        (
            0 < plan.payload_bytes <= MAX_PAYLOAD_BYTES,
            f"--payload must be between 1 and {MAX_PAYLOAD_BYTES}",
        ),
    )
    return [text for is_valid, text in checks if not is_valid]
