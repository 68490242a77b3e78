"""Membership of the entry instances of one region.

After SWIM (Das, Gupta and Motivala, 2002): probe, indirect probe, suspicion, refutation by
incarnation, and news spread on the probes. A suspected target is told so by the probe itself, as
in Lifeguard (Dadgar, Phillips and Currey, 2018). In difference to SWIM, an instance that stops
answering is ``HIDDEN`` for as long as the published list names it, and is probed on.
"""

from collections.abc import Iterable, Sequence

import msgspec
from msgspec import Struct

from chicoryproxy.control.gossipqueue import count_gossip_rounds
from chicoryproxy.control.membertable import SILENT_STATES, MemberTable, PeerRecord
from chicoryproxy.control.outbox import Outbox
from chicoryproxy.control.probing import ProbeOrder, Relay, RelayTable
from chicoryproxy.draws import Draws
from chicoryproxy.ids import DomainId, Incarnation, InstanceId
from chicoryproxy.model import FleetLimits, Instance
from chicoryproxy.protocol.messages import MemberUpdate
from chicoryproxy.states import MemberState

ACK_TIMEOUT_RATIO = 0.4
"""Part of the probe interval after which a probe without an answer is tried indirectly."""

INDIRECT_PROBES = 3
RECOVERY_WINDOW_S = 10.0
SMALL_GROUP_SIZE = 16
"""Peers up to which every one of them may speak with the same instance at the same moment."""

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
    """A hidden instance that came back.

    :param hidden_at: time at which it was hidden.
    :param is_partition: others were hidden with it.
    """

    instance: InstanceId
    hidden_at: float
    is_partition: bool


class Membership(MemberTable):
    """The members of this instance's region and what is believed of each.

    :param instance: this instance.
    :param seed: seed of the probe order.
    :param outbox: takes messages and log lines.
    """

    def __init__(self, instance: Instance, seed: int, outbox: Outbox) -> None:
        super().__init__(instance, Draws(seed, f"membership/{instance.id}"))
        self._outbox = outbox
        self._limits = FleetLimits()
        self._incarnation = Incarnation(0)
        self._suspected_at: dict[InstanceId, float] = {}
        self._domain_recovered_at: dict[DomainId, float] = {}
        self._probe_order = ProbeOrder(self._draws)
        self._number = 0
        self._next_probe_at = 0.0
        self._target: InstanceId | None = None
        self._target_number = 0
        self._indirect_at = 0.0
        self._relays = RelayTable()
        self._recovered_at = -RECOVERY_WINDOW_S
        self._outbox.build_target_update = self._build_target_update
        self._recovered: list[RecoveredPeer] = []

    # Learning.

    def configure(self, limits: FleetLimits) -> None:
        """Use the times of a configuration."""
        self._limits = limits

    def learn_instances(self, instances: Iterable[Instance], now: float) -> tuple[Instance, ...]:
        """Add or renew the given instances and remove none.

        :returns: those that were unknown or different.
        """
        return tuple(
            instance for instance in instances if self._learn_instance(instance, False, now)
        )

    def learn_list(self, instances: Iterable[Instance], now: float) -> tuple[Instance, ...]:
        """Take in a published list, which may lag.

        An instance that answers stays a member although the list lacks it; one that doesn't is
        gone.

        :returns: the instances that were unknown or different.
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
        """Take in news of members.

        :returns: the ids that this instance has never heard of.
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

    # Probing.

    def receive_ping(self, sender: InstanceId, number: int) -> None:
        """Answer a probe."""
        self._outbox.send_ack(sender, number, self._own.id)

    def receive_ping_request(self, sender: InstanceId, number: int, subject: InstanceId) -> None:
        """Probe a peer on another's behalf."""
        if subject not in self._peers:
            return
        own_number = self.next_probe_number()
        self._relays.add(own_number, Relay(sender, number))
        self._outbox.send_ping(subject, own_number)

    def receive_ack(self, sender: InstanceId, number: int, subject: InstanceId, now: float) -> None:
        """Note that a peer proved alive."""
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
            # The others find out by their own probes, so this is no news to spread.
            self._mark_alive(peer, False, now)

    def send_probe(self, target: InstanceId) -> int:
        """Send a probe outside of the round.

        :returns: its number.
        """
        number = self.next_probe_number()
        self._outbox.send_ping(target, number)
        return number

    def send_own_state(self, target: InstanceId) -> int:
        """Send a probe that surely carries the state of this instance.

        :returns: its number.
        """
        number = self.next_probe_number()
        self._outbox.send_members(target, number, (self._build_own(),))
        return number

    def next_probe_number(self) -> int:
        """Return a probe number that was never used."""
        self._number += 1
        return self._number

    def pop_recovered(self) -> tuple[RecoveredPeer, ...]:
        """Return the hidden instances that came back since the last call."""
        recovered = tuple(self._recovered)
        self._recovered.clear()
        return recovered

    def send_silent_members(self, target: InstanceId) -> None:
        """Tell a joiner which members don't answer; it would take them for alive."""
        self._send_updates(
            target, [peer for peer in self._peers.values() if peer.state in SILENT_STATES]
        )

    def send_domain_members(self, target: InstanceId, now: float) -> None:
        """Tell a peer which members of this instance's domain answer, while a partition heals."""
        if now - self._recovered_at > RECOVERY_WINDOW_S:
            return
        domain = self._own.domain
        answering = [
            peer
            for peer in self._peers.values()
            if peer.state is MemberState.ALIVE and peer.instance.domain == domain
        ]
        self._send_updates(
            target, self._draws.draw_sample(answering, UPDATES_PER_MESSAGE * MAX_UPDATE_MESSAGES)
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
        """Forgive the peers the silence of this instance's own pause.

        :param gap_s: length of the pause in seconds.
        """
        self._target = None
        for suspect in self._suspected_at:
            self._suspected_at[suspect] += gap_s

    def announce_leaving(self) -> None:
        """Spread that this instance leaves."""
        self._is_leaving = True
        self._incarnation = Incarnation(self._incarnation + 1)
        self._outbox.members.put(self._own.id, self._build_own())
        self._mark_changed()

    def tick(self, now: float) -> None:
        """Run the probes and the suspicions that are due."""
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
        """Tell a peer of a hidden instance; it answers if it knows that the instance is gone."""
        hidden = MemberUpdate(peer.instance.id, MemberState.HIDDEN, peer.incarnation)
        for target in self.sample_reachable(1):
            self._outbox.send_members(target, self.next_probe_number(), (hidden,))

    def _probe_indirectly(self, target: InstanceId) -> None:
        if target in self._probe_order.hidden:
            return
        helpers = [id_ for id_ in self.sample_reachable(INDIRECT_PROBES + 1) if id_ != target]
        for helper in helpers[:INDIRECT_PROBES]:
            self._outbox.send_ping_request(helper, self._target_number, target)

    # Changing the state of a peer.

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
        self._outbox.log("member", "listed", instance.id)
        self._mark_changed()
        return True

    def _renew_instance(self, peer: PeerRecord, instance: Instance, from_list: bool) -> bool:
        """Take in a newer or older entry of a known peer.

        Ids are never used again, so an instance that leaves doesn't come back, and addresses from
        peers, which may be older than those known, are left out.
        """
        known = peer.instance
        is_leaving = instance.leaving and not known.leaving
        newest = instance if from_list else known
        peer.instance = msgspec.structs.replace(newest, leaving=instance.leaving or known.leaving)
        if peer.instance != known:
            self._mark_changed()
        return is_leaving

    def _check_unknown(self, sender: InstanceId, update: MemberUpdate) -> bool:
        incarnation = self._gone.get(update.instance)
        if incarnation is None:
            return True
        if update.state not in SILENT_STATES and update.incarnation > incarnation:
            # It refuted its removal, so it was only cut off while the list lacked it.
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
        self._outbox.log("member", f"refutes {update.state.value}", self._own.id)
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
            # A restarted process has to raise its incarnation above that of the one before.
            known = MemberUpdate(sender, peer.effective_state, peer.incarnation)
            self._outbox.send_members(sender, self.next_probe_number(), (known,))
            return
        if update.state is MemberState.HIDDEN:
            self._receive_hidden_update(peer, update, now)
        elif self._is_vouched_for(sender, peer, update, now):
            self._mark_alive(peer, False, now)
        else:
            self._apply_update(peer, update, now)

    def _receive_hidden_update(self, peer: PeerRecord, update: MemberUpdate, now: float) -> None:
        """Check a peer that is hidden from the teller, maybe by a partition from it alone."""
        if peer.state in SILENT_STATES or update.incarnation < peer.incarnation:
            return
        if not peer.seen_alive:
            peer.incarnation = update.incarnation
            self._suspect(peer, False, now)
        else:
            self._probe_order.prioritize(peer.instance.id)

    def _is_vouched_for(
        self, sender: InstanceId, peer: PeerRecord, update: MemberUpdate, now: float
    ) -> bool:
        """Return whether a peer of the same domain, itself back from hiding, vouches for another.

        What hid the teller has most likely hidden the other as well, so this instance needn't
        wait for the other's refutation.
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
        if state is MemberState.GONE:
            self._remove(peer, now)
        elif state is MemberState.SUSPECT:
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
        self._suspected_at.pop(instance, None)
        self._probe_order.hidden.pop(instance, None)
        self._set_state(peer, MemberState.ALIVE, now, is_gossiped)

    def _suspect(self, peer: PeerRecord, detected: bool, now: float) -> None:
        if peer.state in SILENT_STATES:
            return
        self._suspected_at[peer.instance.id] = now
        self._set_state(peer, MemberState.SUSPECT, now)
        if detected or len(self._peers) <= SMALL_GROUP_SIZE:
            # The probe tells the peer, which then refutes at once.
            self.send_probe(peer.instance.id)

    def _check_suspicions(self, now: float) -> None:
        due = now - self._limits.suspicion_s
        ended = [id_ for id_, since in self._suspected_at.items() if since <= due]
        for instance in ended:
            del self._suspected_at[instance]
            peer = self._peers[instance]
            if not peer.listed:
                self._remove(peer, now)
                continue
            self._probe_order.hidden[instance] = None
            # The few who miss the suspicion learn of it from `_verify_hidden`.
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
            # Refutations by a whole domain would take minutes to spread; answers heal it sooner.
            return None
        return MemberUpdate(target, peer.state, peer.incarnation)
