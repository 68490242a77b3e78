"""Simulated network: latencies, losses, partitions and the messages between instances."""

from collections.abc import Callable
from random import Random
from typing import TypeVar

from chicoryproxy.ids import DomainId, InstanceId
from chicoryproxy.protocol.actions import SendToPeer, SendToView
from chicoryproxy.testing._fakenode import FakeNode
from chicoryproxy.testing._fakewire import Schedule

MessageAction = TypeVar("MessageAction", SendToPeer, SendToView)


class FakeNetwork:
    """The network between instances, upstreams and callers, on a simulated clock.

    :param seed: seed of every random choice.
    :param latency_s: one-way latency between instances, in seconds.
    :param caller_latency_s: one-way latency between callers and the fleet, in seconds.
    :param loss: fraction of messages between instances that are lost.
    :ivar nodes: all instances, by name.
    :ivar on_message: observes each message that an instance sends.
    :ivar duplication: fraction of messages between instances that are delivered twice.
    :ivar max_extra_delay_s: upper bound of the random delay that is added to each message between
        instances, in seconds.
    :ivar max_response_delay_s: upper bound of the random delay that is added to each response of an
        upstream, in seconds; a bound above a caller's retransmission timeout reorders responses.
    :ivar partitions: pairs of failure domains that can't reach each other.
    :ivar platform_partitions: failure domains whose instances can't reach the platform.
    :ivar caller_partitions: failure domains whose instances callers can't reach.
    """

    def __init__(self, seed: int, latency_s: float, caller_latency_s: float, loss: float) -> None:
        self.schedule = Schedule()
        self.random = Random(seed)
        self.nodes: dict[InstanceId, FakeNode] = {}
        self.on_message: Callable[[InstanceId, SendToPeer | SendToView], None] | None = None
        self.loss = loss
        self.duplication = 0.0
        self.max_extra_delay_s = 0.0
        self.max_response_delay_s = 0.0
        self.partitions: set[frozenset[DomainId]] = set()
        self.platform_partitions: set[DomainId] = set()
        self.caller_partitions: set[DomainId] = set()
        self._latency_s = latency_s
        self._caller_latency_s = caller_latency_s

    @property
    def now(self) -> float:
        """Current simulated time, in seconds."""
        return self.schedule.now

    def run(self, seconds: float) -> None:
        """Advance the simulation."""
        self.schedule.run_until(self.now + seconds)

    def partition(self, first: DomainId, second: DomainId) -> None:
        """Partition the network between two failure domains."""
        self.partitions.add(frozenset((first, second)))

    def heal(self) -> None:
        """End all network partitions."""
        self.partitions.clear()
        self.platform_partitions.clear()
        self.caller_partitions.clear()

    def _transmit(
        self,
        node: FakeNode,
        action: MessageAction,
        receive: Callable[[FakeNode, InstanceId, MessageAction], None],
    ) -> None:
        """Send a message to another instance, where ``receive`` processes it on arrival."""
        if self.on_message is not None:
            self.on_message(node.instance.id, action)
        target = self.nodes.get(action.instance)
        if target is None or self._is_lost(node.instance.domain, target.instance.domain):
            return
        sender = node.instance.id
        for _ in range(self._draw_copies()):
            self.schedule.call_later(
                self._draw_message_latency(), lambda: receive(target, sender, action)
            )

    def _can_process_now(self, node: FakeNode, retry: Callable[[], None]) -> bool:
        """Return whether a node runs; schedule ``retry`` for its resumption if it is paused."""
        if node.is_dead:
            return False
        if self.now < node.paused_until:
            self.schedule.call_later(node.paused_until - self.now, retry)
            return False
        return True

    def _is_partitioned(self, first: DomainId, second: DomainId) -> bool:
        return first != second and frozenset((first, second)) in self.partitions

    def _is_lost(self, sender: DomainId, receiver: DomainId) -> bool:
        if self._is_partitioned(sender, receiver):
            return True
        return self._draw_event(self.loss)

    def _draw_copies(self) -> int:
        return 1 + self._draw_event(self.duplication)

    def _draw_event(self, probability: float) -> bool:
        return probability > 0.0 and self.random.random() < probability

    def _draw_message_latency(self) -> float:
        latency_s = self._latency_s * (0.5 + self.random.random())
        return latency_s + self._draw_delay(self.max_extra_delay_s)

    def _draw_response_latency(self) -> float:
        return self._latency_s + self._draw_delay(self.max_response_delay_s)

    def _draw_delay(self, max_delay_s: float) -> float:
        return self.random.random() * max_delay_s if max_delay_s else 0.0
