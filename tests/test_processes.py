"""End-to-end tests with real processes on loopback: traffic, stops, restarts, platform outages."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

import msgspec
import pytest
from ruamel.yaml import YAML

from chicoryproxy.ids import DomainId, InstanceId, RegionId, ServiceId, UpstreamId, Version
from chicoryproxy.model import (
    Configuration,
    Domain,
    Instance,
    Service,
    ServiceAddress,
    Upstream,
    WarmUp,
)
from chicoryproxy.network.segment import Peer
from chicoryproxy.processes.probe import HealthAnswer
from chicoryproxy.processes.supervisor import ExitCode
from chicoryproxy.processes.ticker import Ticker
from chicoryproxy.states import Protocol, UpstreamState
from chicoryproxy.testing.caller_standin import CallerStandIn, FlowEnd
from chicoryproxy.testing.fabric_standin import FabricStandIn
from chicoryproxy.testing.platform_standin import PlatformStandIn
from chicoryproxy.testing.upstream_standin import UpstreamStandIn
from tests.childprocess import end_with_parent

SOURCE = Path(__file__).parents[1] / "src"
KEY = "a key of 32 bytes, for the tests"
REGION = RegionId("klang-valley")
DOMAINS = tuple(DomainId(name) for name in ("shah-alam", "cyberjaya"))
TARGET = Peer("10.1.0.1", 443)
WARM = WarmUp(cold_openings=5000.0, full_openings=5000.0, duration_s=0.1)
PAYLOAD = b"is heat number 7 certified?"
FLOWS = 60
UPSTREAMS = 4


class Process:
    """A process under test whose log lines a test can wait for."""

    def __init__(self, module, settings):
        self.module = module
        self.settings = settings
        self.process = None
        self.lines = []
        self._line_received = asyncio.Condition()

    async def start(self):
        self.lines = []
        self._ended = False
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"chicoryproxy.processes.{self.module}",
            "--settings",
            str(self.settings),
            env={"PYTHONPATH": str(SOURCE)},
            stdout=asyncio.subprocess.PIPE,
            preexec_fn=end_with_parent,
        )
        self._reading = asyncio.create_task(self._read())
        await self.wait_for("Process started.")

    async def wait_for(self, text, **fields):
        """Wait until a line with this text and these fields is logged."""

        def is_logged():
            return any(
                text in line["message"] and fields.items() <= line.items() for line in self.lines
            )

        async with self._line_received:
            await self._line_received.wait_for(lambda: is_logged() or self._ended)
        assert is_logged(), f"{self.module} exited without logging {text!r} {fields}"

    async def stop_with(self, number):
        """Send a signal and return the exit code."""
        self.process.send_signal(number)
        await self._reading
        return await self.process.wait()

    def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    async def _read(self):
        async for line in self.process.stdout:
            async with self._line_received:
                self.lines.append(json.loads(line))
                self._line_received.notify_all()
        async with self._line_received:
            self._ended = True
            self._line_received.notify_all()


class Fleet:
    """Real processes, with stand-ins for their surroundings on the event loop of the test."""

    def __init__(self, folder, pick_endpoint, serve):
        self._folder = folder
        self._pick = pick_endpoint
        self._serve = serve
        self.platform = PlatformStandIn()
        self.fabric = FabricStandIn(pick_endpoint(), lambda packet: self.callers.receive(packet), 1)
        self.callers = CallerStandIn(self.fabric.spray, time.monotonic)
        self.upstreams = []
        self.instances = []
        self.entries = {}
        self.views = {}
        self._round_finished = asyncio.Condition()
        self._ports = iter(range(20_000, 60_000))

    async def start(self, count):
        await self.platform.start(self._pick())
        await self._serve(self.fabric.socket)
        await self._serve(Ticker(0.05, self.callers.tick))
        for number in range(UPSTREAMS):
            await self._add_upstream(number)
        for number in range(count):
            self._add_instance(number)
        await self.publish_instances()
        await self.publish(1)
        self.fabric.set_entries([instance.data for instance in self.instances])

    async def start_processes(self):
        for process in (*self.views.values(), *self.entries.values()):
            await process.start()

    async def wait_for_version(self, version):
        for entry in self.entries.values():
            await entry.wait_for("Configuration version received.", version=version)

    async def publish(self, version):
        upstreams = tuple(
            Upstream(
                upstream.name,
                DOMAINS[number % len(DOMAINS)],
                upstream.endpoint,
                warm_up=WARM,
                health_url=f"{self.platform.url}/health/{upstream.name}",
            )
            for number, upstream in enumerate(self.upstreams)
        )
        service = Service(
            ServiceId("qa-desk"),
            (ServiceAddress(TARGET.host, TARGET.port, Protocol.TCP),),
            upstreams,
        )
        domains = tuple(Domain(domain, REGION) for domain in DOMAINS)
        await self.platform.publish_configuration(
            Configuration(Version(version), domains, (service,))
        )

    async def publish_instances(self, leaving=None):
        await self.platform.publish_instances(
            tuple(
                msgspec.structs.replace(instance, leaving=instance.id == leaving)
                for instance in self.instances
            )
        )

    async def open_flows(self, count=FLOWS):
        """Open flows and send one request on each of them."""
        flows = [
            self.callers.create_flow(Peer("10.9.0.1", next(self._ports)), TARGET)
            for _ in range(count)
        ]
        await asyncio.gather(*(flow.open(time.monotonic()) for flow in flows))
        await self.send_requests(flows)
        return flows

    async def send_requests(self, flows):
        """Send one request on each flow and return the set of resulting flow states."""
        ends = await asyncio.gather(*(flow.request(PAYLOAD, time.monotonic()) for flow in flows))
        async with self._round_finished:
            self._round_finished.notify_all()
        return set(ends)

    async def wait_for_request_rounds(self, count):
        """Wait until another task has completed this many rounds of requests."""
        for _ in range(count):
            async with self._round_finished:
                await self._round_finished.wait()

    async def send_requests_until(self, flows, awaitable):
        """Repeat requests until an awaitable completes; return all flow states seen."""
        waiting = asyncio.ensure_future(awaitable)
        ends = set()
        while not waiting.done():
            ends |= await self.send_requests(flows)
        await waiting
        return ends | await self.send_requests(flows)

    async def close(self, flows):
        return set(await asyncio.gather(*(flow.close(time.monotonic()) for flow in flows)))

    def stop(self):
        for process in (*self.views.values(), *self.entries.values()):
            process.kill()

    async def _add_upstream(self, number):
        endpoint = self._pick()
        name = UpstreamId(f"qa-desk-{number}")
        upstream = UpstreamStandIn(name, endpoint, lambda: self.fabric.address, time.monotonic)
        upstream.endpoint = endpoint
        self.platform.set_health(name, HealthAnswer(UpstreamState.READY, 1.0, 0, 0))
        await self._serve(upstream.socket)
        self.upstreams.append(upstream)

    def _add_instance(self, number):
        name = InstanceId(f"entry-{number}")
        domain = DOMAINS[number % len(DOMAINS)]
        instance = Instance(name, domain, REGION, self._pick(), self._pick(), self._pick())
        file = self._folder / f"{name}.yaml"
        settings = {
            "instance": name,
            "domain": domain,
            "region": REGION,
            "data": write_endpoint(instance.data),
            "peer": write_endpoint(instance.peer),
            "view": write_endpoint(instance.view),
            "link": write_endpoint(self._pick()),
            "control": write_endpoint(self._pick()),
            "platform": self.platform.url,
            "fabric": write_endpoint(self.fabric.socket._endpoint),
            "key_file": str(self._folder / "key"),
        }
        YAML().dump(settings, file)
        (self._folder / "key").write_text(KEY)
        self.instances.append(instance)
        self.views[name] = Process("view", file)
        self.entries[name] = Process("entry", file)


def write_endpoint(endpoint):
    return f"{endpoint.host}:{endpoint.port}"


@pytest.fixture
def with_fleet(run, serve, pick_endpoint, tmp_path):
    def run_with_fleet(check, instances=2):
        async def run_check():
            fleet = Fleet(tmp_path, pick_endpoint, serve)
            await fleet.start(instances)
            try:
                await check(fleet)
            finally:
                fleet.stop()
                await fleet.platform.stop()

        run(run_check())

    return run_with_fleet


def test_requests_through_two_entries(with_fleet):
    async def check(fleet):
        await fleet.start_processes()
        await fleet.wait_for_version(1)
        flows = await fleet.open_flows()
        assert await fleet.send_requests(flows) == {FlowEnd.OPEN}
        assert await fleet.close(flows) == {FlowEnd.CLOSED}
        assert {flow.answered for flow in flows} == {2}
        assert len({flow.upstream for flow in flows}) == UPSTREAMS
        requests = [count for upstream in fleet.upstreams for count in upstream.requests.values()]
        assert requests == [2] * FLOWS

    with_fleet(check)


def test_graceful_stop_under_load_loses_no_flow(with_fleet):
    async def check(fleet):
        await fleet.start_processes()
        await fleet.wait_for_version(1)
        flows = await fleet.open_flows()
        leaving = fleet.instances[0]

        async def leave():
            entry, view = fleet.entries[leaving.id], fleet.views[leaving.id]
            stops = [
                asyncio.create_task(process.stop_with(signal.SIGTERM)) for process in (entry, view)
            ]
            await entry.wait_for("Signal received; stopping gracefully.")
            await fleet.publish_instances(leaving.id)
            fleet.fabric.set_entries([instance.data for instance in fleet.instances[1:]])
            return await asyncio.gather(*stops)

        leaving_task = asyncio.create_task(leave())
        assert await fleet.send_requests_until(flows, leaving_task) == {FlowEnd.OPEN}
        assert leaving_task.result() == [ExitCode.STOPPED, ExitCode.STOPPED]
        assert await fleet.close(flows) == {FlowEnd.CLOSED}

    with_fleet(check, instances=3)


@pytest.mark.parametrize("part", ["views", "entries"])
def test_restarted_process_breaks_no_flow(with_fleet, part):
    async def check(fleet):
        await fleet.start_processes()
        await fleet.wait_for_version(1)
        flows = await fleet.open_flows()
        process = getattr(fleet, part)[fleet.instances[0].id]
        entry = fleet.entries[fleet.instances[0].id]

        async def replace():
            assert await process.stop_with(signal.SIGKILL) == -signal.SIGKILL
            if part == "views":
                await entry.wait_for("No view; the last one stays in use.")
                await fleet.wait_for_request_rounds(2)
            await process.start()
            await fleet.publish(2)
            await fleet.wait_for_version(2)

        assert await fleet.send_requests_until(flows, replace()) == {FlowEnd.OPEN}
        assert await fleet.close(flows) == {FlowEnd.CLOSED}

    with_fleet(check)


def test_processes_start_while_the_platform_is_down(with_fleet):
    async def check(fleet):
        fleet.platform.is_down = True
        await fleet.start_processes()
        for view in fleet.views.values():
            await view.wait_for("platform: Read failed.")
        fleet.platform.is_down = False
        await fleet.wait_for_version(1)
        flows = await fleet.open_flows()
        assert await fleet.close(flows) == {FlowEnd.CLOSED}

    with_fleet(check)


def test_second_signal_ends_the_process_at_once(with_fleet):
    async def check(fleet):
        fleet.platform.is_down = True
        await fleet.start_processes()
        view = fleet.views[fleet.instances[0].id]
        view.process.send_signal(signal.SIGTERM)
        await view.wait_for("Signal received; stopping gracefully.")
        assert await view.stop_with(signal.SIGTERM) == ExitCode.FORCED

    with_fleet(check)


@pytest.mark.parametrize("module", ["entry", "view"])
def test_invalid_settings_are_reported_together(run, tmp_path, module):
    async def check():
        settings = tmp_path / "settings.yaml"
        settings.write_text("instance: a\ndomian: b\nregion: c\ndata: nowhere\nplatform: ftp://x\n")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"chicoryproxy.processes.{module}",
            "--settings",
            str(settings),
            env={"PYTHONPATH": str(SOURCE)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        assert process.returncode == ExitCode.INVALID_SETTINGS
        for finding in (b"domian", b"nowhere", b"ftp://x", b"fabric"):
            assert finding in errors

    run(check())
