"""The demo's fleet: real cores and drivers with stand-ins, all on one event loop."""

import asyncio
import time
from collections.abc import Sequence

import msgspec

from chicoryproxy.configuration.settings import Settings
from chicoryproxy.control.core import create_control_core
from chicoryproxy.ids import DomainId, InstanceId, RegionId, ServiceId, UpstreamId, Version
from chicoryproxy.model import (
    Configuration,
    Domain,
    Endpoint,
    Instance,
    Service,
    ServiceAddress,
    Upstream,
    WarmUp,
)
from chicoryproxy.network.seal import Channel, create_seal
from chicoryproxy.network.segment import TcpEndpoint
from chicoryproxy.network.transport import PeerTransport, Receive
from chicoryproxy.processes.entrydriver import REPORT_INTERVAL_S, EntryDriver
from chicoryproxy.processes.entrydriver import TICK_S as ENTRY_TICK_S
from chicoryproxy.processes.probe import HealthAnswer
from chicoryproxy.processes.supervisor import Child, Supervisor
from chicoryproxy.processes.ticker import Ticker
from chicoryproxy.processes.viewdriver import TICK_S as VIEW_TICK_S
from chicoryproxy.processes.viewdriver import ViewDriver
from chicoryproxy.routing.router import create_packet_core
from chicoryproxy.states import DomainState, Protocol, UpstreamState
from chicoryproxy.telemetry.metrics import Metric, Metrics
from chicoryproxy.testing.caller_standin import CallerStandIn
from chicoryproxy.testing.fabric_standin import FabricStandIn
from chicoryproxy.testing.loopback import reserve_address
from chicoryproxy.testing.platform_standin import PlatformStandIn
from chicoryproxy.testing.upstream_standin import UpstreamStandIn

REGION = RegionId("klang-valley")
DOMAINS = tuple(DomainId(name) for name in ("shah-alam", "cyberjaya", "port-klang"))
SERVICE = ServiceId("qa-desk")
TARGET = TcpEndpoint("10.1.0.1", 443)
KEY = b"the key of the demo's instances."
HOSTS = tuple(f"127.77.0.{number}" for number in range(1, 65))
"""Loopback addresses; concurrent demos use one each."""

LOCK_PORT = 8999
FIRST_PORT = 9000
PORTS_PER_INSTANCE = 5
WARM_UP = WarmUp(cold_openings=20.0, full_openings=500.0, duration_s=3.0)
RETRANSMIT_TICK_S = 0.05
LOG_SAMPLE = 1000
DRAIN_TIMEOUT_S = 15.0


class DemoInstance:
    """The drivers of both processes of one instance, supervised on the demo's event loop."""

    def __init__(self, instance: Instance, settings: Settings, seed: int) -> None:
        self.instance = instance
        self._settings = settings
        self._seed = seed
        self._metrics = Metrics(None)
        core = create_packet_core(instance.id, instance.domain, instance.region)
        self.entry = EntryDriver(core, settings, self._create_entry_transport, self._metrics, seed)
        self.view = ViewDriver(
            create_control_core(instance, seed),
            settings,
            self._create_view_transport,
            self._metrics,
            seed,
        )
        self._supervisor_task: asyncio.Task[None] | None = None

    @property
    def version(self) -> Version:
        """Configuration version of the entry."""
        return self.entry.describe().version

    @property
    def control_bytes(self) -> int:
        """Total bytes of control messages and passed packets sent to peers."""
        return self._metrics.get_totals().get(Metric.PEER_BYTES_SENT.value, 0)

    def start(self) -> None:
        """Start all services of the instance."""
        loop = asyncio.get_running_loop()
        supervisor = Supervisor(self._create_children(), self._metrics, self._seed)
        supervisor.set_loop(loop)
        self._supervisor_task = loop.create_task(supervisor.start())

    async def leave(self) -> None:
        """Drain both processes, then stop."""
        await asyncio.gather(self.entry.drain(), self.view.drain())
        await self.stop()

    async def stop(self) -> None:
        """Stop immediately."""
        if self._supervisor_task is not None:
            self._supervisor_task.cancel()
            await asyncio.wait((self._supervisor_task,))

    def _create_children(self) -> Sequence[Child]:
        entry, view = self.entry, self.view
        return (
            Child("data", lambda: entry.data),
            Child("entry peers", lambda: entry.peers),
            Child("entry tick", lambda: Ticker(ENTRY_TICK_S, entry.tick)),
            Child("entry link", lambda: entry.link),
            Child("report", lambda: Ticker(REPORT_INTERVAL_S, entry.report)),
            Child("log", lambda: Ticker(1.0, entry.route_log.flush)),
            Child("view peers", lambda: view.peers),
            Child("view link", lambda: view.link),
            Child("view tick", lambda: Ticker(VIEW_TICK_S, view.tick)),
            Child("readings", lambda: view.readings),
        )

    def _create_entry_transport(self, receive: Receive) -> PeerTransport:
        return self._create_transport(self._settings.peer, Channel.PEER, receive)

    def _create_view_transport(self, receive: Receive) -> PeerTransport:
        return self._create_transport(self._settings.view, Channel.VIEW, receive)

    def _create_transport(
        self, endpoint: Endpoint, channel: Channel, receive: Receive
    ) -> PeerTransport:
        seal = create_seal(self.instance.id, 1, channel, (KEY,))
        return PeerTransport(endpoint, seal, receive, self._metrics, self._seed)


class DemoFleet:
    """Platform, fabric, upstreams, callers and instances of the demo.

    :param seed: random seed of packet spraying and of all cores.
    """

    def __init__(self, seed: int) -> None:
        self._address_lock = reserve_address(HOSTS, LOCK_PORT)
        self._host: str = self._address_lock.getsockname()[0]
        self.platform = PlatformStandIn()
        self._ports = iter(range(FIRST_PORT, FIRST_PORT + 1000))
        self.fabric = FabricStandIn(self._allocate_endpoint(), self._deliver, seed)
        self.callers = CallerStandIn(self.fabric.spray, time.monotonic)
        self.upstreams: dict[UpstreamId, UpstreamStandIn] = {}
        self.domains: dict[UpstreamId, DomainId] = {}
        self.instances: dict[InstanceId, DemoInstance] = {}
        self._seed = seed
        self._version = 0
        self._published_upstreams: list[Upstream] = []
        self._out: set[DomainId] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, upstreams: int, instances: int) -> None:
        """Start all parts and publish the first version."""
        loop = asyncio.get_running_loop()
        await self.platform.start(self._allocate_endpoint())
        services = [self.fabric.socket, Ticker(RETRANSMIT_TICK_S, self.callers.tick)]
        for number in range(upstreams):
            services.append(self._add_upstream(number).socket)
        for service in services:
            service.set_loop(loop)
            self._tasks.append(loop.create_task(service.start()))
        for _ in range(instances):
            self.add_instance()
        await self.publish()

    async def stop(self) -> None:
        """Stop all parts."""
        for instance in self.instances.values():
            await instance.stop()
        for task in self._tasks:
            task.cancel()
        await self.platform.stop()
        self._address_lock.close()

    def add_instance(self) -> DemoInstance:
        """Start another instance; the next publication lists it."""
        number = len(self.instances)
        domain = DOMAINS[number % len(DOMAINS)]
        data, peer, view, link, control = (
            self._allocate_endpoint() for _ in range(PORTS_PER_INSTANCE)
        )
        instance = Instance(InstanceId(f"entry-{number}"), domain, REGION, data, peer, view)
        settings = Settings(
            instance=instance.id,
            domain=domain,
            region=REGION,
            data=data,
            peer=peer,
            view=view,
            link=link,
            control=control,
            platform=self.platform.url,
            fabric=Endpoint(*self.fabric.address),
            log_sample=LOG_SAMPLE,
            drain_timeout_s=DRAIN_TIMEOUT_S,
        )
        created = DemoInstance(instance, settings, self._seed + number)
        self.instances[instance.id] = created
        created.start()
        return created

    async def publish(
        self, out: frozenset[DomainId] = frozenset(), leaving: frozenset[InstanceId] = frozenset()
    ) -> Version:
        """Publish a new version and the instance list; stop spraying over leaving instances."""
        self._version += 1
        version = Version(self._version)
        domains = tuple(
            Domain(domain, REGION, DomainState.OUT if domain in out else DomainState.IN)
            for domain in DOMAINS
        )
        address = ServiceAddress(TARGET.host, TARGET.port, Protocol.TCP)
        service = Service(SERVICE, (address,), tuple(self._published_upstreams))
        await self.platform.publish_configuration(Configuration(version, domains, (service,)))
        listed_instances = [instance.instance for instance in self.instances.values()]
        await self.platform.publish_instances(
            tuple(
                msgspec.structs.replace(instance, leaving=instance.id in leaving)
                for instance in listed_instances
            )
        )
        self.fabric.set_entries(
            [instance.data for instance in listed_instances if instance.id not in leaving]
        )
        return version

    def has_version(self, version: Version) -> bool:
        """Return whether every entry has a version or a newer one."""
        return all(instance.version >= version for instance in self.instances.values())

    def find_upstream(self, source: TcpEndpoint) -> UpstreamId | None:
        """Return the upstream that holds a caller's connection."""
        for name, upstream in self.upstreams.items():
            if upstream.has_connection(source, TARGET):
                return name
        return None

    def _add_upstream(self, number: int) -> UpstreamStandIn:
        name = UpstreamId(f"qa-desk-{number}")
        domain = DOMAINS[number % len(DOMAINS)]
        endpoint = self._allocate_endpoint()
        upstream = UpstreamStandIn(name, endpoint, lambda: self.fabric.address, time.monotonic)
        url = f"{self.platform.url}/health/{name}"
        self._published_upstreams.append(
            Upstream(name, domain, endpoint, warm_up=WARM_UP, health_url=url)
        )
        self.platform.set_health(name, HealthAnswer(UpstreamState.READY, 1.0, 0, 0))
        self.upstreams[name] = upstream
        self.domains[name] = domain
        return upstream

    def _deliver(self, packet: bytes) -> None:
        self.callers.receive(packet)

    def _allocate_endpoint(self) -> Endpoint:
        return Endpoint(self._host, next(self._ports))
