"""Passes versions, generations and instance lists on between the platform, this instance and peers.

A reader that learns a version tells peers of it by a probe. They fetch it and tell others in turn.
"""

from collections.abc import Collection

from chicoryproxy.control.catchup import CatchUp, CatchUpState
from chicoryproxy.control.conditions import ConditionStore
from chicoryproxy.control.membership import Heal, Membership
from chicoryproxy.control.outbox import Outbox
from chicoryproxy.control.readers import NOTIFY_ALL_UP_TO, NOTIFY_FAN_OUT
from chicoryproxy.control.versions import EMPTY_CONFIGURATION, VersionStore
from chicoryproxy.ids import NO_VERSION, InstanceId, Version
from chicoryproxy.model import Configuration, Instance
from chicoryproxy.protocol.messages import VersionBody
from chicoryproxy.protocol.sizes import estimate_message

RECENT_VERSIONS = 64
HEAL_FETCH_S = 2.0
STRANGER_FETCH_S = 0.5


class VersionExchange:
    """Adopts versions and passes them on.

    :param membership: gives the peers and takes the instance lists.
    :param versions: takes the configurations and the generations.
    :param conditions: marks upstreams that a version makes cold.
    :param catch_up: decides what is fetched.
    :param outbox: takes messages and log lines.
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
        self._healed: InstanceId | None = None
        self._healed_at = -HEAL_FETCH_S
        self._strangers_at = -STRANGER_FETCH_S

    def take_adopted(self) -> bool:
        """Return whether a version was adopted since the last call."""
        is_adopted = self._is_adopted
        self._is_adopted = False
        return is_adopted

    def receive_configuration(self, configuration: Configuration, now: float) -> None:
        """Take in what the platform served."""
        if self._catch_up.state is CatchUpState.JOINING:
            self._catch_up.hold(configuration, now)
            self._finish_catch_up(now)
            return
        previous = self._versions.version
        stale_reads = self._versions.stale_reads
        if self._adopt(configuration, now):
            if configuration.version > previous + 1 and previous != NO_VERSION:
                self._catch_up.begin(previous, now)
                self._finish_catch_up(now)
        elif self._versions.stale_reads > stale_reads:
            text = f"platform served the older version {configuration.version}"
            self._outbox.log("version", text, str(self._versions.version))

    def receive_list(self, instances: tuple[Instance, ...], now: float) -> None:
        """Take in a published list of instances."""
        learned = self._membership.learn_list(instances, now)
        self._push_instances(learned)
        self._catch_up.begin_joining(now)
        self._finish_catch_up(now)

    def receive_fetch(self, sender: InstanceId, have: Version, now: float) -> None:
        """Answer a peer with what it lacks."""
        self.hear(sender, have, (), now)
        body = self._build_body(have, now)
        self._outbox.send_body(sender, body, estimate_message(body))
        if have == NO_VERSION:
            self._membership.tell_silent(sender)
        self._membership.tell_domain(sender, now)

    def receive_body(self, sender: InstanceId, body: VersionBody, now: float) -> None:
        """Take in what a peer has."""
        self._versions.hear(sender, body.configuration.version)
        learned = self._membership.learn_instances(body.instances, now)
        self._push_instances(learned)
        if self._catch_up.state is CatchUpState.JOINING:
            self._catch_up.note_answer(sender, body)
            self._finish_catch_up(now)
            return
        if sender == self._healed:
            self._healed = None
        self._versions.merge_generations(body.generations)
        self._adopt(body.configuration, now)
        self._versions.merge_generations(body.generations)
        if self._conditions.receive(body.conditions, now):
            self._membership.send_probe(sender)
        self._catch_up.note_answer(sender, body)
        self._finish_catch_up(now)

    def hear(
        self,
        sender: InstanceId,
        version: Version,
        unknown: Collection[InstanceId],
        now: float,
    ) -> None:
        """Take in the version that a peer has and the members it told of.

        :param unknown: members that this instance has never heard of.
        """
        if self._versions.hear(sender, version):
            self._outbox.log("version", f"{sender} has version {version}", str(version))
        if self._versions.is_behind:
            self._catch_up.follow(now)
        if self._catch_up.is_alone and version > NO_VERSION:
            self._catch_up.begin(NO_VERSION, now)
        is_stranger = self._membership.get_peer(sender) is None
        if (unknown or is_stranger) and now - self._strangers_at >= STRANGER_FETCH_S:
            self._strangers_at = now
            self._outbox.send_fetch(sender, self._versions.version)

    def tick(self, now: float) -> None:
        """Repeat requests, end waits and merge views after a partition."""
        self._catch_up.tick(now)
        self._finish_catch_up(now)
        self._fetch_healed(now)

    def merge_healed(self, heals: Collection[Heal], now: float) -> None:
        """Fetch what the other side of a partition has.

        In a large region a single instance that comes back is left to fetch by itself.
        """
        is_small = len(self._membership) <= NOTIFY_ALL_UP_TO
        wanted = [heal.instance for heal in heals if heal.is_partition or is_small]
        if wanted:
            self._healed = wanted[-1]
            self._fetch_healed(now)

    def _fetch_healed(self, now: float) -> None:
        if self._healed is not None and now - self._healed_at >= HEAL_FETCH_S:
            self._healed_at = now
            before = Version(max(0, self._versions.version - 1))
            self._outbox.send_fetch(self._healed, before)

    def _finish_catch_up(self, now: float) -> None:
        was_joining = self._catch_up.state is CatchUpState.JOINING
        if self._catch_up.try_finish(now) and was_joining:
            self._join(now)

    def _join(self, now: float) -> None:
        """Adopt what the peers have before what the platform served.

        The step from the peers' version to the platform's then marks upstreams cold as it did at
        the peers.
        """
        bodies = self._catch_up.take_bodies()
        for body in bodies:
            self._adopt(body.configuration, now)
        for body in bodies:
            self._versions.merge_generations(body.generations)
            self._conditions.receive(body.conditions, now)
        read = self._catch_up.take_read()
        if read is not None:
            self._adopt(read, now)

    def _adopt(self, configuration: Configuration, now: float) -> bool:
        change = self._versions.adopt(configuration, now)
        if change is None:
            return False
        self._conditions.apply_change(change, now)
        self._outbox.version = configuration.version
        text = f"version {configuration.version} is in force"
        self._outbox.log("version", text, str(configuration.version))
        self._is_adopted = True
        self._catch_up.note_adopted()
        self._notify()
        return True

    def _notify(self) -> None:
        for peer in self._draw_fan_out():
            self._membership.send_probe(peer)

    def _draw_fan_out(self) -> list[InstanceId]:
        reachable = len(self._membership.list_reachable())
        count = reachable if reachable < NOTIFY_ALL_UP_TO else NOTIFY_FAN_OUT
        return self._membership.draw_reachable(count)

    def _push_instances(self, learned: tuple[Instance, ...]) -> None:
        """Pass new instances on; peers that don't read the platform learn them this way."""
        if not learned or self._catch_up.state is CatchUpState.JOINING:
            return
        body = VersionBody(EMPTY_CONFIGURATION, (), learned, ())
        size = estimate_message(body)
        newcomers = {instance.id for instance in learned}
        for peer in self._draw_fan_out():
            if peer not in newcomers:
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
