"""A simulated fleet with a selectable packet core, whose control bytes are counted."""

from collections import Counter
from collections.abc import Sequence
from enum import Enum, unique

from benchmarks.baselines import HashingCore, TrackingCore
from chicoryproxy.ids import InstanceId
from chicoryproxy.model import Instance
from chicoryproxy.network import codec
from chicoryproxy.protocol.actions import ControlAction, SendToPeer, SendToView, UpdateEntry
from chicoryproxy.protocol.messages import PassedPacket, VersionBody
from chicoryproxy.testing import Deployment, FakeFleet, FakeNode

INSTANCES = 7
DELIVERY_DELAY_S = 5.0
IP_UDP_HEADER_BYTES = 28
SEAL_BYTES = 44


@unique
class CoreKind(Enum):
    """Which packet core the instances run."""

    CHICORY = "chicoryproxy"
    HASHING = "hashing"
    TRACKING = "tracking"


class ChangeFleet(FakeFleet):
    """A simulated fleet with a selectable packet core that counts control bytes.

    :param kind: the packet core that the instances run.
    :param deployment: initial configuration, instances and latencies.
    :param seed: seed of every random choice.
    :ivar received_packets: packets that entries received from the fabric.
    :ivar delayed_configuration_instance: instance that receives configurations
        ``DELIVERY_DELAY_S`` late.
    :ivar delayed_view_instance: instance whose entry receives its views ``DELIVERY_DELAY_S`` late.
    :ivar control_bytes: bytes of control messages other than configurations, by instance and
        second.
    :ivar configuration_bytes: bytes of configurations sent between instances.
    """

    def __init__(self, kind: CoreKind, deployment: Deployment, seed: int) -> None:
        self._kind = kind
        self.received_packets = 0
        self.delayed_configuration_instance: InstanceId | None = None
        self.delayed_view_instance: InstanceId | None = None
        self.control_bytes: Counter[tuple[InstanceId, int]] = Counter()
        self.configuration_bytes = 0
        super().__init__(
            deployment.configuration,
            deployment.instances,
            seed,
            deployment.latency_s,
            deployment.caller_latency_s,
        )
        self.on_message = self._count_message

    def start_node(self, instance: Instance, in_fabric: bool = True) -> FakeNode:
        """Start an instance with the selected packet core."""
        node = super().start_node(instance, in_fabric)
        if self._kind is CoreKind.HASHING:
            node.core = HashingCore()  # type: ignore[assignment]
        elif self._kind is CoreKind.TRACKING:
            node.core = TrackingCore()  # type: ignore[assignment]
        return node

    def _count_message(self, sender: InstanceId, action: SendToPeer | SendToView) -> None:
        if isinstance(action.message, PassedPacket):
            return
        size = IP_UDP_HEADER_BYTES + SEAL_BYTES + len(codec.encode(action.message))
        if isinstance(action.message, VersionBody):
            self.configuration_bytes += size
        else:
            self.control_bytes[sender, int(self.now)] += size

    def control_bytes_per_s(self, since_s: float, until_s: float) -> float:
        """Return the control bytes per second and instance in a period."""
        control_bytes = sum(
            size for (_, second), size in self.control_bytes.items() if since_s <= second < until_s
        )
        return control_bytes / (until_s - since_s) / INSTANCES

    def peak_control_bytes(self, since_s: float) -> int:
        """Return the most control bytes that an instance sent in one second since ``since_s``."""
        return max(
            (size for (_, second), size in self.control_bytes.items() if second >= since_s),
            default=0,
        )

    def _receive_packet(self, node: FakeNode, packet: bytes, source: tuple[str, int]) -> None:
        self.received_packets += 1
        super()._receive_packet(node, packet, source)

    def _read_platform(self, node: FakeNode) -> None:
        if node.instance.id != self.delayed_configuration_instance:
            super()._read_platform(node)

    def _receive_view(self, node: FakeNode, sender: InstanceId, action: SendToView) -> None:
        is_delayed = node.instance.id == self.delayed_configuration_instance and isinstance(
            action.message, VersionBody
        )
        if not is_delayed:
            super()._receive_view(node, sender, action)
            return
        self.schedule.call_later(
            DELIVERY_DELAY_S, lambda: super(ChangeFleet, self)._receive_view(node, sender, action)
        )

    def _execute_control_actions(self, node: FakeNode, actions: Sequence[ControlAction]) -> None:
        if node.instance.id != self.delayed_view_instance:
            super()._execute_control_actions(node, actions)
            return
        delayed = [action for action in actions if isinstance(action, UpdateEntry)]
        super()._execute_control_actions(node, [item for item in actions if item not in delayed])
        self.schedule.call_later(
            DELIVERY_DELAY_S,
            lambda: super(ChangeFleet, self)._execute_control_actions(node, delayed),
        )
