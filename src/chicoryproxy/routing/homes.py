"""Assigns slots to home instances and upstreams to owners by rendezvous hashing."""

from collections.abc import Sequence

from msgspec import Struct

from chicoryproxy.ids import DomainId, InstanceId, RegionId, UpstreamId
from chicoryproxy.model import Instance
from chicoryproxy.protocol.messages import Member, SlotName
from chicoryproxy.rendezvous import choose_homes, choose_owner
from chicoryproxy.states import MemberState

LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})
LISTED_STATES = LIVE_STATES | {MemberState.LEAVING, MemberState.HIDDEN}
ANSWERING_STATES = LIVE_STATES | {MemberState.LEAVING}


class MemberChange(Struct, frozen=True):
    """Changes made by an update of the members.

    :param live_changed: whether the set of possible homes changed.
    :param returned: instances that were hidden and are reachable again.
    :param healed: failure domains whose instances were all hidden, and of which at least one is
        reachable again.
    """

    live_changed: bool
    returned: tuple[InstanceId, ...]
    healed: tuple[DomainId, ...]


class HomeDirectory:
    """The instances of the region of this instance, and the slots and upstreams assigned to them.

    Suspected instances keep their roles, so that a single lost probe moves no home. This instance
    counts as live until it leaves, regardless of the member list.

    :param own: id of this instance.
    :param domain: its failure domain.
    :param region: region over whose instances the packets of a flow are distributed.
    """

    def __init__(self, own: InstanceId, domain: DomainId, region: RegionId) -> None:
        self.own = own
        self.domain = domain
        self.region = region
        self.leaving = False
        self._members: dict[InstanceId, Member] = {}
        self._candidates: tuple[InstanceId, ...] = (own,)
        self._homes: dict[SlotName, Sequence[InstanceId]] = {}
        self._peers: dict[frozenset[MemberState], tuple[InstanceId, ...]] = {}

    def update(self, members: Sequence[Member]) -> MemberChange:
        """Replace the members by those of a new view and return what changed."""
        self._peers.clear()
        before = self._members
        hidden_domains = self.hidden_domains()
        self._members = {
            member.instance.id: member
            for member in members
            if member.instance.region == self.region
        }
        returned = tuple(
            name
            for name in self._members
            if _is_reachable_again(before.get(name), self._members[name])
        )
        live = {self._members[name].instance.domain for name in returned}
        healed = tuple(sorted(live & hidden_domains))
        return MemberChange(self._update_candidates(), returned, healed)

    def leave(self) -> None:
        """Remove this instance from the candidates for all roles."""
        self.leaving = True
        self._update_candidates()

    def mark_leaving(self, instance: InstanceId) -> bool:
        """Mark a peer as leaving, so that it is no longer home of any slot.

        :returns: whether the set of possible homes changed.
        """
        member = self._members.get(instance)
        if member is None or member.state is MemberState.LEAVING:
            return False
        self._peers.clear()
        self._members[instance] = Member(instance=member.instance, state=MemberState.LEAVING)
        return self._update_candidates()

    def homes_of(self, slot: SlotName) -> Sequence[InstanceId]:
        """Return the home of a slot, followed by its successor if there is one."""
        homes = self._homes.get(slot)
        if homes is None:
            homes = choose_homes(slot, self._candidates)
            self._homes[slot] = homes
        return homes

    def is_home(self, slot: SlotName) -> bool:
        """Return whether this instance is home of the slot."""
        homes = self.homes_of(slot)
        return not homes or homes[0] == self.own

    def answering_peers(self) -> tuple[InstanceId, ...]:
        """Return the peers that are expected to answer requests."""
        return self._peers_in(ANSWERING_STATES)

    def listed_peers(self) -> tuple[InstanceId, ...]:
        """Return the peers that may have records of flows, including hidden ones."""
        return self._peers_in(LISTED_STATES)

    def is_isolated(self) -> bool:
        """Return whether this instance reaches no peer while its failure domain has hidden ones.

        Peers can't distinguish this from a stopped process, so they don't expect this instance to
        place flows.
        """
        if self.answering_peers():
            return False
        return any(
            member.instance.domain == self.domain
            for name, member in self._members.items()
            if member.state is MemberState.HIDDEN and name != self.own
        )

    def is_hidden(self, instance: InstanceId) -> bool:
        """Return whether a peer is considered unreachable from here because of a partition."""
        member = self._members.get(instance)
        return member is not None and member.state is MemberState.HIDDEN

    def owner_of(self, upstream: UpstreamId, domain: DomainId) -> InstanceId | None:
        """Return the instance that grants the openings of an upstream.

        :param domain: failure domain of the upstream, whose live instances are the candidates.
        """
        return choose_owner(upstream, self._live_in(domain))

    def _update_candidates(self) -> bool:
        live = [
            name
            for name, member in self._members.items()
            if member.state in LIVE_STATES and name != self.own
        ]
        if not self.leaving:
            live.append(self.own)
        candidates = tuple(sorted(live))
        if candidates == self._candidates:
            return False
        self._candidates = candidates
        self._homes.clear()
        return True

    def _peers_in(self, states: frozenset[MemberState]) -> tuple[InstanceId, ...]:
        peers = self._peers.get(states)
        if peers is None:
            peers = tuple(
                name
                for name, member in self._members.items()
                if member.state in states and name != self.own
            )
            self._peers[states] = peers
        return peers

    def _live_in(self, domain: DomainId) -> list[Instance]:
        return [
            member.instance
            for name, member in self._members.items()
            if member.instance.domain == domain and name in self._candidates
        ]

    def hidden_domains(self) -> set[DomainId]:
        """Return the failure domains of which every remaining instance is hidden."""
        hidden = set()
        seen = {self.domain}
        for member in self._members.values():
            if member.state is MemberState.HIDDEN:
                hidden.add(member.instance.domain)
            elif member.state is not MemberState.GONE:
                seen.add(member.instance.domain)
        return hidden - seen


def _is_reachable_again(before: Member | None, after: Member) -> bool:
    if before is None or before.state is not MemberState.HIDDEN:
        return False
    return after.state in ANSWERING_STATES


def create_home_directory(own: InstanceId, domain: DomainId, region: RegionId) -> HomeDirectory:
    """Create a directory that contains only this instance."""
    return HomeDirectory(own, domain, region)
