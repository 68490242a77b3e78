"""The control core of an instance: membership, versions, readers and upstream conditions.

The core does no I/O. Each method takes an event and the current time, and returns the actions
that the driver has to carry out immediately and in order.
"""

from msgspec import Struct

from chicoryproxy.configuration.instancelimits import find_limits
from chicoryproxy.control.catchup import CatchUp, CatchUpState
from chicoryproxy.control.conditions import ConditionStore
from chicoryproxy.control.exchange import VersionExchange
from chicoryproxy.control.health import UpstreamEvidence, create_health_monitor
from chicoryproxy.control.leaving import GracefulLeave
from chicoryproxy.control.membership import Membership
from chicoryproxy.control.outbox import Outbox
from chicoryproxy.control.owners import OwnerMap
from chicoryproxy.control.reachability import DomainReachability, find_silent_domains
from chicoryproxy.control.readers import ReaderRole, WatchState
from chicoryproxy.control.staleness import StalenessDetector
from chicoryproxy.control.versions import VersionStore
from chicoryproxy.control.viewbuilder import ViewBuilder
from chicoryproxy.ids import NO_VERSION, DomainId, InstanceId, Version
from chicoryproxy.model import Configuration, FleetLimits, Instance, Upstream, UpstreamCondition
from chicoryproxy.protocol.actions import ControlAction
from chicoryproxy.protocol.budget import BudgetCount, ControlBudget
from chicoryproxy.protocol.events import (
    ConfigurationRead,
    HealthReading,
    InstancesRead,
    PlatformReadFailed,
)
from chicoryproxy.protocol.messages import (
    Ack,
    EntryReport,
    Gossip,
    Member,
    Ping,
    PingRequest,
    VersionBody,
    VersionFetch,
    ViewMessage,
)

VIEW_BUDGET_SHARE = 0.5
"""Share of an instance's control budget available to its view; the entry uses the rest."""

ControlEvent = ConfigurationRead | InstancesRead | PlatformReadFailed | HealthReading
"""Events accepted by ``ControlCore.receive_reading``."""


class PeerDescription(Struct, frozen=True):
    """A member as shown by ``chicory-ctl state``.

    :param version: highest version that the member reported to have.
    :param since_s: seconds since the member's last state change.
    """

    member: Member
    version: Version
    since_s: float


class ControlDescription(Struct, frozen=True):
    """State of the control core, as shown by ``chicory-ctl state``.

    :param now_s: time of the description, on the clock of the conditions' ``since_s``.
    :param version_age_s: seconds since the active version was learned.
    :param stale_reads: number of configurations served that were older than the active one.
    :param unread: number of failed platform reads.
    :param conditions: conditions of all listed upstreams.
    :param domains_out: failure domains that operators took out of service.
    :param cut_off: failure domains that this instance can't reach.
    :param evidence: health evidence for the upstreams owned by this instance.
    :param bulk_bytes: estimated size of the configurations sent to peers, in bytes.
    """

    instance: Instance
    now_s: float
    version: Version
    highest: Version
    placed: Version
    version_age_s: float
    is_stale: bool
    catch_up: CatchUpState
    watch: WatchState
    stale_reads: int
    unread: int
    peers: tuple[PeerDescription, ...]
    conditions: tuple[UpstreamCondition, ...]
    domains_out: tuple[DomainId, ...]
    cut_off: tuple[DomainId, ...]
    evidence: tuple[UpstreamEvidence, ...]
    budget: tuple[BudgetCount, ...]
    bulk_bytes: int


class ControlCore:
    """Decides what the ``chicory-view`` process of one instance does.

    :param instance: this instance; only instances of its region become members.
    :param seed: seed of every pseudo-random choice.

    All times are in seconds on one monotonic clock. No method raises for arguments of the
    declared types.
    """

    def __init__(self, instance: Instance, seed: int) -> None:
        limits = FleetLimits()
        self._budget = ControlBudget(limits.control_bytes_per_s * VIEW_BUDGET_SHARE)
        self._outbox = Outbox(self._budget)
        self._membership = Membership(instance, seed, self._outbox)
        self._versions = VersionStore()
        self._limits_configuration: Configuration | None = None
        self._current_limits = limits
        self._conditions = ConditionStore(self._outbox)
        self._readers = ReaderRole(instance, self._outbox)
        self._staleness = StalenessDetector(self._membership, self._versions, self._outbox)
        self._health = create_health_monitor(seed, self._conditions, self._outbox)
        self._owners = OwnerMap()
        self._reachability = DomainReachability(instance.id, self._outbox)
        catch_up = CatchUp(self._membership, self._versions, self._outbox)
        self._catch_up = catch_up
        self._exchange = VersionExchange(
            self._membership, self._versions, self._conditions, catch_up, self._outbox
        )
        self._graceful_leave = GracefulLeave(self._membership, self._outbox)
        self._views = ViewBuilder(
            self._membership, self._versions, self._conditions, self._reachability, self._outbox
        )
        self._applied_revisions: tuple[int, Version] | None = None
        self._now = 0.0

    def get_instance(self, instance: InstanceId) -> Instance | None:
        """Return a member with its addresses, or ``None`` if it is unknown."""
        if instance == self._membership.own.id:
            return self._membership.own
        peer = self._membership.get_peer(instance)
        return peer.instance if peer is not None else None

    def receive_reading(self, event: ControlEvent, now: float) -> list[ControlAction]:
        """Handle a reading of the platform or of an upstream."""
        self._begin(now)
        match event:
            case ConfigurationRead(configuration=configuration):
                self._exchange.receive_configuration(configuration, now)
            case InstancesRead(instances=instances):
                self._exchange.receive_list(instances, now)
                self._graceful_leave.receive_list(instances)
            case PlatformReadFailed(reason=reason):
                self._readers.record_failed_read(reason, now)
            case HealthReading():
                if not self._is_stale():
                    self._health.receive_reading(event, now)
                self._reachability.receive_reading(event)
        return self._finish(now)

    def receive_message(
        self, sender: InstanceId, message: ViewMessage, now: float
    ) -> list[ControlAction]:
        """Handle a message from the view of a peer."""
        self._begin(now)
        match message:
            case Ping(number=number, gossip=gossip):
                self._receive_gossip(sender, gossip, now)
                self._membership.receive_ping(sender, number)
            case Ack(gossip=gossip):
                self._receive_gossip(sender, gossip, now)
                self._receive_ack(sender, message, now)
            case PingRequest(number=number, subject=subject, gossip=gossip):
                self._receive_gossip(sender, gossip, now)
                self._membership.receive_ping_request(sender, number, subject)
            case VersionFetch(have=have):
                self._exchange.receive_fetch(sender, have, now)
            case VersionBody():
                self._exchange.receive_body(sender, message, now)
        return self._finish(now)

    def receive_report(self, report: EntryReport, now: float) -> list[ControlAction]:
        """Handle a report from the entry of this instance."""
        self._begin(now)
        self._versions.prune(report.clean)
        if not self._is_stale():
            self._health.receive_report(report, now)
        return self._finish(now)

    def tick(self, now: float) -> list[ControlAction]:
        """Run all timers; the driver calls this about every 100 ms."""
        self._begin(now)
        self._staleness.tick(self._limits, now)
        if self._versions.version == NO_VERSION:
            self._readers.start_watching(NO_VERSION)
        self._membership.tick(now)
        self._exchange.tick(now)
        self._merge_recovered(now)
        self._apply_membership(now)
        if not self._is_stale():
            # After a pause, another instance may own the upstreams.
            self._health.tick(now)
        self._reachability.tick(now)
        self._graceful_leave.tick(now)
        self._views.release_deferred()
        return self._finish(now)

    def begin_leaving(self, now: float) -> list[ControlAction]:
        """Announce to the peers that this instance is about to stop."""
        self._begin(now)
        self._graceful_leave.begin(now)
        # Only readers get the instance list, which has to confirm that this instance leaves.
        self._readers.start_watching(self._versions.version)
        return self._finish(now)

    def may_stop(self, now: float) -> bool:
        """Return whether the peers and the published list show this instance as leaving.

        Also true after ``LEAVING_TIMEOUT_S``.
        """
        return self._graceful_leave.is_complete(now)

    def describe(self) -> ControlDescription:
        """Return the state for ``chicory-ctl state``, as of the last call that took a time."""
        now = self._now
        return ControlDescription(
            instance=self._membership.own,
            now_s=now,
            version=self._versions.version,
            highest=self._versions.highest,
            placed=self._versions.placed,
            version_age_s=now - self._versions.learned_at,
            is_stale=self._is_stale(),
            catch_up=self._catch_up.state,
            watch=self._readers.state,
            stale_reads=self._versions.stale_reads,
            unread=self._readers.failed_reads,
            peers=self._describe_peers(now),
            conditions=self._conditions.list_conditions(),
            domains_out=self._versions.list_domains_out(),
            cut_off=tuple(sorted(self._reachability.cut_off)),
            evidence=self._health.list_evidence(),
            budget=self._budget.get_counts(),
            bulk_bytes=self._outbox.bulk_bytes,
        )

    @property
    def _limits(self) -> FleetLimits:
        configuration = self._versions.configuration
        if configuration is not self._limits_configuration:
            self._limits_configuration = configuration
            self._current_limits = find_limits(configuration, self._membership.own.id)
        return self._current_limits

    def _begin(self, now: float) -> None:
        self._now = now
        self._outbox.begin(now, len(self._membership))
        self._staleness.detect_pause(self._limits, now)
        self._outbox.version = NO_VERSION if self._is_stale() else self._versions.version

    def _finish(self, now: float) -> list[ControlAction]:
        if self._exchange.pop_adopted():
            self._staleness.check_version()
            limits = self._limits
            self._budget.set_rate(limits.control_bytes_per_s * VIEW_BUDGET_SHARE)
            self._membership.configure(limits)
            self._apply_membership(now)
        if self._versions.version != NO_VERSION:
            live = self._membership.list_reachable()
            self._versions.advance_placed(live, self._limits.spread_s, now)
            self._views.update(self._is_stale())
        return self._outbox.drain()

    def _is_stale(self) -> bool:
        is_fetching = self._catch_up.state is CatchUpState.FETCHING
        return self._staleness.is_stale or is_fetching

    def _receive_gossip(self, sender: InstanceId, gossip: Gossip, now: float) -> None:
        unknown = self._membership.receive_updates(sender, gossip.members, now)
        self._conditions.receive(gossip.conditions, now)
        self._exchange.receive_version(sender, gossip.version, unknown, now)

    def _receive_ack(self, sender: InstanceId, ack: Ack, now: float) -> None:
        self._membership.receive_ack(sender, ack.number, ack.subject, now)
        self._staleness.receive_ack(ack.number, ack.subject, ack.gossip.version)
        self._graceful_leave.receive_ack(ack.number, ack.subject)

    def _apply_membership(self, now: float) -> None:
        """Update readers, owners and reachability after a membership or configuration change."""
        key = (self._membership.revision, self._versions.version)
        if key == self._applied_revisions or self._versions.version == NO_VERSION:
            return
        self._applied_revisions = key
        own = self._membership.own
        alive = self._membership.list_alive(own.domain)
        if not self._membership.is_leaving:
            self._readers.update(alive, self._versions.version)
        by_domain = group_upstreams(self._versions.configuration)
        owned_domain = {upstream.id: upstream for upstream in by_domain.get(own.domain, ())}
        self._owners.update(owned_domain, alive)
        owned = self._owners.list_owned(own.id)
        self._health.set_owned((owned_domain[upstream] for upstream in owned), now)
        members = self._membership.build_members()
        self._versions.retain_peers({member.instance.id for member in members})
        silent = find_silent_domains(members)
        self._reachability.update(silent, by_domain)

    def _merge_recovered(self, now: float) -> None:
        recovered = self._membership.pop_recovered()
        if recovered:
            self._exchange.merge_recovered(recovered, now)
            since = min(peer.hidden_at for peer in recovered)
            silence_s = self._limits.suspicion_s + self._limits.probe_interval_s
            self._conditions.requeue_recent(self._health.list_owned(), since - silence_s)

    def _describe_peers(self, now: float) -> tuple[PeerDescription, ...]:
        peers = []
        for member in self._membership.build_members():
            record = self._membership.get_peer(member.instance.id)
            if record is not None:
                version = self._versions.get_peer_version(member.instance.id)
                peers.append(PeerDescription(member, version, now - record.since))
        return tuple(peers)


def group_upstreams(configuration: Configuration) -> dict[DomainId, list[Upstream]]:
    """Group the upstreams of a configuration by failure domain."""
    by_domain: dict[DomainId, list[Upstream]] = {}
    for service in configuration.services:
        for upstream in service.upstreams:
            by_domain.setdefault(upstream.domain, []).append(upstream)
    return by_domain


def create_control_core(instance: Instance, seed: int) -> ControlCore:
    """Create the control core of an instance that has just started.

    :param seed: seed of every pseudo-random choice.
    """
    return ControlCore(instance, seed)
