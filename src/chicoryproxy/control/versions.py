"""The active configuration version and the retained generations.

The version only ever increases, whatever the platform or a peer serves. See
``docs/design/versions.md``.
"""

from collections.abc import Collection, Iterable, Sequence

from msgspec import Struct

from chicoryproxy.ids import NO_VERSION, DomainId, InstanceId, ServiceId, Version
from chicoryproxy.model import MAX_GENERATIONS, Configuration, Generation, Service
from chicoryproxy.protocol.messages import ServiceClean
from chicoryproxy.states import DomainState

EMPTY_CONFIGURATION = Configuration(NO_VERSION, (), ())


class VersionChange(Struct, frozen=True):
    """Change of the active configuration.

    :param previous: configuration that was active before; ``EMPTY_CONFIGURATION`` at the start.
    :param current: configuration that is active now.
    """

    previous: Configuration
    current: Configuration


def list_domains_in(configuration: Configuration) -> frozenset[DomainId]:
    """Return the failure domains that are in service."""
    return frozenset(
        domain.id for domain in configuration.domains if domain.state is DomainState.IN
    )


def build_generation(
    version: Version, service: Service, domains_in: Collection[DomainId]
) -> Generation:
    """Build the generation of upstreams that accept new flows: not draining, domain in service."""
    members = tuple(
        upstream
        for upstream in service.upstreams
        if not upstream.draining and upstream.domain in domains_in
    )
    return Generation(service.id, version, members)


class VersionStore:
    """Stores the active configuration, the generations and the versions of peers.

    ``revision`` increases with each change of the configuration, the generations, ``highest`` or
    ``placed``.
    """

    def __init__(self) -> None:
        self._configuration = EMPTY_CONFIGURATION
        self._learned_at = 0.0
        self._highest = NO_VERSION
        self._highest_source: InstanceId | None = None
        self._placed = NO_VERSION
        self._spread_at: float | None = None
        self._generations: dict[ServiceId, tuple[Generation, ...]] = {}
        self._floors: dict[ServiceId, Version] = {}
        self._peer_versions: dict[InstanceId, Version] = {}
        self._stale_reads = 0
        self.revision = 0

    @property
    def configuration(self) -> Configuration:
        """The active configuration."""
        return self._configuration

    @property
    def version(self) -> Version:
        """Version of the active configuration."""
        return self._configuration.version

    @property
    def learned_at(self) -> float:
        """Time at which the active configuration was adopted."""
        return self._learned_at

    @property
    def highest(self) -> Version:
        """Highest version known to exist."""
        return self._highest

    @property
    def highest_source(self) -> InstanceId | None:
        """Peer that first reported the highest version, or ``None`` for the platform."""
        return self._highest_source

    @property
    def placed(self) -> Version:
        """Version that determines the placement of new flows."""
        return self._placed

    @property
    def stale_reads(self) -> int:
        """Number of served configurations that were older than the active one."""
        return self._stale_reads

    @property
    def is_behind(self) -> bool:
        """True while a peer is known to have a higher version."""
        return self._highest > self.version

    def list_generations(self) -> tuple[Generation, ...]:
        """Return the retained generations by service, oldest first."""
        return tuple(
            generation
            for service in sorted(self._generations)
            for generation in self._generations[service]
        )

    def list_recent(self, versions: int) -> tuple[Generation, ...]:
        """Return the generations that a peer with a slightly outdated state may be missing.

        :param versions: number of versions that count as recent.
        """
        oldest = self.version - versions
        return tuple(
            generation
            for generations in self._generations.values()
            for generation in generations
            if len(generations) > 1 or generation.version > oldest
        )

    def list_domains_out(self) -> tuple[DomainId, ...]:
        """Return the failure domains that are out of service, ordered by id."""
        listed = {domain.id for domain in self._configuration.domains}
        return tuple(sorted(listed - list_domains_in(self._configuration)))

    def get_peer_version(self, instance: InstanceId) -> Version:
        """Return the highest version that a peer has reported."""
        return self._peer_versions.get(instance, NO_VERSION)

    def adopt(self, configuration: Configuration, now: float) -> VersionChange | None:
        """Activate a configuration if it is newer.

        :returns: the change, or ``None`` if the configuration isn't newer.
        """
        if configuration.version <= self.version:
            self._stale_reads += configuration.version < self.version
            return None
        change = VersionChange(self._configuration, configuration)
        self._configuration = configuration
        self._learned_at = now
        self._highest = max(self._highest, configuration.version)
        self._add_generations(configuration)
        self.revision += 1
        return change

    def merge_generations(self, generations: Iterable[Generation]) -> None:
        """Merge the generations retained by a peer."""
        by_service: dict[ServiceId, list[Generation]] = {}
        for generation in generations:
            by_service.setdefault(generation.service, []).append(generation)
        for service, learned in by_service.items():
            if service in self._generations:
                self._merge(service, learned)

    def record_peer_version(self, instance: InstanceId, version: Version) -> bool:
        """Record the version reported by a peer.

        :returns: true if it is higher than all versions known before.
        """
        if version > self._peer_versions.get(instance, NO_VERSION):
            self._peer_versions[instance] = version
        if version <= self._highest:
            return False
        self._highest = version
        self._highest_source = instance
        self.revision += 1
        return True

    def retain_peers(self, members: Collection[InstanceId]) -> None:
        """Remove the recorded versions of instances that are no longer members."""
        for gone in self._peer_versions.keys() - members:
            del self._peer_versions[gone]

    def prune(self, clean: Iterable[ServiceClean]) -> None:
        """Remove generations that no slot needs any more, but never the newest."""
        for service in clean:
            kept = self._generations.get(service.service, ())
            bases = [entry.version for entry in kept if entry.version <= service.version]
            if len(bases) > 1:
                self._floors[service.service] = bases[-1]
                self._set_generations(service.service, kept)

    def advance_placed(self, live: Iterable[InstanceId], spread_s: float, now: float) -> None:
        """Place new flows by the active version once all peers have it and openings have settled.

        An opening that was sent from a clean slot has no record. While its caller may repeat it,
        the home has to place the copy by the version before. The first version has none before it.
        One that comes during this wait doesn't start it anew: versions in quick succession must
        not hold up placement.

        :param live: the live peers, each of which has to report the version.
        :param spread_s: time after which missing reports are no longer waited for.
        """
        if self._placed == self.version or self.is_behind:
            # A peer with a higher version may have skipped this one and not know its placement.
            return
        if not self._has_spread(live, spread_s, now):
            return
        if self._spread_at is None:
            self._spread_at = now
        is_first = self._placed == NO_VERSION
        if is_first or now - self._spread_at >= self._get_opening_timeout_s():
            self._placed = self.version
            self._spread_at = None
            self.revision += 1

    def _has_spread(self, live: Iterable[InstanceId], spread_s: float, now: float) -> bool:
        is_overdue = now - self._learned_at >= spread_s
        return is_overdue or all(self.get_peer_version(peer) >= self.version for peer in live)

    def _get_opening_timeout_s(self) -> float:
        """Return the longest opening timeout of the services, in seconds."""
        services = self._configuration.services
        return max((service.limits.opening_timeout_s for service in services), default=0.0)

    def _add_generations(self, configuration: Configuration) -> None:
        domains_in = list_domains_in(configuration)
        services = {service.id: service for service in configuration.services}
        for gone in self._generations.keys() - services.keys():
            del self._generations[gone]
            self._floors.pop(gone, None)
        for service in services.values():
            generation = build_generation(configuration.version, service, domains_in)
            self._set_generations(service.id, (*self._generations.get(service.id, ()), generation))

    def _merge(self, service: ServiceId, learned: Iterable[Generation]) -> None:
        known = self._generations[service]
        by_version = {generation.version: generation for generation in learned}
        by_version.update({generation.version: generation for generation in known})
        merged = tuple(by_version[version] for version in sorted(by_version))
        self._set_generations(service, merged)
        if self._generations[service] != known:
            self.revision += 1

    def _set_generations(self, service: ServiceId, generations: Iterable[Generation]) -> None:
        floor = self._floors.get(service, NO_VERSION)
        kept: list[Generation] = []
        for generation in generations:
            if generation.version < floor:
                continue
            if not kept or generation.members != kept[-1].members:
                kept.append(generation)
        before = self._generations.get(service)
        self._generations[service] = _limit_generations(kept)
        if before is not None and before != self._generations[service]:
            self.revision += 1


def _limit_generations(generations: Sequence[Generation]) -> tuple[Generation, ...]:
    """Return at most ``MAX_GENERATIONS`` of the given generations.

    The oldest is kept for the flows without a record. Those of the dropped ones have records.
    """
    if len(generations) <= MAX_GENERATIONS:
        return tuple(generations)
    return (generations[0], *generations[1 - MAX_GENERATIONS :])
