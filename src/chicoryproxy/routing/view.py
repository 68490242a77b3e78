"""An entry's newest view: configuration, conditions and generations, indexed by service."""

from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct

from chicoryproxy.configuration.instancelimits import find_limits
from chicoryproxy.ids import NO_VERSION, ServiceId, UpstreamId, Version
from chicoryproxy.model import (
    Configuration,
    FleetLimits,
    Generation,
    Service,
    Upstream,
    UpstreamCondition,
)
from chicoryproxy.protocol.messages import SlotName, ViewUpdate
from chicoryproxy.protocol.packet import pack_address
from chicoryproxy.routing.egress import EgressPolicy, create_egress_policy
from chicoryproxy.routing.homes import HomeDirectory, MemberChange
from chicoryproxy.routing.route import ServiceRoute
from chicoryproxy.routing.slots import ForwardActions, ServiceSlots, create_service_slots
from chicoryproxy.states import UpstreamState


class ViewChange(Struct, frozen=True):
    """Changes made by an update of the view.

    :param contested: slots that were clean while this instance was their home and are contested
        now; none of their flows has a record yet.
    """

    members: MemberChange
    contested: tuple[SlotName, ...]


class EntryView:
    """Holds the newest view, and the slots of services that have received a packet.

    :param directory: members and their roles.
    :ivar routes: services by their packed address, see ``packet.pack_address``.
    """

    def __init__(self, directory: HomeDirectory) -> None:
        self.directory = directory
        self.routes: dict[bytes, ServiceRoute] = {}
        self.egress_policy: EgressPolicy | None = None
        self.fleet = FleetLimits()
        self.version: Version = NO_VERSION
        self.placed: Version = NO_VERSION
        self.highest: Version = NO_VERSION
        self.is_stale = True
        self.conditions: Mapping[UpstreamId, UpstreamCondition] = {}
        self._services: dict[ServiceId, ServiceRoute] = {}
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._routes_with_slots: list[ServiceRoute] = []
        self._generations: dict[ServiceId, tuple[Generation, ...]] = {}
        self._hidden: frozenset[UpstreamId] = frozenset()

    @property
    def is_behind(self) -> bool:
        """Whether a peer has a higher version, or a pause made the view stale."""
        return self.is_stale or self.highest > self.version

    def update(self, update: ViewUpdate, now: float) -> ViewChange:
        """Apply a new view.

        The view process may restart with an older version than the entry has.
        """
        contested = self._update_services(update, now)
        members = self.directory.update(update.members)
        contested += self._update_hidden()
        if members.healed:
            self.hold_all()
        for slots in self.built_slots():
            self._set_answers(slots)
        return ViewChange(members, tuple(contested))

    def observe_version(self, version: Version) -> None:
        """Raise the highest known version to a version that a peer has."""
        self.highest = max(self.highest, version)

    def find_service(self, service: ServiceId) -> ServiceRoute | None:
        """Return a service by its id."""
        return self._services.get(service)

    def find_upstream(self, upstream: UpstreamId) -> Upstream | None:
        """Return an upstream by its id."""
        return self._upstreams.get(upstream)

    def get_slots(self, route: ServiceRoute, now: float) -> ServiceSlots:
        """Return the slots of a service; the first call builds them.

        Slots that are built while there are peers start held: a peer may have placed flows that
        this instance has no record of.
        """
        if route.slots is None:
            route.slots = self.build_slots(route, now)
            self._routes_with_slots.append(route)
        return route.slots

    def build_slots(self, route: ServiceRoute, now: float) -> ServiceSlots:
        """Build the initial slots of a service without storing them in its route."""
        slots = create_service_slots(route.id, route.has_datagrams)
        slots.set_generations(self._generations_of(route.id), self.placed, now)
        slots.apply_conditions(self.conditions)
        if self.directory.listed_peers():
            slots.hold_all()
        self._set_answers(slots)
        return slots

    def built_slots(self) -> list[ServiceSlots]:
        """Return the slots of all services that have received a packet."""
        return [route.slots for route in self._routes_with_slots if route.slots is not None]

    def hold_all(self) -> None:
        """Hold all slots as contested until their homes release them."""
        for slots in self.built_slots():
            slots.hold_all()

    def newest_version(self, service: ServiceId) -> Version:
        """Return the version of the newest generation of a service."""
        generations = self._generations_of(service)
        return generations[-1].version if generations else NO_VERSION

    def state_of(self, upstream: UpstreamId) -> UpstreamState:
        """Return the state of an upstream as this instance sees it."""
        if upstream in self._hidden:
            return UpstreamState.UNREACHABLE
        condition = self.conditions.get(upstream)
        return condition.state if condition else UpstreamState.READY

    def _update_services(self, update: ViewUpdate, now: float) -> list[SlotName]:
        self.highest = max(self.highest, update.highest, update.configuration.version)
        self.is_stale = update.stale
        is_older = update.configuration.version < self.version
        self._update_conditions(update.conditions, is_older)
        if update.configuration.version > self.version:
            self._apply_configuration(update.configuration)
        placed_increased = update.placed > self.placed
        self.placed = max(self.placed, update.placed)
        generations = self._generations if is_older else _group_by_service(update.generations)
        contested = []
        for route in self._copy_routes_with_slots():
            slots = self.get_slots(route, now)
            current = self._add_needed(slots, generations.get(route.id, ()))
            generations[route.id] = current
            if current != self._generations.get(route.id, ()):
                contested += slots.set_generations(current, self.placed, now)
            elif placed_increased:
                slots.set_placed_version(self.placed)
            contested += slots.apply_conditions(self.conditions)
        self._generations = generations
        return self._filter_own(contested)

    def _add_needed(
        self, slots: ServiceSlots, received: tuple[Generation, ...]
    ) -> tuple[Generation, ...]:
        """Add the older generations that slots still need, as a restarted view may lack them."""
        needed = slots.list_needed(self._generations_of(slots.service))
        oldest = received[0].version if received else self.version + 1
        return (*(item for item in needed if item.version < oldest), *received)

    def _update_conditions(self, conditions: Iterable[UpstreamCondition], is_older: bool) -> None:
        """Replace the conditions, or take only the newer ones of an older version."""
        received = {item.upstream: item for item in conditions}
        if not is_older:
            self.conditions = received
            return
        self.conditions = {
            name: received[name] if _is_newer(received.get(name), known) else known
            for name, known in self.conditions.items()
        }

    def _apply_configuration(self, configuration: Configuration) -> None:
        self.version = configuration.version
        self.fleet = find_limits(configuration, self.directory.own)
        self.egress_policy = create_egress_policy(configuration)
        services = {}
        routes = {}
        upstreams: dict[UpstreamId, Upstream] = {}
        for service in configuration.services:
            route = self._services.get(service.id) or ServiceRoute(service)
            route.update_service(service)
            services[service.id] = route
            routes.update(dict.fromkeys(_pack_addresses(service), route))
            for upstream in service.upstreams:
                upstreams.setdefault(upstream.id, upstream)
        self._services = services
        self._routes_with_slots = [route for route in services.values() if route.slots is not None]
        self._upstreams = upstreams
        self.routes = routes

    def _update_hidden(self) -> list[SlotName]:
        domains = self.directory.hidden_domains()
        before = self._hidden
        self._hidden = frozenset(
            upstream.id
            for route in self._services.values()
            for upstream in route.service.upstreams
            if domains and upstream.domain in domains
        )
        contested = []
        for slots in self.built_slots():
            contested += slots.hold_upstreams(self._hidden - before)
        return self._filter_own(contested)

    def hidden_upstreams(self) -> frozenset[UpstreamId]:
        """Return the upstreams of failure domains that this instance is cut off from."""
        return self._hidden

    def _filter_own(self, slots: Iterable[SlotName]) -> list[SlotName]:
        """Return the slots for which this instance, as their home, has seen every flow open."""
        return [
            slot
            for slot in slots
            if self.directory.is_home(slot) and not self._services[slot.service].has_datagrams
        ]

    def _generations_of(self, service: ServiceId) -> Sequence[Generation]:
        return self._generations.get(service, ())

    def _copy_routes_with_slots(self) -> list[ServiceRoute]:
        return list(self._routes_with_slots)

    def _set_answers(self, slots: ServiceSlots) -> None:
        slots.set_forwards(lambda upstream: self._build_answer(slots.service, upstream))

    def _build_answer(self, service: ServiceId, upstream: UpstreamId) -> ForwardActions | None:
        if self.egress_policy is None or self.state_of(upstream) is not UpstreamState.READY:
            return None
        permitted = self.egress_policy.check(service, upstream)
        return permitted if isinstance(permitted, tuple) else None


def _is_newer(condition: UpstreamCondition | None, known: UpstreamCondition) -> bool:
    return condition is not None and condition.epoch > known.epoch


def _group_by_service(generations: Iterable[Generation]) -> dict[ServiceId, tuple[Generation, ...]]:
    grouped: dict[ServiceId, list[Generation]] = {}
    for generation in sorted(generations, key=lambda item: item.version):
        grouped.setdefault(generation.service, []).append(generation)
    return {service: tuple(items) for service, items in grouped.items()}


def _pack_addresses(service: Service) -> list[bytes]:
    return [pack_address(item.protocol, item.host, item.port) for item in service.addresses]


def create_entry_view(directory: HomeDirectory) -> EntryView:
    """Create the state of an entry that has not received a view yet."""
    return EntryView(directory)
