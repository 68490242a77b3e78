"""State of the upstreams, routes and failure domains as known to this entry.

A lifetime whose registration was removed without a drain is ``MISSING`` first: during an outage of
the store, registrations may expire although their upstreams are alive. After ``RETURN_GRACE_S`` it
is ``GONE``. Flows are reset when connections to their upstream fail (``reachability``), or when a
newer lifetime has the id or the address of the upstream.
"""

from collections.abc import Iterator

from chicoryproxy.forwarding.model import (
    NO_REVISION,
    Bounds,
    Change,
    DomainBack,
    DomainOut,
    Mark,
    Revision,
    Route,
    RouteKey,
    RoutingPublished,
    RoutingUnreadable,
    RoutingVersion,
    ServiceLimits,
    UnreachableCause,
    UpstreamEntry,
    UpstreamListed,
    UpstreamPhase,
    UpstreamUnlisted,
    UpstreamUnreadable,
)
from chicoryproxy.forwarding.view.addressowners import AddressOwners
from chicoryproxy.forwarding.view.directoryevent import (
    DirectoryEvent,
    DirectoryEventKind,
    create_phase_event,
)
from chicoryproxy.forwarding.view.disableddomains import DisabledDomains
from chicoryproxy.forwarding.view.lifetime import Lifetime, find_later, is_outdated
from chicoryproxy.forwarding.view.markowners import MarkOwners
from chicoryproxy.forwarding.view.marks import get_identity
from chicoryproxy.forwarding.view.routingpatch import RoutingHistory
from chicoryproxy.forwarding.view.unnamedservices import UnnamedServices
from chicoryproxy.ids import NO_VERSION, DomainId, ServiceId, UpstreamId, Version

RETURN_GRACE_S = 2.5
"""Registrations that expired during an outage of the store return within two seconds after it, and
so does what it lost if it came back from an older copy."""

STORE_RECOVERY_S = 3.0
"""For this long after a failed read, a removed registration may merely have expired."""

GONE_RETENTION_S = 90.0
IDLE_TIMEOUT_S = 15.0
"""Default until the first version of the configuration is known."""


class Directory:
    """Upstreams by service and mark, routes by destination, and disabled failure domains.

    :param bounds: time and rate limits of the deployment.

    :ivar routing: current version of the configuration; ``None`` before the first.
    :ivar history: patches between the last versions.
    :ivar confirmed_s: time of the last proof that the view was current; a change that was not known
        then was published after it.
    :ivar known_revision: all changes up to this revision were applied; ``NO_REVISION`` before the
        first complete view.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.routing: RoutingVersion | None = None
        self.history = RoutingHistory()
        self.confirmed_s = float("-inf")
        self.known_revision = NO_REVISION
        self._routes: dict[RouteKey, Route] = {}
        self._removed_routes: set[RouteKey] = set()
        self._limits: dict[ServiceId, ServiceLimits] = {}
        self._current: dict[UpstreamId, Lifetime] = {}
        self._services: dict[ServiceId, dict[UpstreamId, Lifetime]] = {}
        self._marks = MarkOwners()
        self._addresses = AddressOwners()
        self._unnamed_services = UnnamedServices()
        self._missing: dict[UpstreamId, Lifetime] = {}
        self._ended: dict[str, Lifetime] = {}
        self._disabled_domains = DisabledDomains(RETURN_GRACE_S)
        self._store_failed_s = float("-inf")

    @property
    def version(self) -> Version:
        """Current version, ``NO_VERSION`` before the first."""
        return self.routing.version if self.routing else NO_VERSION

    @property
    def idle_timeout_s(self) -> float:
        """Seconds without a packet after which a flow may be dropped from the flow table."""
        return self.routing.idle_timeout_s if self.routing else IDLE_TIMEOUT_S

    def find_route(self, key: RouteKey) -> Route | None:
        """Return the route of a destination."""
        return self._routes.get(key)

    def is_route_removed(self, key: RouteKey) -> bool:
        """Return whether a version removed a route that this entry knew."""
        return key in self._removed_routes

    def find_by_mark(self, mark: Mark) -> Lifetime | None:
        """Return the lifetime with a mark, including ended ones."""
        return self._marks.find(mark)

    def find_present(self, upstream: UpstreamId) -> Lifetime | None:
        """Return the lifetime of an upstream that has not ended."""
        return self._current.get(upstream)

    def get_limits(self, service: ServiceId) -> ServiceLimits | None:
        """Return the limits of a service."""
        return self._limits.get(service)

    def iterate_service(self, service: ServiceId) -> Iterator[Lifetime]:
        """Iterate over the present lifetimes of a service, in no fixed order."""
        yield from self._services.get(service, {}).values()

    def iterate_present(self) -> Iterator[Lifetime]:
        """Iterate over all lifetimes that have not ended."""
        yield from self._current.values()

    def is_domain_out(self, domain: DomainId) -> bool:
        """Return whether operators have taken a failure domain out of service."""
        return domain in self._disabled_domains

    def record_store_failure(self, now: float) -> None:
        """Record a failed read of the store; later removals may be expired registrations."""
        self._store_failed_s = now

    def record_store_restored(self, now: float) -> None:
        """Record that the store came back from an older copy.

        What was written since the copy is missing there until it is written again.
        """
        self.record_store_failure(now)
        self._disabled_domains.record_restore(now)

    def may_have_expired(self, lifetime: Lifetime, now: float) -> bool:
        """Return whether a missing lifetime is probably alive: the store was unavailable.

        The registration of one that leaves is removed at its end, whatever the state of the store.
        """
        return (
            lifetime.phase is UpstreamPhase.MISSING
            and not lifetime.is_leaving
            and lifetime.phase_since_s - self._store_failed_s < STORE_RECOVERY_S
            and now - lifetime.phase_since_s < RETURN_GRACE_S
        )

    def apply(self, change: Change, now: float) -> list[DirectoryEvent]:
        """Apply a new change and return the resulting events."""
        fact = change.fact
        if isinstance(fact, UpstreamListed):
            return self._apply_listed(fact.entry, change.revision, now)
        if isinstance(fact, UpstreamUnlisted):
            return self._apply_unlisted(fact.id, change.revision, now)
        if isinstance(fact, UpstreamUnreadable):
            return self._apply_unreadable(fact.id, fact.reason, change.revision, now)
        if isinstance(fact, RoutingPublished):
            return self._apply_routing(fact.routing, change.revision, now)
        if isinstance(fact, RoutingUnreadable):
            kind = DirectoryEventKind.VERSION_UNREADABLE
            return [DirectoryEvent(kind, str(self.version), fact.reason, change.revision)]
        return self._apply_domain(fact, change.revision, now)

    def expire(self, now: float) -> list[DirectoryEvent]:
        """End lifetimes that are missing for too long, and discard old ended ones."""
        returned = self._disabled_domains.pop_returned(now).items()
        events = [self._create_domain_back(domain, revision, now) for domain, revision in returned]
        for lifetime in list(self._missing.values()):
            if now - lifetime.phase_since_s >= RETURN_GRACE_S:
                events.append(self._end(lifetime, "missing for too long", 0, now))
        for identity, lifetime in list(self._ended.items()):
            if now - lifetime.phase_since_s < GONE_RETENTION_S:
                break
            del self._ended[identity]
            if not lifetime.is_replaced:
                self._addresses.discard(lifetime)
            self._marks.discard(lifetime)
        return events

    def _apply_listed(
        self, entry: UpstreamEntry, revision: Revision, now: float
    ) -> list[DirectoryEvent]:
        identity = get_identity(entry)
        known = self._current.get(entry.id)
        self._unnamed_services.discard(entry.id)
        if known is not None and known.identity != identity and self._is_unnamed(entry.service):
            reason = f"no version has named its service {entry.service}"
            unreadable = self._apply_unreadable(entry.id, reason, revision, now)
            self._unnamed_services.hold(entry, revision)
            return unreadable
        former = known or self._ended.get(identity)
        if former is not None and self._is_outdated(entry, former):
            former.keep_cold(entry, now)
            detail = f"registration precedes the one of revision {former.revision}"
            kind = DirectoryEventKind.UPSTREAM_OUTDATED
            return [DirectoryEvent(kind, entry.id, detail, revision)]
        events: list[DirectoryEvent] = []
        if known is not None and known.identity != identity:
            known.mark_unreachable(UnreachableCause.NEWER_LIFETIME, now)
            events.append(self._end(known, "replaced by a newer lifetime", revision, now))
            known = None
        if known is None:
            known = self._restore_ended(identity) or Lifetime(entry, identity, revision, now)
            known.update(entry, revision, now, self.confirmed_s)
            events.extend(self._add(known, revision, now))
        else:
            self._addresses.discard(known)
            known.update(entry, revision, now, self.confirmed_s)
            self._addresses.add(known)
            events.extend(self._claim_address(known, revision, now))
        if known.phase is UpstreamPhase.GONE:
            return events
        phase = UpstreamPhase.DRAINING if entry.is_draining else UpstreamPhase.SERVING
        if known.phase is not phase:
            events.append(self._set_phase(known, phase, "published", revision, now))
        return events

    def _is_unnamed(self, service: ServiceId) -> bool:
        """Return whether versions are known, and none of them has named a service."""
        return self.routing is not None and not self._unnamed_services.is_named(service)

    def _is_outdated(self, entry: UpstreamEntry, known: Lifetime) -> bool:
        """Return whether a registration precedes the known one, which is not another writer's."""
        return not self._is_unnamed(known.entry.service) and is_outdated(entry, known)

    def _apply_unreadable(
        self, upstream: UpstreamId, reason: str, revision: Revision, now: float
    ) -> list[DirectoryEvent]:
        event = DirectoryEvent(DirectoryEventKind.UPSTREAM_UNREADABLE, upstream, reason, revision)
        return [event, *self._apply_unlisted(upstream, revision, now)]

    def _apply_unlisted(
        self, upstream: UpstreamId, revision: int, now: float
    ) -> list[DirectoryEvent]:
        self._unnamed_services.discard(upstream)
        known = self._current.get(upstream)
        if known is None or known.phase is UpstreamPhase.MISSING:
            return []
        is_store_recovering = now - self._store_failed_s < STORE_RECOVERY_S
        if known.phase is UpstreamPhase.DRAINING and not is_store_recovering:
            return [self._end(known, "registration removed after the drain", revision, now)]
        return [self._set_phase(known, UpstreamPhase.MISSING, "entry vanished", revision, now)]

    def _apply_routing(
        self, routing: RoutingVersion, revision: Revision, now: float
    ) -> list[DirectoryEvent]:
        if routing.version <= self.version:
            detail = f"version {self.version} remains current"
            kind = DirectoryEventKind.VERSION_OLDER
            return [DirectoryEvent(kind, str(routing.version), detail, revision)]
        self.history.record_version(self.routing, routing, revision)
        self.routing = routing
        before = self._routes.keys()
        self._routes = {route.key: route for route in routing.routes}
        self._removed_routes = (self._removed_routes | before) - self._routes.keys()
        known_services = self._limits.keys()
        self._limits = {limits.service: limits for limits in routing.services}
        waiting = self._unnamed_services.pop_named(self._limits)
        detail = f"{len(routing.routes)} routes, {len(routing.services)} services"
        kind = DirectoryEventKind.VERSION
        events = [DirectoryEvent(kind, str(routing.version), detail, revision)]
        for service in self._limits.keys() - known_services:
            events.extend(self._claim_addresses(service, revision, now))
        for entry, published in waiting:
            events.extend(self._apply_listed(entry, published, now))
        return events

    def _apply_domain(
        self, fact: DomainOut | DomainBack, revision: Revision, now: float
    ) -> list[DirectoryEvent]:
        if isinstance(fact, DomainOut):
            self._disabled_domains.take_out(fact.domain)
            kind = DirectoryEventKind.DOMAIN_OUT
            return [DirectoryEvent(kind, fact.domain, "gets no openings", revision)]
        if fact.domain not in self._disabled_domains and not self._was_out_unseen(revision):
            return []
        is_back = self._disabled_domains.bring_back(fact.domain, revision, now)
        return [self._create_domain_back(fact.domain, revision, now)] if is_back else []

    def _create_domain_back(
        self, domain: DomainId, revision: Revision, now: float
    ) -> DirectoryEvent:
        """Mark the upstreams of a domain as cold, since they may have lost their caches."""
        for lifetime in self._current.values():
            if lifetime.entry.domain == domain:
                self._mark_cold(lifetime, now)
        kind = DirectoryEventKind.DOMAIN_BACK
        return DirectoryEvent(kind, domain, "upstreams are cold", revision)

    def _was_out_unseen(self, revision: int) -> bool:
        """Return whether a domain that is back was out between the last view and a change.

        Only the last change of a key is passed on. Nothing is known of the time before the first
        view.
        """
        return NO_REVISION < self.known_revision < revision

    def _mark_cold(self, lifetime: Lifetime, now: float) -> None:
        limits = self._limits.get(lifetime.entry.service)
        if limits is not None:
            lifetime.cold_until_s = max(lifetime.cold_until_s, now + limits.cold_start_s)

    def _add(self, lifetime: Lifetime, revision: int, now: float) -> list[DirectoryEvent]:
        entry = lifetime.entry
        self._current[entry.id] = lifetime
        self._services.setdefault(entry.service, {})[entry.id] = lifetime
        self._addresses.add(lifetime)
        lifetime.phase_since_s = now
        detail = f"{entry.service} at {entry.address.host}:{entry.address.port}"
        return [
            DirectoryEvent(DirectoryEventKind.UPSTREAM_NEW, entry.id, detail, revision),
            *self._claim_mark(lifetime, revision),
            *self._claim_address(lifetime, revision, now),
        ]

    def _claim_mark(self, lifetime: Lifetime, revision: int) -> list[DirectoryEvent]:
        claimants = self._marks.claim(lifetime)
        if claimants is None:
            return []
        owner, other = claimants
        detail = f"mark {lifetime.mark:08x} belongs to {owner.identity}"
        return [DirectoryEvent(DirectoryEventKind.MARK_COLLISION, other.entry.id, detail, revision)]

    def _claim_addresses(
        self, service: ServiceId, revision: int, now: float
    ) -> list[DirectoryEvent]:
        """Claim the addresses of the lifetimes of a service that a configuration names now."""
        events: list[DirectoryEvent] = []
        for lifetime in list(self.iterate_service(service)):
            if lifetime.phase is not UpstreamPhase.GONE:
                events.extend(self._claim_address(lifetime, revision, now))
        return events

    def _claim_address(self, lifetime: Lifetime, revision: int, now: float) -> list[DirectoryEvent]:
        """End the earlier one of a lifetime and each other one with the same address.

        One that is gone already may have open flows; they have ended, too.
        Registrations arrive in any order, so that a new one may be the earlier one. One of a
        service that no configuration names may be another writer's and ends nothing.
        """
        events: list[DirectoryEvent] = []
        for other in self._addresses.list_others(lifetime):
            later = find_later(other, lifetime)
            if other.phase is UpstreamPhase.GONE and later is not lifetime:
                continue
            if later is None or not self._unnamed_services.is_named(later.entry.service):
                detail = f"address of {other.entry.id} too, and it is unclear which one is later"
                kind = DirectoryEventKind.ADDRESS_CONFLICT
                events.append(DirectoryEvent(kind, lifetime.entry.id, detail, revision))
                continue
            earlier = other if later is lifetime else lifetime
            earlier.mark_unreachable(UnreachableCause.ADDRESS_REASSIGNED, now)
            reason = f"its address belongs to {later.entry.id} since revision {later.revision}"
            if earlier.phase is UpstreamPhase.GONE:
                self._addresses.discard(earlier)
                events.append(create_phase_event(earlier, reason, revision))
            else:
                events.append(self._end(earlier, reason, revision, now))
            if earlier is lifetime:
                break
        return events

    def _restore_ended(self, identity: str) -> Lifetime | None:
        lifetime = self._ended.pop(identity, None)
        if lifetime is not None:
            if not lifetime.is_replaced:
                self._addresses.discard(lifetime)
            lifetime.phase = UpstreamPhase.SERVING
            lifetime.is_unreachable = False
            lifetime.is_mark_taken = False
        return lifetime

    def _end(self, lifetime: Lifetime, reason: str, revision: int, now: float) -> DirectoryEvent:
        entry = lifetime.entry
        del self._current[entry.id]
        del self._services[entry.service][entry.id]
        if lifetime.is_replaced:
            self._addresses.discard(lifetime)
        self._ended[lifetime.identity] = lifetime
        self._marks.pass_on(lifetime, self._current.values())
        return self._set_phase(lifetime, UpstreamPhase.GONE, reason, revision, now)

    def _set_phase(
        self, lifetime: Lifetime, phase: UpstreamPhase, reason: str, revision: int, now: float
    ) -> DirectoryEvent:
        lifetime.phase = phase
        lifetime.phase_since_s = now
        if phase is UpstreamPhase.MISSING:
            self._missing[lifetime.entry.id] = lifetime
        else:
            self._missing.pop(lifetime.entry.id, None)
        return create_phase_event(lifetime, reason, revision)
