"""Table of the members of this instance's region, as known locally."""

from collections.abc import Sequence

from chicoryproxy.ids import DomainId, Incarnation, InstanceId
from chicoryproxy.model import Instance
from chicoryproxy.prng import Prng
from chicoryproxy.protocol.messages import Member
from chicoryproxy.states import MemberState

MAX_RECENT = 32
SILENT_STATES = frozenset((MemberState.SUSPECT, MemberState.HIDDEN))


class PeerRecord:
    """What this instance knows about a peer.

    :ivar listed: false if the last published list didn't contain the peer.
    :ivar leaving: the peer announced that it is leaving.
    :ivar reported_gone: a peer has removed it; holds until the instance answers or refutes.
    :ivar seen_alive: the peer answered, or gossip reported it alive; a list alone doesn't count.
    """

    __slots__ = (
        "instance",
        "state",
        "incarnation",
        "listed",
        "leaving",
        "reported_gone",
        "seen_alive",
        "since",
    )

    def __init__(self, instance: Instance, now: float) -> None:
        self.instance = instance
        self.state = MemberState.ALIVE
        self.incarnation = Incarnation(0)
        self.listed = True
        self.leaving = False
        self.reported_gone = False
        self.seen_alive = False
        self.since = now

    @property
    def effective_state(self) -> MemberState:
        """The state including a leave announced by the peer or in the published list."""
        if self.state is MemberState.ALIVE and (self.leaving or self.instance.leaving):
            return MemberState.LEAVING
        return self.state


class MemberTable:
    """Read access to the members; ``membership.Membership`` updates the table.

    :param instance: this instance.
    :param prng: source of the pseudo-random choices.

    ``revision`` increases with each change that is visible in ``build_members``.
    """

    def __init__(self, instance: Instance, prng: Prng) -> None:
        self.revision = 0
        self._own = instance
        self._prng = prng
        self._is_leaving = False
        self._peers: dict[InstanceId, PeerRecord] = {}
        self._gone: dict[InstanceId, Incarnation] = {}
        self._reachable: list[InstanceId] | None = None
        self._members: tuple[Member, ...] | None = None

    def __len__(self) -> int:
        """Return the number of members that are not gone, including this instance."""
        return len(self._peers) + 1

    @property
    def own(self) -> Instance:
        """This instance."""
        return self._own

    @property
    def is_leaving(self) -> bool:
        """True once this instance has announced that it is leaving."""
        return self._is_leaving

    def get_peer(self, instance: InstanceId) -> PeerRecord | None:
        """Return the record of a peer, or ``None`` if it is gone or unknown."""
        return self._peers.get(instance)

    def is_gone(self, instance: InstanceId) -> bool:
        """Return whether an instance is a former member."""
        return instance in self._gone

    def build_members(self) -> tuple[Member, ...]:
        """Return this instance and all peers that are not gone, ordered by id."""
        if self._members is None:
            own = MemberState.LEAVING if self._is_leaving else MemberState.ALIVE
            members = [Member(self._own, own)]
            members.extend(
                Member(peer.instance, peer.effective_state) for peer in self._peers.values()
            )
            self._members = tuple(sorted(members, key=lambda member: member.instance.id))
        return self._members

    def list_alive(self, domain: DomainId | None = None) -> list[Instance]:
        """Return the members that are alive, including this instance, ordered by id.

        :param domain: return only the members of this failure domain.
        """
        return [
            member.instance
            for member in self.build_members()
            if member.state is MemberState.ALIVE and domain in (None, member.instance.domain)
        ]

    def list_reachable(self) -> Sequence[InstanceId]:
        """Return the ids of peers that answer, including leaving ones."""
        if self._reachable is None:
            self._reachable = sorted(
                id_ for id_, peer in self._peers.items() if peer.state not in SILENT_STATES
            )
        return self._reachable

    def sample_reachable(self, count: int) -> list[InstanceId]:
        """Return a pseudo-random sample of up to ``count`` peers that answer."""
        return self.sample(self.list_reachable(), count)

    def sample(self, instances: Sequence[InstanceId], count: int) -> list[InstanceId]:
        """Return a pseudo-random sample of up to ``count`` of the given instances."""
        return self._prng.draw_sample(instances, count)

    def list_instances(self) -> tuple[Instance, ...]:
        """Return this instance and all peers that are not gone, unordered."""
        return (self._own, *(peer.instance for peer in self._peers.values()))

    def list_recent(self) -> tuple[Instance, ...]:
        """Return the most recently learned instances, which peers may be missing."""
        recent = list(self._peers.values())[-MAX_RECENT:]
        return (self._own, *(peer.instance for peer in recent))

    def _mark_changed(self) -> None:
        self.revision += 1
        self._members = None
        self._reachable = None
