"""Replays counterexamples of the routing specification on real packet cores.

Entry 0 of the specification ranks first as home of the flow's slot, entry 2 last. Messages between
cores are delivered at once, except hints and releases, which are queued until a step delivers them.
"""

from collections.abc import Callable, Sequence

import msgspec

from chicoryproxy.control.versions import VersionStore
from chicoryproxy.ids import InstanceId, SlotIndex, UpstreamId, Version
from chicoryproxy.model import Configuration, FlowLimits, Instance, Service
from chicoryproxy.protocol.actions import Forward, ForwardHeld, PacketAction, SendToPeer
from chicoryproxy.protocol.messages import FlowHints, Member, SlotName, SlotReleases, ViewUpdate
from chicoryproxy.protocol.packet import FLAG_ACK, FLAG_SYN, PacketHeader, hash_flow, parse_packet
from chicoryproxy.rendezvous import rank_instances
from chicoryproxy.routing.placement import choose_size
from chicoryproxy.routing.router import PacketCore, create_packet_core
from chicoryproxy.states import MemberState
from chicoryproxy.testing import Segment, create_tenggara
from spec.finding import Finding, Step
from spec.routingrules import RoutingStep

IDLE_TIMEOUT_S = 60.0
SPREAD_S = 3.0
PAUSE_S = 5.0
TICK_S = 0.2
SETTLE_S = 4.0
ENTRIES = range(3)
CALLER = ("10.0.0.1", 0)
FLOW_PORT = 20_000


class ReplayNet:
    """A network of three packet cores and one flow.

    :param upstream_numbers: index of the upstream that each generation chooses, from generation 1.
    :ivar reached: upstreams that received a packet of the flow.
    """

    def __init__(self, upstream_numbers: Sequence[int]) -> None:
        self.now = 100.0
        self.reached: list[UpstreamId] = []
        self._upstream_numbers = upstream_numbers
        deployment = create_tenggara(len(ENTRIES))
        self._base = _replace_idle_timeout(deployment.configuration)
        self._service = self._base.services[0]
        self._syn = _build_packet(self._service, FLOW_PORT, FLAG_SYN)
        self._data = _build_packet(self._service, FLOW_PORT, FLAG_ACK)
        self._slot = _find_slot(self._service, self._syn)
        self._instances = _rank_by_slot(self._slot, deployment.instances)
        self._cores: dict[int, PacketCore] = {}
        self._paused: set[int] = set()
        self._stores = {i: self._create_store() for i in ENTRIES}
        self._leaving_peers: dict[int, set[int]] = {i: set() for i in ENTRIES}
        self._queued: list[tuple[int, int, FlowHints | SlotReleases]] = []
        self._view_number = 0
        for i in ENTRIES:
            self._start_core(i)

    def prepare(self, finding: Finding) -> None:
        """Bring the cores into the initial state of a counterexample."""
        start = {change.name: change.value for change in finding.start}
        for i in ENTRIES:
            self._receive_packet(i, self._build_other_flow_packet())
        self._advance(SETTLE_S, queues_messages=False)
        if start["flow"]:
            self._receive_packet(len(ENTRIES) - 1, self._syn)
            self._receive_packet(0, self._data)
        if start["know_0_2"]:
            for i in ENTRIES:
                self._learn_version(i, 2)
            for i in ENTRIES:
                if start[f"force_{i}"] == 2:
                    self._apply_version(i, 2)

    def apply_step(self, step: Step) -> None:
        """Apply one step; steps that the cores take by themselves have no effect."""
        handlers: dict[object, Callable[..., None]] = {
            RoutingStep.LEARN: self._learn_version,
            RoutingStep.ENFORCE: self._apply_version,
            RoutingStep.OPENING: lambda i: self._receive_packet(i, self._syn),
            RoutingStep.DATA: lambda i: self._receive_packet(i, self._data),
            RoutingStep.HINT: lambda i, j: self._deliver_queued(FlowHints, i),
            RoutingStep.RELEASED: lambda i, v: self._deliver_queued(SlotReleases, i),
            RoutingStep.TAKE_OVER: self._take_over,
            RoutingStep.RELEASE: lambda i, j, v: self._wait_for_release(j, step),
            RoutingStep.PAUSE: self._paused.add,
            RoutingStep.RESUME: self._wake,
            RoutingStep.CONFIRM: lambda i, j: self._confirm(i, j),
            RoutingStep.CRASH: self._remove,
            RoutingStep.LEAVE: lambda i, j: self._leave(i),
            RoutingStep.JOIN: self._join,
        }
        handler = handlers.get(step.label)
        if handler is not None:
            handler(*step.arguments)

    def send_probes(self) -> None:
        """Send a packet of the flow to each running entry."""
        for i in sorted(self._cores):
            if i not in self._paused:
                self._receive_packet(i, self._data)
        self._advance(1.0)

    def _start_core(self, i: int, stale: bool = False) -> None:
        instance = self._instances[i]
        self._cores[i] = create_packet_core(instance.id, instance.domain, instance.region)
        self._update_view(i, stale)

    def _update_view(self, i: int, stale: bool = False) -> None:
        if i not in self._cores or i in self._paused:
            return
        store = self._stores[i]
        self._view_number += 1
        update = ViewUpdate(
            number=self._view_number,
            configuration=store.configuration,
            generations=store.list_generations(),
            members=tuple(
                Member(self._instances[j], self._get_member_state(i, j)) for j in ENTRIES
            ),
            conditions=(),
            highest=store.highest,
            placed=store.placed,
            stale=stale,
        )
        self._execute(i, self._cores[i].update_view(update, self.now))

    def _get_member_state(self, i: int, j: int) -> MemberState:
        if j not in self._cores:
            return MemberState.GONE
        return MemberState.LEAVING if j in self._leaving_peers[i] else MemberState.ALIVE

    def _build_configuration(self, version: int) -> Configuration:
        chosen = self._upstream_numbers[version - 1]
        upstreams = tuple(
            msgspec.structs.replace(upstream, draining=number != chosen)
            for number, upstream in enumerate(self._service.upstreams)
        )
        service = msgspec.structs.replace(self._service, upstreams=upstreams)
        services = (service, *self._base.services[1:])
        return msgspec.structs.replace(self._base, version=Version(version), services=services)

    def _create_store(self) -> VersionStore:
        store = VersionStore()
        store.adopt(self._build_configuration(1), self.now)
        store.advance_placed((), SPREAD_S, self.now)
        return store

    def _receive_packet(self, i: int, packet: bytes) -> None:
        if i in self._cores and i not in self._paused:
            self.now += 0.001
            actions = self._cores[i].receive_packet(packet, CALLER, self.now)
            self._execute(i, actions, packet)

    def _execute(self, i: int, actions: Sequence[PacketAction], packet: bytes = b"") -> None:
        for action in actions:
            if isinstance(action, Forward):
                self._record_reached(action.upstream, packet)
            elif isinstance(action, ForwardHeld):
                self._record_reached(action.upstream, action.packet)
            elif isinstance(action, SendToPeer):
                self._send(i, action)

    def _record_reached(self, upstream: UpstreamId, packet: bytes) -> None:
        if packet in (self._syn, self._data):
            self.reached.append(upstream)

    def _send(self, i: int, action: SendToPeer) -> None:
        targets = [j for j in ENTRIES if self._instances[j].id == action.instance]
        for j in targets:
            if isinstance(action.message, FlowHints | SlotReleases):
                self._queued.append((i, j, action.message))
            else:
                self._deliver(i, j, action.message)

    def _deliver(self, i: int, j: int, message: object) -> None:
        if j in self._cores and j not in self._paused:
            sender = self._instances[i].id
            self._execute(j, self._cores[j].receive_message(sender, message, self.now))

    def _deliver_queued(self, kind: type, target: int | None = None) -> None:
        queued, self._queued = self._queued, []
        for i, j, message in queued:
            if isinstance(message, kind) and target in (None, j):
                self._deliver(i, j, message)
            else:
                self._queued.append((i, j, message))

    def _advance(self, seconds: float, queues_messages: bool = True) -> None:
        until_s = self.now + seconds
        while self.now < until_s:
            self.now += TICK_S
            for i in sorted(self._cores):
                if i not in self._paused:
                    self._execute(i, self._cores[i].tick(self.now))
            if not queues_messages:
                self._deliver_queued(object)

    def _learn_version(self, i: int, version: int) -> None:
        self._stores[i].adopt(self._build_configuration(version), self.now)
        self._update_view(i)

    def _apply_version(self, i: int, version: int) -> None:
        store = self._stores[i]
        running = [j for j in self._cores if j not in self._paused and j != i]
        for j in running:
            store.record_peer_version(self._instances[j].id, self._stores[j].version)
        store.advance_placed([self._instances[j].id for j in running], SPREAD_S, self.now)
        self._update_view(i)

    def _take_over(self, i: int) -> None:
        self._leaving_peers[i] = set(range(i))
        for j in ENTRIES:
            self._leaving_peers[j].discard(i)
            self._update_view(j)

    def _wait_for_release(self, j: int, step: Step) -> None:
        self._advance(1.0 if self.reached else IDLE_TIMEOUT_S + SETTLE_S)
        if f"base_{j}" in {change.name for change in step.changes}:
            self._deliver_queued(SlotReleases, j)

    def _wake(self, i: int) -> None:
        self._advance(PAUSE_S)
        self._paused.discard(i)

    def _confirm(self, i: int, j: int) -> None:
        store, peer_store = self._stores[i], self._stores[j]
        store.adopt(peer_store.configuration, self.now)
        store.merge_generations(peer_store.list_generations())
        self._update_view(i)

    def _leave(self, i: int) -> None:
        self._execute(i, self._cores[i].begin_leaving(self.now))
        self._advance(1.0)
        self._remove(i)

    def _remove(self, i: int) -> None:
        del self._cores[i]
        self._paused.discard(i)
        for j in ENTRIES:
            self._update_view(j)

    def _join(self, i: int) -> None:
        self._stores[i] = self._create_store()
        self._leaving_peers[i] = set(ENTRIES) - {i}
        self._start_core(i, stale=True)
        for j in ENTRIES:
            if j != i:
                self._leaving_peers[j].add(i)

    def _build_other_flow_packet(self) -> bytes:
        """Return a packet of another flow in the same slot."""
        for port in range(FLOW_PORT + 1, FLOW_PORT + 10_000):
            packet = _build_packet(self._service, port, FLAG_ACK)
            if _find_slot(self._service, packet) == self._slot:
                return packet
        raise AssertionError("found no other flow of the slot")


def _replace_idle_timeout(configuration: Configuration) -> Configuration:
    limits = FlowLimits(idle_timeout_s=IDLE_TIMEOUT_S)
    services = tuple(
        msgspec.structs.replace(service, limits=limits) for service in configuration.services
    )
    return msgspec.structs.replace(configuration, services=services)


def _build_packet(service: Service, port: int, flags: int) -> bytes:
    address = service.addresses[0]
    target = bytes(int(part) for part in address.host.split("."))
    return Segment(b"\x0a\x00\x00\x01", port, target, address.port, flags).pack()


def _find_slot(service: Service, packet: bytes) -> SlotName:
    head = parse_packet(packet)
    assert isinstance(head, PacketHeader)
    size = choose_size(1)
    return SlotName(service.id, SlotIndex(hash_flow(head) & (size - 1)), size)


def _rank_by_slot(slot: SlotName, instances: Sequence[Instance]) -> list[Instance]:
    by_id = {instance.id: instance for instance in instances}
    key = f"slot/{slot.service}/{slot.size}/{slot.slot}"
    ranked: Sequence[InstanceId] = rank_instances(key, by_id, len(by_id))
    return [by_id[name] for name in ranked]
