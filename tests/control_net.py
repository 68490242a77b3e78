"""Simulates a network of control cores with a fake clock and seeded message delivery."""

import heapq
import random
from collections.abc import Callable, Iterable

import msgspec

from chicoryproxy.control.core import ControlCore, create_control_core
from chicoryproxy.ids import DomainId, InstanceId, RegionId, ServiceId, UpstreamId, Version
from chicoryproxy.model import (
    Configuration,
    Domain,
    Endpoint,
    FleetLimits,
    Instance,
    Service,
    ServiceAddress,
    Upstream,
)
from chicoryproxy.protocol.actions import (
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
from chicoryproxy.protocol.messages import MemberState, ViewMessage, ViewUpdate
from chicoryproxy.protocol.sizes import estimate_message_bytes
from chicoryproxy.states import DomainState, Protocol, UpstreamState

TICK_S = 0.1
DELAY_S = 0.002
DOMAINS = (DomainId("sohar-a"), DomainId("sohar-b"), DomainId("barka-a"))


def make_instance(index: int, domains: tuple[DomainId, ...] = DOMAINS) -> Instance:
    """Return an entry instance; indexes alternate between the domains."""
    host = f"127.0.{index // 250}.{index % 250 + 1}"
    return Instance(
        InstanceId(f"entry-{index:04}"),
        domains[index % len(domains)],
        RegionId("om-north"),
        Endpoint(host, 5555),
        Endpoint(host, 5556),
        Endpoint(host, 5557),
    )


def make_upstream(index: int, domain: DomainId, **changes: object) -> Upstream:
    """Return an upstream with a health endpoint."""
    id_ = UpstreamId(f"log-{index}")
    address = Endpoint(f"127.9.0.{index + 1}", 5555)
    upstream = Upstream(id_, domain, address, health_url=f"http://127.9.0.{index + 1}/health")
    return msgspec.structs.replace(upstream, **changes)


def make_configuration(
    version: int,
    upstreams: Iterable[Upstream] | None = None,
    out: Iterable[DomainId] = (),
    fleet: FleetLimits | None = None,
) -> Configuration:
    """Return a configuration with one service."""
    if upstreams is None:
        upstreams = [make_upstream(index, DOMAINS[index % 3]) for index in range(6)]
    states = {domain: DomainState.IN for domain in DOMAINS} | dict.fromkeys(out, DomainState.OUT)
    domains = tuple(Domain(id_, RegionId("om-north"), state) for id_, state in states.items())
    address = ServiceAddress("127.8.0.1", 80, Protocol.TCP)
    service = Service(ServiceId("recovery-log"), (address,), tuple(upstreams))
    return Configuration(Version(version), domains, (service,), fleet or FleetLimits())


class ControlNet:
    """Control cores, the messages between them, and a simulated platform.

    :param count: number of instances.
    :param loss: probability that a message is lost.

    ``is_dropped`` selects further messages to drop by sender and target. ``sent_bytes`` counts the
    bytes sent by each instance, without version bodies.
    """

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.seed = seed
        self.loss = loss
        self.now = 100.0
        self.instances = [make_instance(index) for index in range(count)]
        self.configuration: Configuration | None = make_configuration(1)
        self.published = tuple(self.instances)
        self.cores: dict[InstanceId, ControlCore] = {}
        self.views: dict[InstanceId, ViewUpdate] = {}
        self.watching: set[InstanceId] = set()
        self.paused: set[InstanceId] = set()
        self.sent_bytes: dict[InstanceId, int] = {}
        self.bulk_bytes = 0
        self.reads: list[UpstreamId] = []
        self.reading: Callable[[UpstreamId], HealthReading | None] = _read_ready
        self.is_dropped: Callable[[InstanceId, InstanceId], bool] = lambda sender, target: False
        self._queue: list[tuple[float, int, InstanceId, InstanceId, ViewMessage]] = []
        self._order = 0
        for instance in self.instances:
            self.start(instance)

    def start(self, instance: Instance) -> None:
        """Start an instance without any state."""
        self.cores[instance.id] = create_control_core(instance, self.seed)

    def kill(self, id_: InstanceId) -> None:
        """Stop an instance without announcing it."""
        del self.cores[id_]
        self.watching.discard(id_)
        self.views.pop(id_, None)

    def publish(self, configuration: Configuration | None) -> None:
        """Serve a configuration, or a failed read, to all watching instances."""
        self.configuration = configuration
        for id_ in sorted(self.watching):
            self._serve(id_)

    def publish_list(self, instances: Iterable[Instance]) -> None:
        """Serve an instance list to all watching instances."""
        self.published = tuple(instances)
        for id_ in sorted(self.watching):
            self.deliver_reading(id_, InstancesRead(self.published))

    def deliver_reading(self, id_: InstanceId, event: object) -> None:
        """Deliver a reading to a core and execute its actions."""
        self._execute(id_, self.cores[id_].receive_reading(event, self.now))

    def call(self, id_: InstanceId, method: str, *arguments: object) -> None:
        """Call a method of a core and execute its actions."""
        self._execute(id_, getattr(self.cores[id_], method)(*arguments, self.now))

    def run(self, seconds: float) -> None:
        """Advance the clock, with one tick of every running instance per interval."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            tick_at = self.now + TICK_S
            for id_ in sorted(self.cores):
                if id_ not in self.paused:
                    self.call(id_, "tick")
            self._deliver(tick_at)
            self.now = tick_at

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Advance the clock until a condition holds and return the elapsed seconds."""
        start = self.now
        while not condition():
            assert self.now - start <= limit_s, f"condition not met within {limit_s} s"
            self.run(TICK_S)
        return self.now - start

    def all_have(self, version: int) -> bool:
        """Return whether every entry has at least a version."""
        return all(
            id_ in self.views and self.views[id_].configuration.version >= version
            for id_ in self.cores
        )

    def get_state(self, viewer: InstanceId, subject: InstanceId) -> MemberState | None:
        """Return the state of a member in an instance's view, ``None`` if it isn't in the view."""
        for member in self.views[viewer].members:
            if member.instance.id == subject:
                return member.state
        return None

    def get_condition(self, viewer: InstanceId, upstream: str) -> UpstreamState:
        """Return the state of an upstream in an instance's view."""
        states = {entry.upstream: entry.state for entry in self.views[viewer].conditions}
        return states[UpstreamId(upstream)]

    def measure(self, message: ViewMessage) -> int:
        """Return the number of bytes that a message is counted with."""
        return estimate_message_bytes(message)

    def _deliver(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            at, _, sender, target, message = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            if target in self.cores and target not in self.paused:
                self.call(target, "receive_message", sender, message)

    def _execute(self, id_: InstanceId, actions: Iterable[object]) -> None:
        for action in actions:
            match action:
                case SendToView():
                    self._send(id_, action)
                case UpdateEntry(update=update):
                    self.views[id_] = update
                case WatchPlatform():
                    self.watching.add(id_)
                    self._serve(id_)
                case StopWatching():
                    self.watching.discard(id_)
                case ReadHealth(upstream=upstream):
                    self.reads.append(upstream)
                    reading = self.reading(upstream)
                    if reading is not None:
                        self.deliver_reading(id_, reading)

    def _send(self, sender: InstanceId, action: SendToView) -> None:
        size = self.measure(action.message)
        if type(action.message).__name__ == "VersionBody":
            self.bulk_bytes += size
        else:
            self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + size
        if self.is_dropped(sender, action.instance) or self.random.random() < self.loss:
            return
        self._order += 1
        at = self.now + DELAY_S * (0.5 + self.random.random())
        heapq.heappush(self._queue, (at, self._order, sender, action.instance, action.message))

    def _serve(self, id_: InstanceId) -> None:
        if self.configuration is None:
            self.deliver_reading(id_, PlatformReadFailed("no answer"))
            return
        self.deliver_reading(id_, InstancesRead(self.published))
        self.deliver_reading(id_, ConfigurationRead(self.configuration))


def _read_ready(upstream: UpstreamId) -> HealthReading:
    return HealthReading(upstream, True, UpstreamState.READY, 1000.0, 0, 0, 0.001)
