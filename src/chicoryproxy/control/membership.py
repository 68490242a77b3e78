"""Membership of the entry instances of one region.

Implements SWIM (Das, Gupta and Motivala, 2002): direct and indirect probes, suspicion,
refutation by incarnation numbers, and gossip piggybacked on probes. As in Lifeguard (Dadgar,
Phillips and Currey, 2018), a probe tells its target that it is suspected. Unlike in SWIM, an
instance that stops answering is ``HIDDEN`` and still probed for as long as the published list
contains it.
"""

from collections.abc import Iterable, Sequence

import msgspec
from msgspec import Struct

from chicoryproxy.control.gossipqueue import count_gossip_rounds
from chicoryproxy.control.membertable import SILENT_STATES, MemberTable, PeerRecord
from chicoryproxy.control.outbox import Outbox
from chicoryproxy.control.probing import ProbeOrder, Relay, RelayTable
from chicoryproxy.ids import DomainId, Incarnation, InstanceId
from chicoryproxy.model import FleetLimits, Instance
from chicoryproxy.prng import Prng
from chicoryproxy.protocol.messages import MemberUpdate
from chicoryproxy.states import MemberState

ACK_TIMEOUT_RATIO = 0.4
"""Fraction of the probe interval after which an unanswered probe is repeated indirectly."""

INDIRECT_PROBES = 3
RECOVERY_WINDOW_S = 10.0
"""Time after the return of a hidden peer in which a partition counts as healing, in seconds."""

SMALL_GROUP_SIZE = 16
"""Group size up to which all peers may send to one instance at the same time."""

MAX_GONE_MEMBERS = 8192
UPDATES_PER_MESSAGE = 12
MAX_UPDATE_MESSAGES = 8

_RANKS = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.HIDDEN: 3,
    MemberState.GONE: 4,
}


class RecoveredPeer(Struct, frozen=True):
    """A hidden peer that answers again.

    :param hidden_at: time at which the peer became hidden.
    :param is_partition: other peers were hidden as well.
    """

    instance: InstanceId
    hidden_at: float
    is_partition: bool


class Membership(MemberTable):
    """Tracks the members of this instance's region and their states.

    :param instance: this instance.
    :param seed: seed of the probe order.
    :param outbox: receives messages and log lines.
    """

    def __init__(self, instance: Instance, seed: int, outbox: Outbox) -> None:
        super().__init__(instance, Prng(seed, f"membership/{instance.id}"))
        self._outbox = outbox
        self._limits = FleetLimits()
        self._incarnation = Incarnation(0)
        self._suspected_at: dict[InstanceId, float] = {}
        self._domain_recovered_at: dict[DomainId, float] = {}
        self._probe_order = ProbeOrder(self._prng)
        self._number = 0
        self._next_probe_at = 0.0
        self._target: InstanceId | None = None
        self._target_number = 0
        self._indirect_at = 0.0
        self._relays = RelayTable()
        self._recovered_at = -RECOVERY_WINDOW_S
        self._outbox.build_target_update = self._build_target_update
        self._recovered: list[RecoveredPeer] = []

    # Instance lists and gossip.

    def configure(self, limits: FleetLimits) -> None:
        """Apply the probe and suspicion times of a configuration."""
        self._limits = limits

    def learn_instances(self, instances: Iterable[Instance], now: float) -> tuple[Instance, ...]:
        """Add or update the given instances without removing any.

        :returns: the instances that are new or newly leaving.
        """
        return tuple(
            instance for instance in instances if self._learn_instance(instance, False, now)
        )

    def learn_list(self, instances: Iterable[Instance], now: float) -> tuple[Instance, ...]:
        """Apply a published list, which may be outdated.

        An instance missing from the list stays a member while it answers and is removed once it
        is hidden.

        :returns: the instances that are new or newly leaving.
        """
        listed = {instance.id: instance for instance in instances}
        learned = tuple(
            instance for instance in listed.values() if self._learn_instance(instance, True, now)
        )
        for peer in list(self._peers.values()):
            peer.listed = peer.instance.id in listed
            if not peer.listed and peer.state is MemberState.HIDDEN:
                self._remove(peer, now)
        return learned

    def receive_updates(
        self, sender: InstanceId, updates: Iterable[MemberUpdate], now: float
    ) -> tuple[InstanceId, ...]:
        """Apply gossiped member updates.

        :returns: the ids that are unknown to this instance.
        """
        unknown = []
        for update in updates:
            if update.instance == self._own.id:
                self._receive_own_update(sender, update)
            elif update.instance in self._peers:
                self._receive_peer_update(sender, self._peers[update.instance], update, now)
            elif update.state is not MemberState.GONE and self._check_unknown(sender, update):
                unknown.append(update.instance)
        return tuple(unknown)

    # Probes and messages to peers.

    def receive_ping(self, sender: InstanceId, number: int) -> None:
        """Answer a probe."""
        self._outbox.send_ack(sender, number, self._own.id)

    def receive_ping_request(self, sender: InstanceId, number: int, subject: InstanceId) -> None:
        """Probe a peer on behalf of another."""
        if subject not in self._peers:
            return
        own_number = self.next_probe_number()
        self._relays.add(own_number, Relay(sender, number))
        self._outbox.send_ping(subject, own_number)

    def receive_ack(self, sender: InstanceId, number: int, subject: InstanceId, now: float) -> None:
        """Handle the answer to a probe, and relay it if the probe was sent on behalf of a peer."""
        relay = self._relays.pop(number)
        if relay is not None:
            self._outbox.send_ack(relay.origin, relay.number, subject)
        if number == self._target_number and subject == self._target:
            self._target = None
        peer = self._peers.get(subject)
        if peer is None or sender != subject:
            return
        peer.seen_alive = True
        if peer.state is MemberState.HIDDEN:
            # Not gossiped, since the other members find out by their own probes.
            self._mark_alive(peer, False, now)

    def send_probe(self, target: InstanceId) -> int:
        """Send a probe outside the regular probe order.

        :returns: the number of the probe.
        """
        number = self.next_probe_number()
        self._outbox.send_ping(target, number)
        return number

    def send_own_state(self, target: InstanceId) -> int:
        """Send a probe that always carries the state of this instance.

        :returns: the number of the probe.
        """
        number = self.next_probe_number()
        self._outbox.send_members(target, number, (self._build_own(),))
        return number

    def next_probe_number(self) -> int:
        """Return a new probe number."""
        self._number += 1
        return self._number

    def pop_recovered(self) -> tuple[RecoveredPeer, ...]:
        """Return and clear the hidden peers that have recovered since the last call."""
        recovered = tuple(self._recovered)
        self._recovered.clear()
        return recovered

    def send_silent_members(self, target: InstanceId) -> None:
        """Send a joining peer the members that don't answer, as it assumes that all are alive."""
        self._send_updates(
            target, [peer for peer in self._peers.values() if peer.state in SILENT_STATES]
        )

    def send_domain_members(self, target: InstanceId, now: float) -> None:
        """Send a peer the members of this domain that answer, while a partition heals."""
        if now - self._recovered_at > RECOVERY_WINDOW_S:
            return
        domain = self._own.domain
        answering = [
            peer
            for peer in self._peers.values()
            if peer.state is MemberState.ALIVE and peer.instance.domain == domain
        ]
        self._send_updates(
            target, self._prng.draw_sample(answering, UPDATES_PER_MESSAGE * MAX_UPDATE_MESSAGES)
        )

    def _send_updates(self, target: InstanceId, peers: Sequence[PeerRecord]) -> None:
        updates = [
            MemberUpdate(peer.instance.id, peer.effective_state, peer.incarnation)
            for peer in peers[: UPDATES_PER_MESSAGE * MAX_UPDATE_MESSAGES]
            if peer.instance.id != target
        ]
        for start in range(0, len(updates), UPDATES_PER_MESSAGE):
            part = tuple(updates[start : start + UPDATES_PER_MESSAGE])
            if not self._outbox.try_send_members(target, self.next_probe_number(), part):
                return

    def extend_suspicions(self, gap_s: float) -> None:
        """Extend suspicions by a pause of this instance, in which no answer could arrive.

        :param gap_s: length of the pause in seconds.
        """
        self._target = None
        for suspect in self._suspected_at:
            self._suspected_at[suspect] += gap_s

    def announce_leaving(self) -> None:
        """Gossip that this instance is leaving."""
        self._is_leaving = True
        self._incarnation = Incarnation(self._incarnation + 1)
        self._outbox.members.put(self._own.id, self._build_own())
        self._mark_changed()

    def tick(self, now: float) -> None:
        """Run due probes and expire suspicions."""
        self._check_suspicions(now)
        if self._target is not None and now >= self._indirect_at:
            self._probe_indirectly(self._target)
            self._indirect_at = float("inf")
        if now >= self._next_probe_at:
            self._start_period(now)

    def _start_period(self, now: float) -> None:
        if self._target in self._peers:
            self._suspect(self._peers[self._target], True, now)
        interval = self._limits.probe_interval_s
        self._next_probe_at = now + interval
        self._indirect_at = now + interval * ACK_TIMEOUT_RATIO
        self._target = self._choose_target(now)
        if self._target is not None:
            self._target_number = self.send_probe(self._target)

    def _choose_target(self, now: float) -> InstanceId | None:
        is_recovering = now - self._recovered_at < RECOVERY_WINDOW_S
        if not self._probe_order.should_probe_hidden(is_recovering, bool(self.list_reachable())):
            return self._probe_order.pop_next(self._peers)
        target = self._probe_order.rotate_hidden()
        self._verify_hidden(self._peers[target])
        return target

    def _verify_hidden(self, peer: PeerRecord) -> None:
        """Send a peer the hidden state of an instance; it replies if the instance is gone."""
        hidden = MemberUpdate(peer.instance.id, MemberState.HIDDEN, peer.incarnation)
        for target in self.sample_reachable(1):
            self._outbox.send_members(target, self.next_probe_number(), (hidden,))

    def _probe_indirectly(self, target: InstanceId) -> None:
        if target in self._probe_order.hidden:
            return
        helpers = [id_ for id_ in self.sample_reachable(INDIRECT_PROBES + 1) if id_ != target]
        for helper in helpers[:INDIRECT_PROBES]:
            self._outbox.send_ping_request(helper, self._target_number, target)

    # Peer state changes.

    def _learn_instance(self, instance: Instance, from_list: bool, now: float) -> bool:
        if instance.id == self._own.id or instance.region != self._own.region:
            return False
        peer = self._peers.get(instance.id)
        if peer is not None:
            return self._renew_instance(peer, instance, from_list)
        if instance.id in self._gone:
            return False
        self._peers[instance.id] = PeerRecord(instance, now)
        self._probe_order.add(instance.id)
        self._outbox.log("member", "added", instance.id)
        self._mark_changed()
        return True

    def _renew_instance(self, peer: PeerRecord, instance: Instance, from_list: bool) -> bool:
        """Update a known peer from a list entry, which may be newer or older.

        Ids are never reused, so an instance never changes from leaving back to serving. Addresses
        received from peers are ignored, since they may be outdated.
        """
        known = peer.instance
        is_leaving = instance.leaving and not known.leaving
        newest = instance if from_list else known
        peer.instance = msgspec.structs.replace(newest, leaving=instance.leaving or known.leaving)
        if peer.instance != known:
            self._mark_changed()
        return is_leaving

    def _check_unknown(self, sender: InstanceId, update: MemberUpdate) -> bool:
        """Return whether the member is unknown; if it is gone, correct the sender."""
        incarnation = self._gone.get(update.instance)
        if incarnation is None:
            return True
        if update.state not in SILENT_STATES and update.incarnation > incarnation:
            # The instance refuted its removal: it was only unreachable and missing from the list.
            del self._gone[update.instance]
            return True
        gone = MemberUpdate(update.instance, MemberState.GONE, incarnation)
        self._outbox.send_members(sender, self.next_probe_number(), (gone,))
        return False

    def _receive_own_update(self, sender: InstanceId, update: MemberUpdate) -> None:
        own = self._build_own()
        if update.incarnation < self._incarnation and update.state is not own.state:
            self._outbox.send_members(sender, self.next_probe_number(), (own,))
        if update.incarnation < self._incarnation or update == own:
            return
        self._incarnation = Incarnation(update.incarnation + 1)
        self._outbox.log("member", f"refuting state {update.state.value}", self._own.id)
        own = self._build_own()
        self._outbox.members.put(own.instance, own)
        self._outbox.send_members(sender, self.next_probe_number(), (own,))

    def _build_own(self) -> MemberUpdate:
        state = MemberState.LEAVING if self._is_leaving else MemberState.ALIVE
        return MemberUpdate(self._own.id, state, self._incarnation)

    def _receive_peer_update(
        self, sender: InstanceId, peer: PeerRecord, update: MemberUpdate, now: float
    ) -> None:
        if sender == update.instance and update.incarnation < peer.incarnation:
            # A restarted process has to raise its incarnation above that of its predecessor.
            known = MemberUpdate(sender, peer.effective_state, peer.incarnation)
            self._outbox.send_members(sender, self.next_probe_number(), (known,))
            return
        if update.state is MemberState.HIDDEN:
            self._receive_hidden_update(peer, update, now)
        elif update.state is MemberState.GONE:
            self._receive_gone_update(peer, update, now)
        elif self._is_vouched_for(sender, peer, update, now):
            self._mark_alive(peer, False, now)
        else:
            self._apply_update(peer, update, now)

    def _receive_hidden_update(self, peer: PeerRecord, update: MemberUpdate, now: float) -> None:
        """Verify a peer that the sender reports as hidden; maybe only the sender can't reach it."""
        if peer.state in SILENT_STATES or update.incarnation < peer.incarnation:
            return
        if not peer.seen_alive:
            peer.incarnation = update.incarnation
            self._suspect(peer, False, now)
        else:
            self._probe_order.prioritize(peer.instance.id)

    def _receive_gone_update(self, peer: PeerRecord, update: MemberUpdate, now: float) -> None:
        """Remove a peer that doesn't answer here either; one that answers may refute its removal.

        The sender may have been cut off from the peer while the published list lacked it.
        """
        if update.incarnation < peer.incarnation:
            return
        peer.incarnation = update.incarnation
        peer.reported_gone = True
        if peer.state is MemberState.HIDDEN:
            self._remove(peer, now)
        elif peer.state is not MemberState.SUSPECT:
            self._suspect(peer, True, now)

    def _is_vouched_for(
        self, sender: InstanceId, peer: PeerRecord, update: MemberUpdate, now: float
    ) -> bool:
        """Return whether a sender in the peer's domain confirms the peer while the domain recovers.

        The same partition has most likely hidden both, so there is no need to wait for the peer's
        own refutation.
        """
        if peer.state is not MemberState.HIDDEN or update.state is not MemberState.ALIVE:
            return False
        domain = peer.instance.domain
        sender_record = self._peers.get(sender)
        is_same_domain = sender_record is not None and sender_record.instance.domain == domain
        recovered_at = self._domain_recovered_at.get(domain, -RECOVERY_WINDOW_S)
        is_recent = now - recovered_at < RECOVERY_WINDOW_S
        return is_same_domain and is_recent and update.incarnation >= peer.incarnation

    def _apply_update(self, peer: PeerRecord, update: MemberUpdate, now: float) -> None:
        state = update.state
        rank = _RANKS[peer.effective_state]
        if (update.incarnation, _RANKS[state]) <= (peer.incarnation, rank):
            return
        peer.incarnation = update.incarnation
        if state is MemberState.SUSPECT:
            self._suspect(peer, False, now)
        else:
            peer.leaving = state is MemberState.LEAVING
            peer.seen_alive = True
            self._mark_alive(peer, True, now)

    def _mark_alive(self, peer: PeerRecord, is_gossiped: bool, now: float) -> None:
        instance = peer.instance.id
        if peer.state is MemberState.HIDDEN:
            self._recovered_at = now
            self._domain_recovered_at[peer.instance.domain] = now
            self._recovered.append(
                RecoveredPeer(instance, peer.since, len(self._probe_order.hidden) > 1)
            )
        peer.reported_gone = False
        self._suspected_at.pop(instance, None)
        self._probe_order.hidden.pop(instance, None)
        self._set_state(peer, MemberState.ALIVE, now, is_gossiped)

    def _suspect(self, peer: PeerRecord, detected: bool, now: float) -> None:
        if peer.state in SILENT_STATES:
            return
        self._suspected_at[peer.instance.id] = now
        self._set_state(peer, MemberState.SUSPECT, now)
        if detected or len(self._peers) <= SMALL_GROUP_SIZE:
            # The probe informs the peer, which then refutes the suspicion immediately.
            self.send_probe(peer.instance.id)

    def _check_suspicions(self, now: float) -> None:
        due = now - self._limits.suspicion_s
        ended = [id_ for id_, since in self._suspected_at.items() if since <= due]
        for instance in ended:
            del self._suspected_at[instance]
            peer = self._peers[instance]
            if not peer.listed or peer.reported_gone:
                self._remove(peer, now)
                continue
            self._probe_order.hidden[instance] = None
            # Peers that missed the suspicion are informed by `_verify_hidden`.
            self._outbox.members.limit(instance, count_gossip_rounds(len(self)))
            self._set_state(peer, MemberState.HIDDEN, now)

    def _set_state(
        self, peer: PeerRecord, state: MemberState, now: float, is_gossiped: bool = True
    ) -> None:
        peer.state = state
        peer.since = now
        effective = peer.effective_state
        self._outbox.log("member", effective.value, peer.instance.id)
        if is_gossiped and state is not MemberState.HIDDEN:
            update = MemberUpdate(peer.instance.id, effective, peer.incarnation)
            self._outbox.members.put(peer.instance.id, update)
        self._mark_changed()

    def _remove(self, peer: PeerRecord, now: float) -> None:
        instance = peer.instance.id
        self._set_state(peer, MemberState.GONE, now)
        del self._peers[instance]
        self._suspected_at.pop(instance, None)
        self._probe_order.hidden.pop(instance, None)
        self._gone[instance] = peer.incarnation
        if len(self._gone) > MAX_GONE_MEMBERS:
            del self._gone[next(iter(self._gone))]

    def _build_target_update(self, target: InstanceId) -> MemberUpdate | None:
        if target in self._gone:
            return MemberUpdate(target, MemberState.GONE, self._gone[target])
        peer = self._peers.get(target)
        if peer is None or peer.state not in SILENT_STATES:
            return None
        if peer.state is MemberState.HIDDEN and len(self._probe_order.hidden) > SMALL_GROUP_SIZE:
            # Gossip of refutations by a whole domain takes minutes; direct answers are faster.
            return None
        return MemberUpdate(target, peer.state, peer.incarnation)
