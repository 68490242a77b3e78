"""Exchanges versions, generations and instance lists with the platform and peers.

A reader that adopts a new version announces it to peers with a probe. They fetch the version and
announce it in turn.
"""

from collections.abc import Collection

from chicoryproxy.control.catchup import CatchUp, CatchUpState
from chicoryproxy.control.conditions import ConditionStore
from chicoryproxy.control.membership import Membership, RecoveredPeer
from chicoryproxy.control.outbox import Outbox
from chicoryproxy.control.readers import NOTIFY_ALL_MAX_MEMBERS, NOTIFY_FAN_OUT
from chicoryproxy.control.versions import EMPTY_CONFIGURATION, VersionStore
from chicoryproxy.ids import NO_VERSION, InstanceId, Version
from chicoryproxy.model import Configuration, Instance
from chicoryproxy.protocol.messages import VersionBody
from chicoryproxy.protocol.sizes import estimate_message_bytes

RECENT_VERSIONS = 64
"""Number of newest versions whose generations are sent to a peer that is up to date."""

RECOVERED_FETCH_INTERVAL_S = 2.0
UNKNOWN_MEMBER_FETCH_INTERVAL_S = 0.5


class VersionExchange:
    """Adopts configuration versions and distributes them to peers.

    :param membership: provides the peers and receives the instance lists.
    :param versions: stores the configurations and generations.
    :param conditions: marks upstreams as cold when a version requires it.
    :param catch_up: fetches missing state from peers.
    :param outbox: receives messages and log lines.
    """

    def __init__(
        self,
        membership: Membership,
        versions: VersionStore,
        conditions: ConditionStore,
        catch_up: CatchUp,
        outbox: Outbox,
    ) -> None:
        self._membership = membership
        self._versions = versions
        self._conditions = conditions
        self._catch_up = catch_up
        self._outbox = outbox
        self._is_adopted = False
        self._recovered_peer: InstanceId | None = None
        self._recovered_fetch_at = -RECOVERED_FETCH_INTERVAL_S
        self._unknown_fetch_at = -UNKNOWN_MEMBER_FETCH_INTERVAL_S

    def pop_adopted(self) -> bool:
        """Return whether a version was adopted since the last call."""
        is_adopted = self._is_adopted
        self._is_adopted = False
        return is_adopted

    def receive_configuration(self, configuration: Configuration, now: float) -> None:
        """Handle a configuration served by the platform."""
        if self._catch_up.state is CatchUpState.JOINING:
            self._catch_up.hold_configuration(configuration, now)
            self._finish_catch_up(now)
            return
        previous = self._versions.version
        stale_reads = self._versions.stale_reads
        if self._adopt(configuration, now):
            if configuration.version > previous + 1 and previous != NO_VERSION:
                self._catch_up.begin(previous, now)
                self._finish_catch_up(now)
        elif self._versions.stale_reads > stale_reads:
            text = f"ignored older version {configuration.version} served by the platform"
            self._outbox.log("version", text, str(self._versions.version))

    def receive_list(self, instances: tuple[Instance, ...], now: float) -> None:
        """Handle an instance list served by the platform."""
        learned = self._membership.learn_list(instances, now)
        self._push_instances(learned)
        self._catch_up.begin_joining(now)
        self._finish_catch_up(now)

    def receive_fetch(self, sender: InstanceId, have: Version, now: float) -> None:
        """Send a peer the state that it is missing."""
        self.receive_version(sender, have, (), now)
        body = self._build_body(have, now)
        self._outbox.send_body(sender, body, estimate_message_bytes(body))
        if have == NO_VERSION:
            self._membership.send_silent_members(sender)
        self._membership.send_domain_members(sender, now)

    def receive_body(self, sender: InstanceId, body: VersionBody, now: float) -> None:
        """Merge the state received from a peer."""
        self._versions.record_peer_version(sender, body.configuration.version)
        learned = self._membership.learn_instances(body.instances, now)
        self._push_instances(learned)
        is_answer = _is_answer(sender, body)
        if self._catch_up.state is CatchUpState.JOINING:
            if is_answer:
                self._catch_up.record_answer(sender, body, now)
                self._finish_catch_up(now)
            return
        if is_answer and sender == self._recovered_peer:
            self._recovered_peer = None
        self._versions.merge_generations(body.generations)
        self._adopt(body.configuration, now)
        self._versions.merge_generations(body.generations)
        if self._conditions.receive(body.conditions, now):
            self._membership.send_probe(sender)
        if is_answer:
            self._catch_up.record_answer(sender, body, now)
            self._finish_catch_up(now)

    def receive_version(
        self,
        sender: InstanceId,
        version: Version,
        unknown: Collection[InstanceId],
        now: float,
    ) -> None:
        """Handle the version and the unknown members reported by a peer.

        :param unknown: ids of members that this instance doesn't know.
        """
        if self._versions.record_peer_version(sender, version):
            self._outbox.log("version", f"{sender} has version {version}", str(version))
        if self._versions.is_behind:
            self._catch_up.request_highest(now)
        if self._catch_up.is_unanswered and version > NO_VERSION:
            self._catch_up.begin(NO_VERSION, now)
        is_unknown_sender = self._membership.get_peer(sender) is None
        if (
            unknown or is_unknown_sender
        ) and now - self._unknown_fetch_at >= UNKNOWN_MEMBER_FETCH_INTERVAL_S:
            self._unknown_fetch_at = now
            self._outbox.send_fetch(sender, self._versions.version)

    def tick(self, now: float) -> None:
        """Repeat requests, check timeouts and merge state after a partition."""
        self._catch_up.tick(now)
        self._finish_catch_up(now)
        self._fetch_recovered(now)

    def merge_recovered(self, recovered: Collection[RecoveredPeer], now: float) -> None:
        """Fetch the state of the other side of a healed partition.

        In a large region, a single recovered instance has to fetch the state itself.
        """
        is_small = len(self._membership) <= NOTIFY_ALL_MAX_MEMBERS
        wanted = [peer.instance for peer in recovered if peer.is_partition or is_small]
        if wanted:
            self._recovered_peer = wanted[-1]
            self._fetch_recovered(now)

    def _fetch_recovered(self, now: float) -> None:
        if (
            self._recovered_peer is not None
            and now - self._recovered_fetch_at >= RECOVERED_FETCH_INTERVAL_S
        ):
            self._recovered_fetch_at = now
            before = Version(max(0, self._versions.version - 1))
            self._outbox.send_fetch(self._recovered_peer, before)

    def _finish_catch_up(self, now: float) -> None:
        was_joining = self._catch_up.state is CatchUpState.JOINING
        if self._catch_up.try_finish(now) and was_joining:
            self._finish_joining(now)

    def _finish_joining(self, now: float) -> None:
        """Adopt the peers' configurations first, then the one served by the platform.

        The change from the peers' version to the platform's then marks the same upstreams cold
        as on the peers.
        """
        bodies = self._catch_up.pop_bodies()
        for body in bodies:
            self._adopt(body.configuration, now)
        for body in bodies:
            self._versions.merge_generations(body.generations)
            self._conditions.receive(body.conditions, now)
        read = self._catch_up.pop_platform_configuration()
        if read is not None:
            self._adopt(read, now)

    def _adopt(self, configuration: Configuration, now: float) -> bool:
        change = self._versions.adopt(configuration, now)
        if change is None:
            return False
        self._conditions.apply_change(change, now)
        self._outbox.version = configuration.version
        text = f"adopted version {configuration.version}"
        self._outbox.log("version", text, str(configuration.version))
        self._is_adopted = True
        self._catch_up.allow_request()
        self._notify()
        return True

    def _notify(self) -> None:
        for peer in self._sample_fan_out():
            self._membership.send_probe(peer)

    def _sample_fan_out(self) -> list[InstanceId]:
        reachable = len(self._membership.list_reachable())
        count = reachable if reachable < NOTIFY_ALL_MAX_MEMBERS else NOTIFY_FAN_OUT
        return self._membership.sample_reachable(count)

    def _push_instances(self, learned: tuple[Instance, ...]) -> None:
        """Forward new instances to peers, since only readers get the list from the platform."""
        if not learned or self._catch_up.state is CatchUpState.JOINING:
            return
        body = VersionBody(EMPTY_CONFIGURATION, (), learned, ())
        size = estimate_message_bytes(body)
        new_ids = {instance.id for instance in learned}
        for peer in self._sample_fan_out():
            if peer not in new_ids:
                self._outbox.send_body(peer, body, size)

    def _build_body(self, have: Version, now: float) -> VersionBody:
        is_joiner = have == NO_VERSION
        is_behind = have < self._versions.version
        configuration = self._versions.configuration if is_behind else EMPTY_CONFIGURATION
        if is_joiner:
            instances = self._membership.list_instances()
        else:
            instances = self._membership.list_recent()
        if is_behind:
            return VersionBody(
                configuration,
                self._versions.list_generations(),
                instances,
                self._conditions.list_conditions(),
            )
        return VersionBody(
            configuration,
            self._versions.list_recent(RECENT_VERSIONS),
            instances,
            self._conditions.list_recent(now),
        )


def _is_answer(sender: InstanceId, body: VersionBody) -> bool:
    """Return whether a body answers a fetch; pushed instances don't include their sender."""
    return any(instance.id == sender for instance in body.instances)
