"""Simulated instances, network and fabric."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from ipaddress import ip_address
from random import Random

from chicoryproxy.control.core import ControlCore, create_control_core
from chicoryproxy.ids import DomainId, InstanceId, UpstreamId
from chicoryproxy.model import Configuration, Endpoint, Instance, Service
from chicoryproxy.protocol.actions import (
    ControlAction,
    Drop,
    Forward,
    ForwardHeld,
    LogRoute,
    PacketAction,
    ReadHealth,
    Return,
    ReturnPacket,
    SendToPeer,
    SendToView,
    StopWatching,
    UpdateEntry,
    WatchPlatform,
)
from chicoryproxy.protocol.events import (
    ConfigurationRead,
    HealthReading,
    InstancesRead,
    PlatformReadFailed,
)
from chicoryproxy.protocol.messages import PassedPacket
from chicoryproxy.routing.router import PacketCore, create_packet_core
from chicoryproxy.states import ReturnPath
from chicoryproxy.testing._fakehosts import FakeFlow, FakeUpstream, FlowOutcome
from chicoryproxy.testing._fakewire import Schedule, Segment, unpack_segment

TICK_S = 0.02
CONTROL_TICK_S = 0.1
PLATFORM_LATENCY_S = 0.005
PLATFORM_RETRY_S = 1.0
HEALTH_LATENCY_S = 0.005
FIRST_PORT = 1024
LAST_PORT = 65_000
FIRST_CALLER_ADDRESS = 0x0A000000


class FakePlatform:
    """Serves a configuration and an instance list that instances watch.

    :ivar is_down: whether every read fails.
    :ivar served: the configuration that reads return; may be reset to an older version.
    """

    def __init__(self, configuration: Configuration, instances: Sequence[Instance]) -> None:
        self.served = configuration
        self.instances = tuple(instances)
        self.is_down = False
        self.reads = 0

    def publish(self, configuration: Configuration) -> None:
        """Replace the served configuration."""
        self.served = configuration

    def publish_instances(self, instances: Iterable[Instance]) -> None:
        """Replace the served instance list."""
        self.instances = tuple(instances)


class FakeNode:
    """One instance: its packet core, its control core and the state of their driver.

    :ivar is_dead: whether it neither receives nor sends anything.
    :ivar paused_until: time until which everything that arrives is deferred.
    :ivar last_reading: configuration and instance list of the last successful platform read.
    """

    def __init__(self, instance: Instance, seed: int) -> None:
        self.instance = instance
        self.core: PacketCore = create_packet_core(instance.id, instance.domain, instance.region)
        self.control: ControlCore = create_control_core(instance, seed)
        self.is_dead = False
        self.is_leaving = False
        self.paused_until = 0.0
        self.is_watching = False
        self.last_reading: tuple[object, object] | None = None
        self.forwarded = 0
        self.passed = 0


class FakeFleet:
    """Real cores on a simulated clock, with a fabric that sprays packets over the instances.

    :param configuration: initial configuration.
    :param instances: initial instances.
    :param seed: seed of every random choice.
    :param latency_s: one-way latency between instances, in seconds.
    :param caller_latency_s: one-way latency between callers and the fleet, in seconds.
    :param loss: fraction of messages between instances that are lost.
    :ivar duplication: fraction of messages between instances that are delivered twice.
    :ivar max_extra_delay_s: upper bound of the random delay that is added to each message between
        instances, in seconds.
    :ivar max_response_delay_s: upper bound of the random delay that is added to each response of an
        upstream, in seconds; a bound above a caller's retransmission timeout reorders responses.
    :ivar partitions: pairs of failure domains that can't reach each other.
    :ivar platform_partitions: failure domains whose instances can't reach the platform.
    :ivar caller_partitions: failure domains whose instances callers can't reach.
    :ivar misrouted_segments: packets that were forwarded to an upstream of another service.
    """

    def __init__(
        self,
        configuration: Configuration,
        instances: Sequence[Instance],
        seed: int = 1,
        latency_s: float = 0.0015,
        caller_latency_s: float = 0.001,
        loss: float = 0.0,
    ) -> None:
        self.schedule = Schedule()
        self.random = Random(seed)
        self.platform = FakePlatform(configuration, instances)
        self.nodes: dict[InstanceId, FakeNode] = {}
        self.fabric: list[InstanceId] = []
        self.upstreams: dict[UpstreamId, FakeUpstream] = {}
        self.flows: list[FakeFlow] = []
        self.drops: Counter[object] = Counter()
        self.routes: Counter[object] = Counter()
        self.partitions: set[frozenset[DomainId]] = set()
        self.platform_partitions: set[DomainId] = set()
        self.caller_partitions: set[DomainId] = set()
        self.misrouted_segments = 0
        self.sent_to_out = 0
        self.on_message: Callable[[InstanceId, SendToPeer | SendToView], None] | None = None
        self.keep_logs = False
        self.logs: list[tuple[float, InstanceId, LogRoute]] = []
        self._latency_s = latency_s
        self._caller_latency_s = caller_latency_s
        self.loss = loss
        self.duplication = 0.0
        self.max_extra_delay_s = 0.0
        self.max_response_delay_s = 0.0
        self._next_flow_number = 0
        self._flow_by_source: dict[tuple[bytes, int], FakeFlow] = {}
        self._upstream_by_address: dict[Endpoint, UpstreamId] = {}
        self._service_by_address: dict[bytes, Service] = {}
        for instance in instances:
            self.start_node(instance)
        self.start_upstreams(configuration)

    @property
    def now(self) -> float:
        """Current simulated time, in seconds."""
        return self.schedule.now

    def run(self, seconds: float) -> None:
        """Advance the simulation."""
        self.schedule.run_until(self.now + seconds)

    def start_upstreams(self, configuration: Configuration) -> None:
        """Start the upstreams of a configuration that aren't running yet."""
        for service in configuration.services:
            for address in service.addresses:
                self._service_by_address[ip_address(address.host).packed] = service
            for upstream in service.upstreams:
                if upstream.id not in self.upstreams:
                    fake = FakeUpstream(upstream, self.schedule, self._send_response)
                    self.upstreams[upstream.id] = fake
                self._upstream_by_address[upstream.address] = upstream.id

    def publish(self, configuration: Configuration) -> None:
        """Publish a configuration on the platform."""
        self.start_upstreams(configuration)
        self.platform.publish(configuration)

    def start_node(self, instance: Instance, in_fabric: bool = True) -> FakeNode:
        """Start an instance."""
        node = FakeNode(instance, self.random.randrange(2**32))
        self.nodes[instance.id] = node
        if in_fabric:
            self.fabric.append(instance.id)
        offset = self.random.random() * TICK_S
        self.schedule.call_later(offset, lambda: self._tick(node))
        self.schedule.call_later(offset, lambda: self._tick_control(node))
        return node

    def kill(self, name: InstanceId, fabric_lag_s: float = 0.5) -> None:
        """Kill an instance; the fabric removes it after ``fabric_lag_s``."""
        self.nodes[name].is_dead = True
        self.schedule.call_later(fabric_lag_s, lambda: self._remove_from_fabric(name))

    def stop(self, name: InstanceId) -> None:
        """Begin the graceful shutdown of an instance."""
        node = self.nodes[name]
        node.is_leaving = True
        self._execute_control_actions(node, node.control.begin_leaving(self.now))
        self._execute_actions(node, node.core.begin_leaving(self.now), b"", None)

    def unlist(self, name: InstanceId) -> None:
        """Remove an instance from the published list and the fabric."""
        listed = [item for item in self.platform.instances if item.id != name]
        self.platform.publish_instances(listed)
        self._remove_from_fabric(name)

    def pause(self, name: InstanceId, seconds: float) -> None:
        """Pause an instance; whatever arrives meanwhile is delivered when it resumes."""
        self.nodes[name].paused_until = self.now + seconds

    def partition(self, first: DomainId, second: DomainId) -> None:
        """Partition the network between two failure domains."""
        self.partitions.add(frozenset((first, second)))

    def heal(self) -> None:
        """End all network partitions."""
        self.partitions.clear()
        self.platform_partitions.clear()
        self.caller_partitions.clear()

    def open_flows(
        self,
        service: Service,
        count: int,
        duration_s: float,
        rounds: int = 3,
        interval_s: float = 0.5,
    ) -> list[FakeFlow]:
        """Schedule the openings of flows, spaced evenly over a duration."""
        flows = []
        for number in range(count):
            flows.append(self._create_flow(service, rounds, interval_s))
            self.schedule.call_later(duration_s * number / count, flows[-1].open)
        self.flows += flows
        return flows

    def count(self, flows: Iterable[FakeFlow] | None = None) -> Counter[FlowOutcome]:
        """Count flows by outcome."""
        return Counter(flow.outcome for flow in (self.flows if flows is None else flows))

    def give_up_flows(self, upstreams: Iterable[UpstreamId]) -> None:
        """Mark the open flows of upstreams as given up, since operators took the upstreams out."""
        names = set(upstreams)
        for flow in self.flows:
            if flow.accepted_by in names:
                flow.give_up()

    def _create_flow(self, service: Service, rounds: int, interval_s: float) -> FakeFlow:
        number = self._next_flow_number
        self._next_flow_number += 1
        span = LAST_PORT - FIRST_PORT
        source = (
            (FIRST_CALLER_ADDRESS + 1 + number // span).to_bytes(4),
            FIRST_PORT + number % span,
        )
        address = service.addresses[number % len(service.addresses)]
        flow = FakeFlow(source, address, self.schedule, self._spray, rounds, interval_s)
        self._flow_by_source[source] = flow
        return flow

    def _remove_from_fabric(self, name: InstanceId) -> None:
        if name in self.fabric:
            self.fabric.remove(name)

    def _spray(self, flow: FakeFlow, segment: Segment) -> None:
        if not self.fabric:
            return
        node = self.nodes[self.random.choice(self.fabric)]
        if node.instance.domain in self.caller_partitions:
            return
        packet = segment.pack()
        self.schedule.call_later(
            self._caller_latency_s, lambda: self._receive_packet(node, packet, ("caller", 0))
        )

    def inject(self, name: InstanceId, segment: Segment) -> None:
        """Deliver a caller's segment to a chosen instance."""
        self._receive_packet(self.nodes[name], segment.pack(), ("caller", 0))

    def _receive_packet(self, node: FakeNode, packet: bytes, source: tuple[str, int]) -> None:
        if not self._can_process_now(node, lambda: self._receive_packet(node, packet, source)):
            return
        self._execute_actions(
            node, node.core.receive_packet(packet, source, self.now), packet, None
        )

    def _can_process_now(self, node: FakeNode, retry: Callable[[], None]) -> bool:
        """Return whether a node runs; schedule ``retry`` for its resumption if it is paused."""
        if node.is_dead:
            return False
        if self.now < node.paused_until:
            self.schedule.call_later(node.paused_until - self.now, retry)
            return False
        return True

    def _tick(self, node: FakeNode) -> None:
        if not self._can_process_now(node, lambda: self._tick(node)):
            return
        self._execute_actions(node, node.core.tick(self.now), b"", None)
        self.schedule.call_later(TICK_S, lambda: self._tick(node))

    def _tick_control(self, node: FakeNode) -> None:
        if not self._can_process_now(node, lambda: self._tick_control(node)):
            return
        self._read_platform(node)
        self._execute_control_actions(
            node, node.control.receive_report(node.core.collect_report(), self.now)
        )
        self._execute_control_actions(node, node.control.tick(self.now))
        self.schedule.call_later(CONTROL_TICK_S, lambda: self._tick_control(node))

    def _execute_actions(
        self,
        node: FakeNode,
        actions: Sequence[PacketAction],
        packet: bytes,
        source: UpstreamId | None,
    ) -> None:
        for action in actions:
            if isinstance(action, Forward):
                self._forward(node, action.address, packet)
            elif isinstance(action, ForwardHeld):
                self._forward(node, action.address, action.packet)
            elif isinstance(action, SendToPeer):
                self._send(node, action)
            elif isinstance(action, LogRoute):
                self._log(node, action)
            elif isinstance(action, Return):
                self._return_to_caller(packet, source)
            elif isinstance(action, ReturnPacket):
                self._return_to_caller(action.packet, source)
            elif isinstance(action, Drop):
                self.drops[action.reason] += 1

    def _log(self, node: FakeNode, action: LogRoute) -> None:
        self.routes[action.reason] += 1
        if self.keep_logs:
            self.logs.append((self.now, node.instance.id, action))

    def _forward(self, node: FakeNode, address: Endpoint, packet: bytes) -> None:
        node.forwarded += 1
        upstream = self.upstreams[self._upstream_by_address[address]]
        if self._is_partitioned(node.instance.domain, upstream.upstream.domain):
            return
        segment = unpack_segment(packet)
        service = self._service_by_address[segment.target]
        if upstream.id not in {item.id for item in service.upstreams}:
            self.misrouted_segments += 1
        self.schedule.call_later(self._latency_s, lambda: upstream.receive(segment))

    def _send_response(self, upstream: FakeUpstream, segment: Segment) -> None:
        service = self._service_by_address[segment.source]
        if service.return_path is ReturnPath.DIRECT:
            self.schedule.call_later(
                self._caller_latency_s, lambda: self._deliver(segment, upstream.id)
            )
            return
        reachable_entries = [
            name
            for name in self.fabric
            if not self._is_partitioned(self.nodes[name].instance.domain, upstream.upstream.domain)
        ]
        if not reachable_entries:
            return
        node = self.nodes[self.random.choice(reachable_entries)]
        packet = segment.pack()
        delay_s = self._latency_s + self._draw_delay(self.max_response_delay_s)
        self.schedule.call_later(delay_s, lambda: self._receive_response(node, packet, upstream))

    def _receive_response(self, node: FakeNode, packet: bytes, upstream: FakeUpstream) -> None:
        if not self._can_process_now(node, lambda: self._receive_response(node, packet, upstream)):
            return
        address = upstream.upstream.address
        source = (address.host, address.port)
        actions = node.core.receive_packet(packet, source, self.now)
        self._execute_actions(node, actions, packet, upstream.id)

    def _return_to_caller(self, packet: bytes, source: UpstreamId | None) -> None:
        segment = unpack_segment(packet)
        self.schedule.call_later(self._caller_latency_s, lambda: self._deliver(segment, source))

    def _deliver(self, segment: Segment, sender: UpstreamId | None) -> None:
        flow = self._flow_by_source.get((segment.target, segment.target_port))
        if flow is not None:
            flow.receive(segment, sender)

    def _send(self, node: FakeNode, action: SendToPeer) -> None:
        if self.on_message is not None:
            self.on_message(node.instance.id, action)
        if isinstance(action.message, PassedPacket):
            node.passed += 1
        target = self.nodes.get(action.instance)
        if target is None or self._is_lost(node, target):
            return
        sender = node.instance.id
        for _ in range(1 + self._draw_event(self.duplication)):
            self.schedule.call_later(
                self._draw_latency(), lambda: self._receive(target, sender, action)
            )

    def _receive(self, node: FakeNode, sender: InstanceId, action: SendToPeer) -> None:
        if not self._can_process_now(node, lambda: self._receive(node, sender, action)):
            return
        actions = node.core.receive_message(sender, action.message, self.now)
        self._execute_actions(node, actions, b"", None)

    def _send_view(self, node: FakeNode, action: SendToView) -> None:
        if self.on_message is not None:
            self.on_message(node.instance.id, action)
        target = self.nodes.get(action.instance)
        if target is None or self._is_lost(node, target):
            return
        sender = node.instance.id
        for _ in range(1 + self._draw_event(self.duplication)):
            self.schedule.call_later(
                self._draw_latency(), lambda: self._receive_view(target, sender, action)
            )

    def _receive_view(self, node: FakeNode, sender: InstanceId, action: SendToView) -> None:
        if not self._can_process_now(node, lambda: self._receive_view(node, sender, action)):
            return
        actions = node.control.receive_message(sender, action.message, self.now)
        self._execute_control_actions(node, actions)

    def _draw_latency(self) -> float:
        return self._latency_s * (0.5 + self.random.random()) + self._draw_delay(
            self.max_extra_delay_s
        )

    def _draw_delay(self, max_delay_s: float) -> float:
        return self.random.random() * max_delay_s if max_delay_s else 0.0

    def _is_lost(self, node: FakeNode, target: FakeNode) -> bool:
        if self._is_partitioned(node.instance.domain, target.instance.domain):
            return True
        return self._draw_event(self.loss)

    def _draw_event(self, probability: float) -> bool:
        return probability > 0.0 and self.random.random() < probability

    def _is_partitioned(self, first: DomainId, second: DomainId) -> bool:
        return first != second and frozenset((first, second)) in self.partitions

    def _execute_control_actions(self, node: FakeNode, actions: Sequence[ControlAction]) -> None:
        for action in actions:
            if isinstance(action, SendToView):
                self._send_view(node, action)
            elif isinstance(action, UpdateEntry):
                self._execute_actions(
                    node, node.core.update_view(action.update, self.now), b"", None
                )
            elif isinstance(action, WatchPlatform):
                node.is_watching = True
            elif isinstance(action, StopWatching):
                node.is_watching = False
            elif isinstance(action, ReadHealth):
                self._read_health(node, action.upstream)

    def _read_platform(self, node: FakeNode) -> None:
        """Deliver the platform's values to a watching node if they changed since its last read."""
        if not node.is_watching:
            return
        if self.platform.is_down or node.instance.domain in self.platform_partitions:
            self._execute_control_actions(
                node, node.control.receive_reading(PlatformReadFailed("timeout"), self.now)
            )
            return
        served = (self.platform.served, self.platform.instances)
        if node.last_reading == served:
            return
        node.last_reading = served
        self.platform.reads += 1
        for event in (InstancesRead(served[1]), ConfigurationRead(served[0])):
            self._execute_control_actions(node, node.control.receive_reading(event, self.now))

    def _read_health(self, node: FakeNode, name: UpstreamId) -> None:
        upstream = self.upstreams.get(name)
        if upstream is None:
            return
        is_partitioned = self._is_partitioned(node.instance.domain, upstream.upstream.domain)
        is_silent = upstream.is_down or is_partitioned
        reading = HealthReading(name, False) if is_silent else upstream.read_health()
        delay_s = HEALTH_LATENCY_S + upstream.health_delay_s
        self.schedule.call_later(delay_s, lambda: self._receive_health(node, reading))

    def _receive_health(self, node: FakeNode, reading: HealthReading) -> None:
        if self._can_process_now(node, lambda: self._receive_health(node, reading)):
            self._execute_control_actions(node, node.control.receive_reading(reading, self.now))
