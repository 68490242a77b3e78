"""Carries the steps of the routing specification's counterexamples out on real packet cores.

Entry 0 of the specification is the first choice of the flow's slot, entry 2 the last. Messages
between cores are delivered at once, but for hints and releases, which wait for a step of theirs.
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
from spec.routing import RoutingStep
from spec.system import Finding, Step

IDLE_TIMEOUT_S = 60.0
SPREAD_S = 3.0
PAUSE_S = 5.0
TICK_S = 0.2
SETTLE_S = 4.0
ENTRIES = range(3)
CALLER = ("10.0.0.1", 0)
FLOW_PORT = 20_000


class ReplayNet:
    """Three packet cores and one flow.

    :param places: number of the upstream of each generation, from generation 1 on.
    :ivar reached: upstreams that got a packet of the flow.
    """

    def __init__(self, places: Sequence[int]) -> None:
        self.now = 100.0
        self.reached: list[UpstreamId] = []
        self._places = places
        deployment = create_tenggara(len(ENTRIES))
        self._base = _shorten(deployment.configuration)
        self._service = self._base.services[0]
        self._syn = _build_packet(self._service, FLOW_PORT, FLAG_SYN)
        self._data = _build_packet(self._service, FLOW_PORT, FLAG_ACK)
        self._slot = _find_slot(self._service, self._syn)
        self._instances = _rank(self._slot, deployment.instances)
        self._cores: dict[int, PacketCore] = {}
        self._paused: set[int] = set()
        self._stores = {i: self._create_store() for i in ENTRIES}
        self._better: dict[int, set[int]] = {i: set() for i in ENTRIES}
        self._held: list[tuple[int, int, FlowHints | SlotReleases]] = []
        self._number = 0
        for i in ENTRIES:
            self._start(i)

    def prepare(self, finding: Finding) -> None:
        """Bring the cores into the start of a counterexample."""
        start = {change.name: change.value for change in finding.start}
        for i in ENTRIES:
            self._packet(i, self._neighbour())
        self._run(SETTLE_S, keeps_messages=False)
        if start["flow"]:
            self._packet(len(ENTRIES) - 1, self._syn)
            self._packet(0, self._data)
        if start["know_0_2"]:
            for i in ENTRIES:
                self._learn(i, 2)
            for i in ENTRIES:
                if start[f"force_{i}"] == 2:
                    self._place(i, 2)

    def carry_out(self, step: Step) -> None:
        """Carry out one step; steps that the cores take by themselves have no effect."""
        handlers: dict[object, Callable[..., None]] = {
            RoutingStep.LEARN: self._learn,
            RoutingStep.ENFORCE: self._place,
            RoutingStep.OPENING: lambda i: self._packet(i, self._syn),
            RoutingStep.DATA: lambda i: self._packet(i, self._data),
            RoutingStep.HINT: lambda i, j: self._release_held(FlowHints, i),
            RoutingStep.RELEASED: lambda i, v: self._release_held(SlotReleases, i),
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

    def probe(self) -> None:
        """Send a packet of the flow to each entry that runs."""
        for i in sorted(self._cores):
            if i not in self._paused:
                self._packet(i, self._data)
        self._run(1.0)

    def _start(self, i: int, stale: bool = False) -> None:
        instance = self._instances[i]
        self._cores[i] = create_packet_core(instance.id, instance.domain, instance.region)
        self._update(i, stale)

    def _update(self, i: int, stale: bool = False) -> None:
        if i not in self._cores or i in self._paused:
            return
        store = self._stores[i]
        self._number += 1
        update = ViewUpdate(
            number=self._number,
            configuration=store.configuration,
            generations=store.list_generations(),
            members=tuple(Member(self._instances[j], self._state(i, j)) for j in ENTRIES),
            conditions=(),
            highest=store.highest,
            placed=store.placed,
            stale=stale,
        )
        self._carry(i, self._cores[i].update_view(update, self.now))

    def _state(self, i: int, j: int) -> MemberState:
        if j not in self._cores:
            return MemberState.GONE
        return MemberState.LEAVING if j in self._better[i] else MemberState.ALIVE

    def _configure(self, version: int) -> Configuration:
        chosen = self._places[version - 1]
        upstreams = tuple(
            msgspec.structs.replace(upstream, draining=number != chosen)
            for number, upstream in enumerate(self._service.upstreams)
        )
        service = msgspec.structs.replace(self._service, upstreams=upstreams)
        services = (service, *self._base.services[1:])
        return msgspec.structs.replace(self._base, version=Version(version), services=services)

    def _create_store(self) -> VersionStore:
        store = VersionStore()
        store.adopt(self._configure(1), self.now)
        store.advance_placed((), SPREAD_S, self.now)
        return store

    def _packet(self, i: int, packet: bytes) -> None:
        if i in self._cores and i not in self._paused:
            self.now += 0.001
            actions = self._cores[i].receive_packet(packet, CALLER, self.now)
            self._carry(i, actions, packet)

    def _carry(self, i: int, actions: Sequence[PacketAction], packet: bytes = b"") -> None:
        for action in actions:
            if isinstance(action, Forward):
                self._note(action.upstream, packet)
            elif isinstance(action, ForwardHeld):
                self._note(action.upstream, action.packet)
            elif isinstance(action, SendToPeer):
                self._send(i, action)

    def _note(self, upstream: UpstreamId, packet: bytes) -> None:
        if packet in (self._syn, self._data):
            self.reached.append(upstream)

    def _send(self, i: int, action: SendToPeer) -> None:
        targets = [j for j in ENTRIES if self._instances[j].id == action.instance]
        for j in targets:
            if isinstance(action.message, FlowHints | SlotReleases):
                self._held.append((i, j, action.message))
            else:
                self._deliver(i, j, action.message)

    def _deliver(self, i: int, j: int, message: object) -> None:
        if j in self._cores and j not in self._paused:
            sender = self._instances[i].id
            self._carry(j, self._cores[j].receive_message(sender, message, self.now))

    def _release_held(self, kind: type, target: int | None = None) -> None:
        held, self._held = self._held, []
        for i, j, message in held:
            if isinstance(message, kind) and target in (None, j):
                self._deliver(i, j, message)
            else:
                self._held.append((i, j, message))

    def _run(self, seconds: float, keeps_messages: bool = True) -> None:
        until_s = self.now + seconds
        while self.now < until_s:
            self.now += TICK_S
            for i in sorted(self._cores):
                if i not in self._paused:
                    self._carry(i, self._cores[i].tick(self.now))
            if not keeps_messages:
                self._release_held(object)

    def _learn(self, i: int, version: int) -> None:
        self._stores[i].adopt(self._configure(version), self.now)
        self._update(i)

    def _place(self, i: int, version: int) -> None:
        store = self._stores[i]
        running = [j for j in self._cores if j not in self._paused and j != i]
        for j in running:
            store.record_peer_version(self._instances[j].id, self._stores[j].version)
        store.advance_placed([self._instances[j].id for j in running], SPREAD_S, self.now)
        self._update(i)

    def _take_over(self, i: int) -> None:
        self._better[i] = set(range(i))
        for j in ENTRIES:
            self._better[j].discard(i)
            self._update(j)

    def _wait_for_release(self, j: int, step: Step) -> None:
        self._run(1.0 if self.reached else IDLE_TIMEOUT_S + SETTLE_S)
        if f"base_{j}" in {change.name for change in step.changes}:
            self._release_held(SlotReleases, j)

    def _wake(self, i: int) -> None:
        self._run(PAUSE_S)
        self._paused.discard(i)

    def _confirm(self, i: int, j: int) -> None:
        mine, theirs = self._stores[i], self._stores[j]
        mine.adopt(theirs.configuration, self.now)
        mine.merge_generations(theirs.list_generations())
        self._update(i)

    def _leave(self, i: int) -> None:
        self._carry(i, self._cores[i].begin_leaving(self.now))
        self._run(1.0)
        self._remove(i)

    def _remove(self, i: int) -> None:
        del self._cores[i]
        self._paused.discard(i)
        for j in ENTRIES:
            self._update(j)

    def _join(self, i: int) -> None:
        self._stores[i] = self._create_store()
        self._better[i] = set(ENTRIES) - {i}
        self._start(i, stale=True)
        for j in ENTRIES:
            if j != i:
                self._better[j].add(i)

    def _neighbour(self) -> bytes:
        """Return a packet of another flow of the slot."""
        for port in range(FLOW_PORT + 1, FLOW_PORT + 10_000):
            packet = _build_packet(self._service, port, FLAG_ACK)
            if _find_slot(self._service, packet) == self._slot:
                return packet
        raise AssertionError("no other flow of the slot")


def _shorten(configuration: Configuration) -> Configuration:
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


def _rank(slot: SlotName, instances: Sequence[Instance]) -> list[Instance]:
    by_id = {instance.id: instance for instance in instances}
    key = f"slot/{slot.service}/{slot.size}/{slot.slot}"
    ranked: Sequence[InstanceId] = rank_instances(key, by_id, len(by_id))
    return [by_id[name] for name in ranked]
