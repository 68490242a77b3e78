"""Where the home of a slot places the opening of a flow."""

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
from chicoryproxy.routing.route import PacketAtHand
from chicoryproxy.routing.slots import ServiceSlots
from chicoryproxy.states import DropReason, RefusalReason, RouteReason, UpstreamState

LIMITED_BY_GRANTS = frozenset({UpstreamState.COLD, UpstreamState.WARMING})
KEEPS_ITS_SLOTS = frozenset({UpstreamState.READY}) | LIMITED_BY_GRANTS


@unique
class Wait(Enum):
    """Why an opening has to wait at its home."""

    GRANT = "grant"


class Placed(Struct, frozen=True):
    """An opening has a place."""

    upstream: UpstreamId
    reason: RouteReason


Verdict = Placed | Wait | DropReason | RefusalReason
"""Decision on an opening: a place, a wait, or a sentinel with the reason for neither."""


class Openings:
    """Decides on openings by the newest placement, the conditions and the grants.

    The placement's own upstream comes first. Another one is taken only when the limit is known
    long enough for every entry to pass the slot's packets to its home.

    :param spread_s: time that news need to reach every entry, in seconds.
    """

    def __init__(self, directory: HomeDirectory, holder: GrantHolder, spread_s: float) -> None:
        self.spread_s = spread_s
        self._directory = directory
        self._holder = holder
        self._egress_policy: EgressPolicy | None = None
        self._conditions: Mapping[UpstreamId, UpstreamCondition] = {}
        self._hidden_since: dict[UpstreamId, float] = {}
        self._requests: list[GrantRequest] = []

    def update(
        self, egress_policy: EgressPolicy, conditions: Mapping[UpstreamId, UpstreamCondition]
    ) -> None:
        """Take the newest gate and conditions."""
        self._egress_policy = egress_policy
        self._conditions = conditions

    def note_hidden(self, upstreams: Sequence[UpstreamId], now: float) -> None:
        """Take the upstreams whose failure domain this instance is cut off from."""
        before = self._hidden_since
        self._hidden_since = {upstream: before.get(upstream, now) for upstream in upstreams}

    def take_requests(self) -> list[GrantRequest]:
        """Return the grant requests that decisions gave rise to."""
        requests, self._requests = self._requests, []
        return requests

    def state_of(self, upstream: UpstreamId) -> UpstreamState:
        """Return the state of an upstream as this instance sees it."""
        if upstream in self._hidden_since:
            return UpstreamState.UNREACHABLE
        condition = self._conditions.get(upstream)
        return condition.state if condition else UpstreamState.READY

    def takes_work(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream takes openings without limits."""
        return self.state_of(upstream) is UpstreamState.READY

    def choose_first(self, slot: SlotName, slots: ServiceSlots) -> UpstreamId | None:
        """Return the upstream that the placement in force gives the openings of a slot."""
        for upstream in (slots.placed(slot.slot), slots.newest(slot.slot)):
            if upstream is not None and self._is_permitted(slot.service, upstream):
                return upstream
        return None

    def place(self, packet: PacketAtHand, now: float, has_waited: bool = False) -> Verdict:
        """Decide where an opening goes.

        An opening waits for the answer to a request before it goes elsewhere: under low load an
        upstream would otherwise never get the openings that its ramp needs.

        :param has_waited: the opening has waited for a grant already.
        :returns: ``Wait.GRANT`` when a grant is on its way.
        """
        first = self.choose_first(packet.slot, packet.slots)
        if first is None:
            return RefusalReason.NO_UPSTREAM
        state = self.state_of(first)
        if state is UpstreamState.READY:
            return Placed(first, RouteReason.HOME_OPENING)
        if state not in LIMITED_BY_GRANTS:
            return self._place_elsewhere(packet, first, now)
        if self._holder.use_opening(first, now):
            self._ask(first, now)
            return Placed(first, RouteReason.HOME_OPENING)
        if self._holder.is_waiting(first, now):
            return Wait.GRANT
        waits = self._ask(first, now)
        if waits and not has_waited:
            return Wait.GRANT
        other = self._place_elsewhere(packet, first, now)
        if isinstance(other, Placed):
            return other
        return Wait.GRANT if waits else other

    def place_again(self, packet: PacketAtHand, refused: UpstreamId, now: float) -> Verdict:
        """Decide where an opening goes that an upstream refused."""
        return self._place_elsewhere(packet, refused, now)

    def _place_elsewhere(self, packet: PacketAtHand, first: UpstreamId, now: float) -> Verdict:
        if self._directory.is_isolated():
            return DropReason.NO_CAPACITY
        if not self._has_spread(packet, first, now):
            return DropReason.PLACEMENT_SPREADING
        ranked = self._rank(packet, first)
        for upstream in ranked:
            if self.takes_work(upstream):
                return Placed(upstream, RouteReason.OVERFLOW)
        for upstream in ranked:
            if self.state_of(upstream) in LIMITED_BY_GRANTS:
                if self._holder.use_opening(upstream, now):
                    return Placed(upstream, RouteReason.OVERFLOW)
                self._ask(upstream, now)
        return RefusalReason.NO_CAPACITY

    def _rank(self, packet: PacketAtHand, besides: UpstreamId) -> Sequence[UpstreamId]:
        """Return the other members, the best for the slot first."""
        members = [
            upstream
            for upstream in packet.slots.newest_members()
            if upstream != besides and self._is_permitted(packet.route.id, upstream)
        ]
        key = f"overflow/{packet.route.id}/{packet.slot.slot}"
        return sorted(members, key=lambda upstream: score(key, upstream))

    def _has_spread(self, packet: PacketAtHand, upstream: UpstreamId, now: float) -> bool:
        """Return whether every entry had time to learn that the slot is contested."""
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

    def _ask(self, upstream: UpstreamId, now: float) -> bool:
        request = self._holder.next_request(upstream, now)
        if request is None:
            return self._holder.is_waiting(upstream, now)
        self._requests.append(request)
        return True


def create_openings(directory: HomeDirectory, holder: GrantHolder, spread_s: float) -> Openings:
    """Create the placement of openings of one instance."""
    return Openings(directory, holder, spread_s)
