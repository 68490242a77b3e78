"""Simulated data plane: the way of packets from callers to upstreams and back."""

from collections import Counter
from collections.abc import Sequence
from ipaddress import ip_address

from chicoryproxy.ids import InstanceId, UpstreamId
from chicoryproxy.model import Configuration, Endpoint, Service
from chicoryproxy.protocol.actions import (
    Drop,
    Forward,
    ForwardHeld,
    LogRoute,
    PacketAction,
    Return,
    ReturnPacket,
    SendToPeer,
)
from chicoryproxy.protocol.messages import PassedPacket
from chicoryproxy.states import ReturnPath
from chicoryproxy.testing._fakeflow import FakeFlow
from chicoryproxy.testing._fakenetwork import FakeNetwork
from chicoryproxy.testing._fakenode import FakeNode
from chicoryproxy.testing._fakeupstream import FakeUpstream
from chicoryproxy.testing._fakewire import Segment, unpack_segment

TICK_S = 0.02


class FakeDataPlane(FakeNetwork):
    """Drives the packet cores of instances, behind a fabric that sprays packets over them.

    The parameters are those of ``FakeNetwork``.

    :ivar fabric: instances that receive packets of callers and responses.
    :ivar misrouted_segments: packets that were forwarded to an upstream of another service.
    :ivar keep_logs: whether to keep log records in ``logs``.
    """

    def __init__(self, seed: int, latency_s: float, caller_latency_s: float, loss: float) -> None:
        super().__init__(seed, latency_s, caller_latency_s, loss)
        self.fabric: list[InstanceId] = []
        self.upstreams: dict[UpstreamId, FakeUpstream] = {}
        self.drops: Counter[object] = Counter()
        self.routes: Counter[object] = Counter()
        self.misrouted_segments = 0
        self.keep_logs = False
        self.logs: list[tuple[float, InstanceId, LogRoute]] = []
        self._flow_by_source: dict[tuple[bytes, int], FakeFlow] = {}
        self._upstream_by_address: dict[Endpoint, UpstreamId] = {}
        self._service_by_address: dict[bytes, Service] = {}

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

    def inject(self, name: InstanceId, segment: Segment) -> None:
        """Deliver a caller's segment to a chosen instance."""
        self._receive_packet(self.nodes[name], segment.pack(), ("caller", 0))

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

    def _receive_packet(self, node: FakeNode, packet: bytes, source: tuple[str, int]) -> None:
        if not self._can_process_now(node, lambda: self._receive_packet(node, packet, source)):
            return
        self._execute_actions(
            node, node.core.receive_packet(packet, source, self.now), packet, None
        )

    def _tick(self, node: FakeNode) -> None:
        if not self._can_process_now(node, lambda: self._tick(node)):
            return
        self._execute_actions(node, node.core.tick(self.now), b"", None)
        self.schedule.call_later(TICK_S, lambda: self._tick(node))

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
        self.schedule.call_later(
            self._draw_response_latency(), lambda: self._receive_response(node, packet, upstream)
        )

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
        if isinstance(action.message, PassedPacket):
            node.passed += 1
        self._transmit(node, action, self._receive)

    def _receive(self, node: FakeNode, sender: InstanceId, action: SendToPeer) -> None:
        if not self._can_process_now(node, lambda: self._receive(node, sender, action)):
            return
        actions = node.core.receive_message(sender, action.message, self.now)
        self._execute_actions(node, actions, b"", None)
