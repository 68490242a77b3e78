"""Simulated fleet of instances, with its upstreams and callers."""

from collections import Counter
from collections.abc import Iterable, Sequence

from chicoryproxy.ids import InstanceId, UpstreamId
from chicoryproxy.model import Configuration, Instance, Service
from chicoryproxy.testing._fakecontrolplane import FakeControlPlane
from chicoryproxy.testing._fakedataplane import TICK_S
from chicoryproxy.testing._fakeflow import FakeFlow, FlowOutcome
from chicoryproxy.testing._fakenode import FakeNode
from chicoryproxy.testing._fakeplatform import FakePlatform

FIRST_PORT = 1024
LAST_PORT = 65_000
FIRST_CALLER_ADDRESS = 0x0A000000


class FakeFleet(FakeControlPlane):
    """Real cores on a simulated clock, and what operators and callers do with them.

    :param configuration: initial configuration.
    :param instances: initial instances.
    :param seed: seed of every random choice.
    :param latency_s: one-way latency between instances, in seconds.
    :param caller_latency_s: one-way latency between callers and the fleet, in seconds.
    :param loss: fraction of messages between instances that are lost.
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
        platform = FakePlatform(configuration, instances)
        super().__init__(platform, seed, latency_s, caller_latency_s, loss)
        self.flows: list[FakeFlow] = []
        self._next_flow_number = 0
        for instance in instances:
            self.start_node(instance)
        self.start_upstreams(configuration)

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
