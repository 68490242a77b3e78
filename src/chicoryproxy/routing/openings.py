"""Placement of flow openings by the home of their slot."""

from collections.abc import Mapping, Sequence
from enum import Enum, unique

from msgspec import Struct

from chicoryproxy.ids import ServiceId, UpstreamId
from chicoryproxy.model import UpstreamCondition
from chicoryproxy.protocol.messages import GrantRequest, SlotName
from chicoryproxy.rendezvous import score
from chicoryproxy.routing.egress import EgressPolicy, is_permitted
from chicoryproxy.routing.grants import GrantHolder
from chicoryproxy.routing.homes import HomeDirectory
from chicoryproxy.routing.route import PacketContext
from chicoryproxy.routing.slots import ServiceSlots
from chicoryproxy.states import DropReason, RefusalReason, RouteReason, UpstreamState

GRANT_LIMITED_STATES = frozenset({UpstreamState.COLD, UpstreamState.WARMING})
SLOT_KEEPING_STATES = frozenset({UpstreamState.READY}) | GRANT_LIMITED_STATES


@unique
class WaitReason(Enum):
    """Reason for which an opening has to wait at its home."""

    GRANT = "grant"


class PlacedOpening(Struct, frozen=True):
    """The upstream chosen for an opening, and the reason for the choice."""

    upstream: UpstreamId
    reason: RouteReason


PlacementResult = PlacedOpening | WaitReason | DropReason | RefusalReason
"""Result for an opening: an upstream, a wait, or the reason why it is dropped or refused."""


class OpeningPlacer:
    """Places openings by the placement in force, upstream conditions and grants.

    The upstream given by the placement is preferred. Another one is used only when the preferred
    upstream has been limited for long enough that every entry passes the slot's packets to its
    home.

    :param spread_s: time for an update to reach every entry, in seconds.
    """

    def __init__(self, directory: HomeDirectory, holder: GrantHolder, spread_s: float) -> None:
        self.spread_s = spread_s
        self._directory = directory
        self._holder = holder
        self._egress_policy: EgressPolicy | None = None
        self._conditions: Mapping[UpstreamId, UpstreamCondition] = {}
        self._hidden_since: dict[UpstreamId, float] = {}
        self._requests: list[GrantRequest] = []

    def update_conditions(
        self, egress_policy: EgressPolicy, conditions: Mapping[UpstreamId, UpstreamCondition]
    ) -> None:
        """Set the gate and the upstream conditions of the newest view."""
        self._egress_policy = egress_policy
        self._conditions = conditions

    def update_hidden(self, upstreams: Sequence[UpstreamId], now: float) -> None:
        """Set the upstreams in failure domains that this instance is partitioned from."""
        before = self._hidden_since
        self._hidden_since = {upstream: before.get(upstream, now) for upstream in upstreams}

    def collect_requests(self) -> list[GrantRequest]:
        """Return and clear the grant requests that placements have caused."""
        requests, self._requests = self._requests, []
        return requests

    def state_of(self, upstream: UpstreamId) -> UpstreamState:
        """Return the state of an upstream as this instance sees it."""
        if upstream in self._hidden_since:
            return UpstreamState.UNREACHABLE
        condition = self._conditions.get(upstream)
        return condition.state if condition else UpstreamState.READY

    def is_ready(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream accepts openings without a limit."""
        return self.state_of(upstream) is UpstreamState.READY

    def choose_preferred(self, slot: SlotName, slots: ServiceSlots) -> UpstreamId | None:
        """Return the upstream that the placement in force assigns to openings of a slot."""
        for upstream in (slots.placed(slot.slot), slots.newest(slot.slot)):
            if upstream is not None and self._is_permitted(slot.service, upstream):
                return upstream
        return None

    def place(self, packet: PacketContext, now: float, has_waited: bool = False) -> PlacementResult:
        """Choose an upstream for an opening.

        An opening waits for the answer to a grant request before it is placed on another
        upstream. Under low load, the preferred upstream would otherwise never receive the
        openings that it needs to ramp up.

        :param has_waited: the opening has waited for a grant already.
        :returns: ``WaitReason.GRANT`` while a grant request is pending.
        """
        preferred = self.choose_preferred(packet.slot, packet.slots)
        if preferred is None:
            return RefusalReason.NO_UPSTREAM
        state = self.state_of(preferred)
        if state is UpstreamState.READY:
            return PlacedOpening(preferred, RouteReason.HOME_OPENING)
        if state not in GRANT_LIMITED_STATES:
            return self._place_elsewhere(packet, preferred, now)
        if self._holder.use_opening(preferred, now):
            self._request_grant(preferred, now)
            return PlacedOpening(preferred, RouteReason.HOME_OPENING)
        if self._holder.is_waiting(preferred, now):
            return WaitReason.GRANT
        is_pending = self._request_grant(preferred, now)
        if is_pending and not has_waited:
            return WaitReason.GRANT
        other = self._place_elsewhere(packet, preferred, now)
        if isinstance(other, PlacedOpening):
            return other
        return WaitReason.GRANT if is_pending else other

    def place_after_refusal(
        self, packet: PacketContext, refused: UpstreamId, now: float
    ) -> PlacementResult:
        """Choose another upstream for an opening that an upstream refused."""
        return self._place_elsewhere(packet, refused, now)

    def _place_elsewhere(
        self, packet: PacketContext, preferred: UpstreamId, now: float
    ) -> PlacementResult:
        if self._directory.is_isolated():
            return DropReason.NO_CAPACITY
        if not self._has_limit_spread(packet, preferred, now):
            return DropReason.PLACEMENT_SPREADING
        ranked = self._rank_alternatives(packet, preferred)
        for upstream in ranked:
            if self.is_ready(upstream):
                return PlacedOpening(upstream, RouteReason.OVERFLOW)
        for upstream in ranked:
            if self.state_of(upstream) in GRANT_LIMITED_STATES:
                if self._holder.use_opening(upstream, now):
                    return PlacedOpening(upstream, RouteReason.OVERFLOW)
                self._request_grant(upstream, now)
        return RefusalReason.NO_CAPACITY

    def _rank_alternatives(
        self, packet: PacketContext, excluded: UpstreamId
    ) -> Sequence[UpstreamId]:
        """Return the permitted members other than one, in rendezvous order for the slot."""
        members = [
            upstream
            for upstream in packet.slots.newest_members()
            if upstream != excluded and self._is_permitted(packet.route.id, upstream)
        ]
        key = f"overflow/{packet.route.id}/{packet.slot.slot}"
        return sorted(members, key=lambda upstream: score(key, upstream))

    def _has_limit_spread(self, packet: PacketContext, upstream: UpstreamId, now: float) -> bool:
        """Return whether every entry has had time to learn that the slot is contested."""
        since = self._limited_since(upstream)
        if since is None:
            since = packet.slots.changed_since(packet.slot.slot)
        return since is not None and now - since >= self.spread_s

    def _limited_since(self, upstream: UpstreamId) -> float | None:
        if upstream in self._hidden_since:
            return self._hidden_since[upstream]
        condition = self._conditions.get(upstream)
        if condition is None or condition.state is UpstreamState.READY:
            return None
        return condition.since_s

    def _is_permitted(self, service: ServiceId, upstream: UpstreamId) -> bool:
        return is_permitted(self._egress_policy, service, upstream)

    def _request_grant(self, upstream: UpstreamId, now: float) -> bool:
        request = self._holder.next_request(upstream, now)
        if request is None:
            return self._holder.is_waiting(upstream, now)
        self._requests.append(request)
        return True


def create_opening_placer(
    directory: HomeDirectory, holder: GrantHolder, spread_s: float
) -> OpeningPlacer:
    """Create the opening placer of one instance."""
    return OpeningPlacer(directory, holder, spread_s)
