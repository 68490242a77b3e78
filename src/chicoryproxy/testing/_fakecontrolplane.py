"""Simulated control plane: views of the instances, reads of the platform and health readings."""

from collections.abc import Sequence

from chicoryproxy.ids import InstanceId, UpstreamId
from chicoryproxy.protocol.actions import (
    ControlAction,
    ReadHealth,
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
from chicoryproxy.testing._fakedataplane import FakeDataPlane
from chicoryproxy.testing._fakenode import FakeNode
from chicoryproxy.testing._fakeplatform import FakePlatform

CONTROL_TICK_S = 0.1
HEALTH_LATENCY_S = 0.005


class FakeControlPlane(FakeDataPlane):
    """Drives the control cores of instances, which watch a simulated platform.

    :param platform: the platform. The other parameters are those of ``FakeNetwork``.
    """

    def __init__(
        self,
        platform: FakePlatform,
        seed: int,
        latency_s: float,
        caller_latency_s: float,
        loss: float,
    ) -> None:
        super().__init__(seed, latency_s, caller_latency_s, loss)
        self.platform = platform

    def _tick_control(self, node: FakeNode) -> None:
        if not self._can_process_now(node, lambda: self._tick_control(node)):
            return
        self._read_platform(node)
        self._execute_control_actions(
            node, node.control.receive_report(node.core.collect_report(), self.now)
        )
        self._execute_control_actions(node, node.control.tick(self.now))
        self.schedule.call_later(CONTROL_TICK_S, lambda: self._tick_control(node))

    def _send_view(self, node: FakeNode, action: SendToView) -> None:
        self._transmit(node, action, self._receive_view)

    def _receive_view(self, node: FakeNode, sender: InstanceId, action: SendToView) -> None:
        if not self._can_process_now(node, lambda: self._receive_view(node, sender, action)):
            return
        actions = node.control.receive_message(sender, action.message, self.now)
        self._execute_control_actions(node, actions)

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
