"""Step-by-step explanation of the routing of a flow, without any effect on the flow."""

from enum import Enum, unique

from msgspec import Struct

from chicoryproxy.ids import FlowKey, InstanceId, ServiceId, SlotIndex, UpstreamId, Version
from chicoryproxy.model import ServiceAddress
from chicoryproxy.routing.context import EntryContext
from chicoryproxy.routing.egress import is_permitted
from chicoryproxy.routing.flowname import FlowName
from chicoryproxy.routing.flowtable import FlowFlag
from chicoryproxy.routing.openings import GRANT_LIMITED_STATES
from chicoryproxy.routing.records import RecordTarget
from chicoryproxy.routing.route import ServiceRoute
from chicoryproxy.routing.slots import NO_UPSTREAM, ServiceSlots
from chicoryproxy.states import (
    DropReason,
    Protocol,
    RefusalReason,
    ReturnPath,
    RouteReason,
    UpstreamState,
)


class _Step(Struct, frozen=True, tag_field="step"):
    """Base of the steps, which the tag field distinguishes in JSON."""


class ViewStep(_Step, frozen=True, tag="view"):
    """The view of this entry.

    :param version: version of the configuration in force.
    :param placed: version by which new flows are placed.
    :param highest: highest version that a peer has.
    :param is_behind: packets of flows without a record are passed to the home of their slot.
    """

    instance: InstanceId
    version: Version
    placed: Version
    highest: Version
    is_behind: bool


class ServiceStep(_Step, frozen=True, tag="service"):
    """The service of the destination, or ``None`` if no service has the address."""

    address: ServiceAddress
    service: ServiceId | None
    return_path: ReturnPath | None


class SlotStep(_Step, frozen=True, tag="slot"):
    """The slot of the flow key.

    :param size: number of slots of the service.
    """

    flow: FlowKey
    slot: SlotIndex
    size: int


class GenerationStep(_Step, frozen=True, tag="generation"):
    """The upstream that the placement of one retained version assigns to the slot.

    :param is_relevant: false if the slot has been released as of a later version.
    """

    version: Version
    upstream: UpstreamId | None
    is_relevant: bool


@unique
class HoldReason(Enum):
    """Reason why a slot is clean or contested."""

    CLEAN = "clean"
    SEVERAL_CANDIDATES = "several_candidates"
    AWAITS_RELEASE = "awaits_release"
    UPSTREAM_LIMITED = "upstream_limited"


class HoldStep(_Step, frozen=True, tag="hold"):
    """Whether the slot is clean, so that any entry may decide without its home.

    :param candidates: upstreams that the relevant versions assign to the slot, oldest first.
    :param contested_s: seconds for which the slot has had several candidates; zero if it has one.
    """

    reason: HoldReason
    candidates: tuple[UpstreamId, ...]
    contested_s: float


class HomeStep(_Step, frozen=True, tag="home"):
    """The instances that decide on flows of the slot without a record.

    :param home: ``None`` if no instance is live.
    :param is_own: this entry is the home.
    :param reacts: false if the home does not respond to passed packets, so that its successor is
        used instead.
    """

    home: InstanceId | None
    successor: InstanceId | None
    is_own: bool
    reacts: bool


class RecordStep(_Step, frozen=True, tag="record"):
    """The record of the flow at this entry.

    :param upstream: ``None`` if there is no record.
    """

    upstream: UpstreamId | None
    is_half_open: bool
    is_closing: bool
    is_decided_here: bool


class ConditionStep(_Step, frozen=True, tag="condition"):
    """The condition of an upstream that is relevant for the flow.

    :param state: state as seen by this entry.
    :param owner: instance that grants openings while the upstream is limited.
    :param epoch: increases with each change of the condition.
    :param refusal: reason for which its flows are refused; ``None`` if packets may be sent to it.
    :param drop: reason for which packets to it are dropped; ``None`` if they aren't.
    """

    upstream: UpstreamId
    state: UpstreamState
    owner: InstanceId | None
    epoch: int
    refusal: RefusalReason | None = None
    drop: DropReason | None = None


@unique
class PacketKind(Enum):
    """Kind of packet that an outcome applies to."""

    OPENING = "opening"
    LATER = "later"


@unique
class OutcomeKind(Enum):
    """Predicted handling of a packet."""

    FORWARD = "forward"
    PASS = "pass"
    ASK_PEERS = "ask_peers"
    ASK_OWNER = "ask_owner"
    ELSEWHERE = "elsewhere"
    REFUSE = "refuse"
    DROP = "drop"


class OutcomeStep(_Step, frozen=True, tag="outcome"):
    """Predicted handling of a packet of the flow that arrives at this entry now.

    :param target: upstream or instance, depending on the kind; empty if there is none.
    :param route: reason for which the packet is forwarded or passed.
    :param state: state of the upstream that limits an opening.
    """

    packet: PacketKind
    kind: OutcomeKind
    target: UpstreamId | InstanceId = NO_UPSTREAM
    route: RouteReason | None = None
    refusal: RefusalReason | None = None
    drop: DropReason | None = None
    state: UpstreamState | None = None


Step = (
    ViewStep
    | ServiceStep
    | SlotStep
    | GenerationStep
    | HoldStep
    | HomeStep
    | RecordStep
    | ConditionStep
    | OutcomeStep
)
"""One step of an explanation."""


class Explanation(Struct, frozen=True):
    """The steps that lead from a flow to its upstream, as seen by one entry."""

    flow: FlowName
    steps: tuple[Step, ...]


class Explainer:
    """Explains one flow at one entry.

    :param context: state of the entry, which is not modified.
    :param route: service of the flow.
    :param flow: addresses and protocol of the flow.
    """

    def __init__(
        self, context: EntryContext, route: ServiceRoute, flow: FlowName, now: float
    ) -> None:
        self._context = context
        self._route = route
        self._flow = flow
        self._now = now
        self._flow_key = flow.hash()
        self._slots: ServiceSlots = route.slots or context.view.build_slots(route, now)
        self._slot = self._slots.slot_of(self._flow_key)
        self._slot_name = self._slots.name(self._slot)
        self._homes = context.directory.homes_of(self._slot_name)
        record = context.records.find(self._flow_key)
        self._record: RecordTarget | None = (
            record if record is not None and record.service == route.id else None
        )

    def list_steps(self) -> tuple[Step, ...]:
        """Return the steps that come after the service step."""
        return (
            SlotStep(self._flow_key, self._slot, self._slots.size),
            *self._list_generations(),
            self._explain_hold(),
            self._explain_home(),
            self._explain_record(),
            *self._list_conditions(),
            *self._list_outcomes(),
        )

    def _list_generations(self) -> list[Step]:
        relevant = self._slots.relevant_versions(self._slot)
        return [
            GenerationStep(version, self._slots.placement(version, self._slot), version in relevant)
            for version in self._slots.versions()
        ]

    def _explain_hold(self) -> HoldStep:
        candidates = tuple(self._slots.candidates(self._slot))
        since = self._slots.changed_since(self._slot)
        contested_s = 0.0 if since is None else self._now - since
        return HoldStep(self._find_hold_reason(len(candidates)), candidates, contested_s)

    def _find_hold_reason(self, candidates: int) -> HoldReason:
        if candidates > 1:
            return HoldReason.SEVERAL_CANDIDATES
        if self._slots.is_held(self._slot):
            return HoldReason.AWAITS_RELEASE
        if not self._slots.is_clean(self._slot):
            return HoldReason.UPSTREAM_LIMITED
        return HoldReason.CLEAN

    def _explain_home(self) -> HomeStep:
        home = self._homes[0] if self._homes else None
        successor = self._homes[1] if len(self._homes) > 1 else None
        reacts = home is not None and not self._context.liveness.is_unresponsive(home, self._now)
        return HomeStep(home, successor, home == self._context.own, reacts)

    def _explain_record(self) -> RecordStep:
        if self._record is None:
            return RecordStep(None, False, False, False)
        records = self._context.records
        return RecordStep(
            self._record.upstream,
            records.has_flag(self._flow_key, FlowFlag.HALF_OPEN),
            records.has_flag(self._flow_key, FlowFlag.CLOSING),
            records.has_flag(self._flow_key, FlowFlag.OPENED_HERE),
        )

    def _list_conditions(self) -> list[Step]:
        upstream_ids = [self._record.upstream] if self._record else []
        upstream_ids += self._slots.candidates(self._slot)
        placed = self._slots.placed(self._slot)
        if placed is not None:
            upstream_ids.append(placed)
        return [self._explain_condition(upstream_id) for upstream_id in dict.fromkeys(upstream_ids)]

    def _explain_condition(self, upstream_id: UpstreamId) -> ConditionStep:
        upstream = self._route.upstreams.get(upstream_id)
        directory = self._context.directory
        owner = directory.owner_of(upstream_id, upstream.domain) if upstream is not None else None
        condition = self._context.view.conditions.get(upstream_id)
        epoch = condition.epoch if condition is not None else 0
        state = self._context.view.state_of(upstream_id)
        refusal, drop = self._find_refusal(upstream_id), self._find_drop(upstream_id)
        return ConditionStep(upstream_id, state, owner, epoch, refusal, drop)

    def _find_refusal(self, upstream_id: UpstreamId) -> RefusalReason | None:
        egress_policy = self._context.view.egress_policy
        permitted = (
            egress_policy.check(self._route.id, upstream_id) if egress_policy is not None else None
        )
        if permitted is DropReason.NOT_LISTED:
            return RefusalReason.UPSTREAM_GONE
        return permitted if isinstance(permitted, RefusalReason) else None

    def _find_drop(self, upstream_id: UpstreamId) -> DropReason | None:
        egress_policy = self._context.view.egress_policy
        if egress_policy is None:
            return DropReason.NO_VIEW
        permitted = egress_policy.check(self._route.id, upstream_id)
        if not isinstance(permitted, DropReason) or permitted is DropReason.NOT_LISTED:
            return None
        return permitted

    def _list_outcomes(self) -> list[Step]:
        later = self._predict(PacketKind.LATER)
        if self._flow.protocol is not Protocol.TCP:
            return [later]
        return [self._predict(PacketKind.OPENING), later]

    def _predict(self, packet: PacketKind) -> OutcomeStep:
        outcome = self._predict_without_home(packet)
        if outcome is not None:
            return outcome
        home = self._choose_home()
        if home is None:
            return OutcomeStep(packet, OutcomeKind.DROP, drop=DropReason.NO_HOME)
        if home != self._context.own:
            return OutcomeStep(packet, OutcomeKind.PASS, home, self._find_pass_reason())
        return self._predict_at_home(packet)

    def _predict_without_home(self, packet: PacketKind) -> OutcomeStep | None:
        """Return the outcome if this entry decides without the home, otherwise ``None``."""
        newest = self._slots.newest(self._slot)
        is_clean = self._slots.is_clean(self._slot) and not self._context.view.is_behind
        if is_clean and newest is not None:
            return self._predict_forward(packet, newest, RouteReason.CLEAN_SLOT)
        if self._record is None:
            return None
        is_closing = self._context.records.has_flag(self._flow_key, FlowFlag.CLOSING)
        if (packet is PacketKind.OPENING and is_closing) or self._is_discarded(self._record):
            return None
        is_recent = self._context.records.table.is_recent(self._flow_key, self._now)
        if not is_recent and self._choose_home() != self._context.own:
            return None
        return self._predict_forward(packet, self._record.upstream, RouteReason.KNOWN_FLOW)

    def _is_discarded(self, record: RecordTarget) -> bool:
        """Return whether only the home may refuse the flow of a record."""
        is_home = self._context.directory.is_home(self._slot_name)
        policy = self._context.view.egress_policy
        if is_home or policy is None:
            return False
        return policy.check(record.service, record.upstream) is DropReason.NOT_LISTED

    def _predict_at_home(self, packet: PacketKind) -> OutcomeStep:
        newest = self._slots.newest(self._slot)
        if self._slots.is_clean(self._slot) and newest is not None:
            return self._predict_forward(packet, newest, RouteReason.CLEAN_SLOT)
        if not self._context.take_over.has_all_records(self._slot_name):
            return OutcomeStep(packet, OutcomeKind.ASK_PEERS)
        if packet is PacketKind.OPENING or self._flow.protocol is not Protocol.TCP:
            return self._predict_placement(packet)
        base = self._slots.base(self._slot)
        if base is None:
            return OutcomeStep(packet, OutcomeKind.REFUSE, refusal=RefusalReason.NO_UPSTREAM)
        return self._predict_forward(packet, base, RouteReason.HOME_BASE)

    def _predict_placement(self, packet: PacketKind) -> OutcomeStep:
        preferred = self._context.openings.choose_preferred(self._slot_name, self._slots)
        if preferred is None:
            return OutcomeStep(packet, OutcomeKind.REFUSE, refusal=RefusalReason.NO_UPSTREAM)
        state = self._context.view.state_of(preferred)
        if state is UpstreamState.READY:
            return self._predict_forward(packet, preferred, RouteReason.HOME_OPENING)
        kind = OutcomeKind.ASK_OWNER if state in GRANT_LIMITED_STATES else OutcomeKind.ELSEWHERE
        return OutcomeStep(packet, kind, preferred, state=state)

    def _choose_home(self) -> InstanceId | None:
        liveness = self._context.liveness
        responsive = (home for home in self._homes if not liveness.is_unresponsive(home, self._now))
        return next(responsive, self._homes[0] if self._homes else None)

    def _find_pass_reason(self) -> RouteReason:
        is_behind = self._context.view.is_behind
        return RouteReason.PASSED_BEHIND if is_behind else RouteReason.PASSED_CONTESTED

    def _predict_forward(
        self, packet: PacketKind, upstream: UpstreamId, reason: RouteReason
    ) -> OutcomeStep:
        if is_permitted(self._context.view.egress_policy, self._route.id, upstream):
            return OutcomeStep(packet, OutcomeKind.FORWARD, upstream, reason)
        refusal = self._find_refusal(upstream)
        if refusal is not None:
            return OutcomeStep(packet, OutcomeKind.REFUSE, upstream, refusal=refusal)
        return OutcomeStep(packet, OutcomeKind.DROP, upstream, drop=self._find_drop(upstream))


def explain_flow(context: EntryContext, flow: FlowName, now: float) -> Explanation:
    """Explain where an entry sends packets of a flow now.

    :param context: state of the entry, which is not modified.
    """
    view = context.view
    view_step = ViewStep(context.own, view.version, view.placed, view.highest, view.is_behind)
    address = ServiceAddress(flow.target.host, flow.target.port, flow.protocol)
    route = view.routes.get(flow.pack_target())
    if route is None:
        reason = DropReason.NO_VIEW if view.egress_policy is None else DropReason.UNKNOWN_SERVICE
        outcome = OutcomeStep(PacketKind.OPENING, OutcomeKind.DROP, drop=reason)
        return Explanation(flow, (view_step, ServiceStep(address, None, None), outcome))
    service_step = ServiceStep(address, route.id, route.service.return_path)
    return Explanation(
        flow, (view_step, service_step, *Explainer(context, route, flow, now).list_steps())
    )
