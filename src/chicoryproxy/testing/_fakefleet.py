"""Instances, network and fabric of the fakes."""

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
CALLER_NET = 0x0A000000


class FakePlatform:
    """Serves a configuration and a list of instances, to be watched.

    :ivar is_down: answers no read.
    :ivar served: what it serves; may be set back to an older version.
    """

    def __init__(self, configuration: Configuration, instances: Sequence[Instance]) -> None:
        self.served = configuration
        self.instances = tuple(instances)
        self.is_down = False
        self.reads = 0

    def publish(self, configuration: Configuration) -> None:
        """Serve another configuration."""
        self.served = configuration

    def list_instances(self, instances: Iterable[Instance]) -> None:
        """Serve another list."""
        self.instances = tuple(instances)


class FakeNode:
    """One instance: both cores, and what its driver would carry.

    :ivar is_dead: takes and sends nothing.
    :ivar paused_until: time until which everything that arrives waits.
    """

    def __init__(self, instance: Instance, seed: int) -> None:
        self.instance = instance
        self.core: PacketCore = create_packet_core(instance.id, instance.domain, instance.region)
        self.control: ControlCore = create_control_core(instance, seed)
        self.is_dead = False
        self.is_leaving = False
        self.paused_until = 0.0
        self.is_watching = False
        self.seen: tuple[object, object] | None = None
        self.forwarded = 0
        self.passed = 0


class FakeFleet:
    """Real cores on a fake clock, with a fabric that sprays every packet.

    :param configuration: first configuration.
    :param instances: first instances.
    :param seed: seed of every choice.
    :param latency_s: one-way latency between instances, in seconds.
    :param loss: share of messages between instances that is lost.
    :ivar duplication: share of messages between instances that arrives twice.
    :ivar extra_delay_s: longest further delay of a message between instances, in seconds.
    :ivar answer_delay_s: longest further delay of an upstream's answer, in seconds; longer than
        a caller's retransmission timeout, it puts answers out of order.
    :ivar caller_cuts: failure domains whose instances no caller reaches.
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
        self.cuts: set[frozenset[DomainId]] = set()
        self.platform_cuts: set[DomainId] = set()
        self.caller_cuts: set[DomainId] = set()
        self.wrong_service = 0
        self.sent_to_out = 0
        self.on_message: Callable[[InstanceId, SendToPeer | SendToView], None] | None = None
        self.keep_logs = False
        self.logs: list[tuple[float, InstanceId, LogRoute]] = []
        self._latency_s = latency_s
        self._caller_latency_s = caller_latency_s
        self.loss = loss
        self.duplication = 0.0
        self.extra_delay_s = 0.0
        self.answer_delay_s = 0.0
        self._next_caller = 0
        self._by_source: dict[tuple[bytes, int], FakeFlow] = {}
        self._by_address: dict[Endpoint, UpstreamId] = {}
        self._service_of: dict[bytes, Service] = {}
        for instance in instances:
            self.start_node(instance)
        self.learn(configuration)

    @property
    def now(self) -> float:
        """Time in seconds."""
        return self.schedule.now

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.schedule.run_until(self.now + seconds)

    def learn(self, configuration: Configuration) -> None:
        """Start the upstreams of a configuration that don't run yet."""
        for service in configuration.services:
            for address in service.addresses:
                self._service_of[ip_address(address.host).packed] = service
            for upstream in service.upstreams:
                if upstream.id not in self.upstreams:
                    fake = FakeUpstream(upstream, self.schedule, self._answer)
                    self.upstreams[upstream.id] = fake
                self._by_address[upstream.address] = upstream.id

    def publish(self, configuration: Configuration) -> None:
        """Publish a configuration on the platform."""
        self.learn(configuration)
        self.platform.publish(configuration)

    def start_node(self, instance: Instance, in_fabric: bool = True) -> FakeNode:
        """Start an instance."""
        node = FakeNode(instance, self.random.randrange(2**32))
        self.nodes[instance.id] = node
        if in_fabric:
            self.fabric.append(instance.id)
        offset = self.random.random() * TICK_S
        self.schedule.after(offset, lambda: self._tick(node))
        self.schedule.after(offset, lambda: self._tick_control(node))
        return node

    def kill(self, name: InstanceId, fabric_lag_s: float = 0.5) -> None:
        """Kill an instance; the fabric notices after a while."""
        self.nodes[name].is_dead = True
        self.schedule.after(fabric_lag_s, lambda: self._leave_fabric(name))

    def stop(self, name: InstanceId) -> None:
        """Begin the graceful stop of an instance."""
        node = self.nodes[name]
        node.is_leaving = True
        self._carry_control(node, node.control.begin_leaving(self.now))
        self._carry(node, node.core.begin_leaving(self.now), b"", None)

    def unlist(self, name: InstanceId) -> None:
        """Take an instance off the published list and the fabric."""
        listed = [item for item in self.platform.instances if item.id != name]
        self.platform.list_instances(listed)
        self._leave_fabric(name)

    def pause(self, name: InstanceId, seconds: float) -> None:
        """Freeze an instance; what arrives meanwhile is delivered when it wakes."""
        self.nodes[name].paused_until = self.now + seconds

    def cut(self, one: DomainId, other: DomainId) -> None:
        """Cut two failure domains off from each other."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()
        self.platform_cuts.clear()
        self.caller_cuts.clear()

    def open_flows(
        self,
        service: Service,
        count: int,
        over_s: float,
        rounds: int = 3,
        interval_s: float = 0.5,
    ) -> list[FakeFlow]:
        """Open flows at times spread evenly over a duration."""
        flows = []
        for number in range(count):
            flows.append(self._create_flow(service, rounds, interval_s))
            self.schedule.after(over_s * number / count, flows[-1].open)
        self.flows += flows
        return flows

    def count(self, flows: Iterable[FakeFlow] | None = None) -> Counter[FlowOutcome]:
        """Count flows by outcome."""
        return Counter(flow.outcome for flow in (self.flows if flows is None else flows))

    def give_up_flows(self, upstreams: Iterable[UpstreamId]) -> None:
        """Note that the flows of upstreams may end, as operators took them out."""
        names = set(upstreams)
        for flow in self.flows:
            if flow.accepted_by in names:
                flow.give_up()

    def _create_flow(self, service: Service, rounds: int, interval_s: float) -> FakeFlow:
        number = self._next_caller
        self._next_caller += 1
        span = LAST_PORT - FIRST_PORT
        source = ((CALLER_NET + 1 + number // span).to_bytes(4), FIRST_PORT + number % span)
        address = service.addresses[number % len(service.addresses)]
        flow = FakeFlow(source, address, self.schedule, self._spray, rounds, interval_s)
        self._by_source[source] = flow
        return flow

    def _leave_fabric(self, name: InstanceId) -> None:
        if name in self.fabric:
            self.fabric.remove(name)

    def _spray(self, flow: FakeFlow, segment: Segment) -> None:
        if not self.fabric:
            return
        node = self.nodes[self.random.choice(self.fabric)]
        if node.instance.domain in self.caller_cuts:
            return
        packet = segment.pack()
        self.schedule.after(
            self._caller_latency_s, lambda: self._enter(node, packet, ("caller", 0))
        )

    def inject(self, name: InstanceId, segment: Segment) -> None:
        """Hand a caller's segment to one instance."""
        self._enter(self.nodes[name], segment.pack(), ("caller", 0))

    def _enter(self, node: FakeNode, packet: bytes, source: tuple[str, int]) -> None:
        if not self._is_awake(node, lambda: self._enter(node, packet, source)):
            return
        self._carry(node, node.core.receive_packet(packet, source, self.now), packet, None)

    def _is_awake(self, node: FakeNode, again: Callable[[], None]) -> bool:
        if node.is_dead:
            return False
        if self.now < node.paused_until:
            self.schedule.after(node.paused_until - self.now, again)
            return False
        return True

    def _tick(self, node: FakeNode) -> None:
        if not self._is_awake(node, lambda: self._tick(node)):
            return
        self._carry(node, node.core.tick(self.now), b"", None)
        self.schedule.after(TICK_S, lambda: self._tick(node))

    def _tick_control(self, node: FakeNode) -> None:
        if not self._is_awake(node, lambda: self._tick_control(node)):
            return
        self._watch(node)
        self._carry_control(node, node.control.receive_report(node.core.collect_report(), self.now))
        self._carry_control(node, node.control.tick(self.now))
        self.schedule.after(CONTROL_TICK_S, lambda: self._tick_control(node))

    def _carry(
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
                self._return(packet, source)
            elif isinstance(action, ReturnPacket):
                self._return(action.packet, source)
            elif isinstance(action, Drop):
                self.drops[action.reason] += 1

    def _log(self, node: FakeNode, action: LogRoute) -> None:
        self.routes[action.reason] += 1
        if self.keep_logs:
            self.logs.append((self.now, node.instance.id, action))

    def _forward(self, node: FakeNode, address: Endpoint, packet: bytes) -> None:
        node.forwarded += 1
        upstream = self.upstreams[self._by_address[address]]
        if self._is_cut(node.instance.domain, upstream.upstream.domain):
            return
        segment = unpack_segment(packet)
        service = self._service_of[segment.target]
        if upstream.id not in {item.id for item in service.upstreams}:
            self.wrong_service += 1
        self.schedule.after(self._latency_s, lambda: upstream.receive(segment))

    def _answer(self, upstream: FakeUpstream, segment: Segment) -> None:
        service = self._service_of[segment.source]
        if service.return_path is ReturnPath.DIRECT:
            self.schedule.after(self._caller_latency_s, lambda: self._deliver(segment, upstream.id))
            return
        reachable = [
            name
            for name in self.fabric
            if not self._is_cut(self.nodes[name].instance.domain, upstream.upstream.domain)
        ]
        if not reachable:
            return
        node = self.nodes[self.random.choice(reachable)]
        packet = segment.pack()
        delay_s = self._latency_s + self._draw(self.answer_delay_s)
        self.schedule.after(delay_s, lambda: self._enter_answer(node, packet, upstream))

    def _enter_answer(self, node: FakeNode, packet: bytes, upstream: FakeUpstream) -> None:
        if not self._is_awake(node, lambda: self._enter_answer(node, packet, upstream)):
            return
        address = upstream.upstream.address
        source = (address.host, address.port)
        actions = node.core.receive_packet(packet, source, self.now)
        self._carry(node, actions, packet, upstream.id)

    def _return(self, packet: bytes, source: UpstreamId | None) -> None:
        segment = unpack_segment(packet)
        self.schedule.after(self._caller_latency_s, lambda: self._deliver(segment, source))

    def _deliver(self, segment: Segment, sender: UpstreamId | None) -> None:
        flow = self._by_source.get((segment.target, segment.target_port))
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
        for _ in range(1 + self._happens(self.duplication)):
            self.schedule.after(self._delay(), lambda: self._receive(target, sender, action))

    def _receive(self, node: FakeNode, sender: InstanceId, action: SendToPeer) -> None:
        if not self._is_awake(node, lambda: self._receive(node, sender, action)):
            return
        actions = node.core.receive_message(sender, action.message, self.now)
        self._carry(node, actions, b"", None)

    def _send_view(self, node: FakeNode, action: SendToView) -> None:
        if self.on_message is not None:
            self.on_message(node.instance.id, action)
        target = self.nodes.get(action.instance)
        if target is None or self._is_lost(node, target):
            return
        sender = node.instance.id
        for _ in range(1 + self._happens(self.duplication)):
            self.schedule.after(self._delay(), lambda: self._receive_view(target, sender, action))

    def _receive_view(self, node: FakeNode, sender: InstanceId, action: SendToView) -> None:
        if not self._is_awake(node, lambda: self._receive_view(node, sender, action)):
            return
        actions = node.control.receive_message(sender, action.message, self.now)
        self._carry_control(node, actions)

    def _delay(self) -> float:
        return self._latency_s * (0.5 + self.random.random()) + self._draw(self.extra_delay_s)

    def _draw(self, longest_s: float) -> float:
        return self.random.random() * longest_s if longest_s else 0.0

    def _is_lost(self, node: FakeNode, target: FakeNode) -> bool:
        if self._is_cut(node.instance.domain, target.instance.domain):
            return True
        return self._happens(self.loss)

    def _happens(self, share: float) -> bool:
        return share > 0.0 and self.random.random() < share

    def _is_cut(self, one: DomainId, other: DomainId) -> bool:
        return one != other and frozenset((one, other)) in self.cuts

    def _carry_control(self, node: FakeNode, actions: Sequence[ControlAction]) -> None:
        for action in actions:
            if isinstance(action, SendToView):
                self._send_view(node, action)
            elif isinstance(action, UpdateEntry):
                self._carry(node, node.core.update_view(action.update, self.now), b"", None)
            elif isinstance(action, WatchPlatform):
                node.is_watching = True
            elif isinstance(action, StopWatching):
                node.is_watching = False
            elif isinstance(action, ReadHealth):
                self._read_health(node, action.upstream)

    def _watch(self, node: FakeNode) -> None:
        """Hand a watching node what the platform serves, when it is news to it."""
        if not node.is_watching:
            return
        if self.platform.is_down or node.instance.domain in self.platform_cuts:
            self._carry_control(
                node, node.control.receive_reading(PlatformReadFailed("timeout"), self.now)
            )
            return
        served = (self.platform.served, self.platform.instances)
        if node.seen == served:
            return
        node.seen = served
        self.platform.reads += 1
        for event in (InstancesRead(served[1]), ConfigurationRead(served[0])):
            self._carry_control(node, node.control.receive_reading(event, self.now))

    def _read_health(self, node: FakeNode, name: UpstreamId) -> None:
        upstream = self.upstreams.get(name)
        if upstream is None:
            return
        is_cut = self._is_cut(node.instance.domain, upstream.upstream.domain)
        is_silent = upstream.is_down or is_cut
        reading = HealthReading(name, False) if is_silent else upstream.read_health()
        delay_s = HEALTH_LATENCY_S + upstream.health_lag_s
        self.schedule.after(delay_s, lambda: self._take_health(node, reading))

    def _take_health(self, node: FakeNode, reading: HealthReading) -> None:
        if self._is_awake(node, lambda: self._take_health(node, reading)):
            self._carry_control(node, node.control.receive_reading(reading, self.now))
