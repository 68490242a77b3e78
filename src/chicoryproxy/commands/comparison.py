"""Predicts the effect of a configuration change on flows before it is published.

The comparison uses the placement and the generations of the decision core, so that it predicts
what every entry will do (``docs/design/overview.md``, rules R2, R3, R8 and R14).
"""

from collections import Counter
from collections.abc import Collection, Mapping

from msgspec import Struct

from chicoryproxy.configuration.published import PublishedFault
from chicoryproxy.configuration.splitter import split_configuration
from chicoryproxy.control.versions import build_generation, list_domains_in
from chicoryproxy.ids import DomainId, ServiceId, UpstreamId
from chicoryproxy.model import (
    Capacity,
    Configuration,
    Service,
    ServiceAddress,
    Upstream,
    WarmUp,
)
from chicoryproxy.routing.placement import PlacementTable, create_table

HINT_BYTES = 30
"""Size of one flow record in a hint."""


class ServiceChange(Struct, frozen=True):
    """Effect of a change on one service.

    :param slots: number of slots of the larger placement table.
    :param moved: slots whose new flows go to another upstream.
    :param contested: moved slots whose existing flows stay at an upstream that remains in use.
    :param given_up: slots whose flows end, because their upstream is removed, has another address,
        or its failure domain is out.
    :param cold: upstreams that start cold.
    :param contested_flows: upper bound of the flows in contested slots.
    :param given_up_flows: upper bound of the flows in slots that are given up, and of the flows of
        removed upstreams that were draining.
    """

    service: ServiceId
    slots: int
    moved: int = 0
    contested: int = 0
    given_up: int = 0
    cold: tuple[UpstreamId, ...] = ()
    contested_flows: int = 0
    given_up_flows: int = 0


class Comparison(Struct, frozen=True):
    """Effect of a change.

    :param services: services whose placement, flows or upstreams change.
    :param added: new services.
    :param removed: removed services.
    :param removed_addresses: addresses that no service has after the change; their flows end.
    :param adjusted: services whose return path, limits, capacity, warm-up or health endpoints
        change.
    :param value_bytes: size of the published values that instances have to read.
    :param hint_bytes: upper bound of the bytes that one entry sends in hints.
    :param hint_s: time to send these hints at the control rate, in seconds.
    """

    services: tuple[ServiceChange, ...]
    added: tuple[ServiceId, ...]
    removed: tuple[ServiceId, ...]
    removed_addresses: tuple[ServiceAddress, ...]
    adjusted: tuple[ServiceId, ...]
    value_bytes: int
    hint_bytes: int
    hint_s: float


def compare(old: Configuration, new: Configuration, flows_per_upstream: int = 0) -> Comparison:
    """Compare two configurations.

    :param flows_per_upstream: open flows per upstream; 0 assumes its capacity in connections.
    """
    before = {service.id: service for service in old.services}
    after = {service.id: service for service in new.services}
    domains = _Domains(list_domains_in(old), list_domains_in(new))
    changes = []
    for name in sorted(before.keys() & after.keys()):
        change = _ServiceComparison(before[name], after[name], domains).compare(
            flows_per_upstream, old, new
        )
        if change.moved or change.given_up_flows or change.cold:
            changes.append(change)
    hint_bytes = HINT_BYTES * sum(change.contested_flows for change in changes)
    return Comparison(
        services=tuple(changes),
        added=tuple(sorted(after.keys() - before.keys())),
        removed=tuple(sorted(before.keys() - after.keys())),
        removed_addresses=tuple(sorted(_list_addresses(old) - _list_addresses(new))),
        adjusted=tuple(
            name
            for name in sorted(before.keys() & after.keys())
            if _is_adjusted(before[name], after[name])
        ),
        value_bytes=_count_value_bytes(old, new),
        hint_bytes=hint_bytes,
        hint_s=hint_bytes / new.fleet.control_bytes_per_s,
    )


class _Domains(Struct, frozen=True):
    """Failure domains that are in service before and after a change."""

    before: Collection[DomainId]
    after: Collection[DomainId]


class _ServiceComparison:
    """Compares the slots of one service before and after a change."""

    def __init__(self, before: Service, after: Service, domains: _Domains) -> None:
        self._before = before
        self._after = after
        self._domains = domains
        self._usable_before = _list_usable(before, domains.before)
        self._usable_after = _list_usable(after, domains.after)

    def compare(
        self, flows_per_upstream: int, old: Configuration, new: Configuration
    ) -> ServiceChange:
        """Compare the placement tables of both configurations."""
        cold = tuple(
            name
            for name in sorted(self._usable_after)
            if not self._keeps_address(self._usable_after[name], self._usable_before)
        )
        if self._has_same_placement():
            return ServiceChange(self._after.id, 0, cold=cold)
        tables = (
            create_table(build_generation(old.version, self._before, self._domains.before)),
            create_table(build_generation(new.version, self._after, self._domains.after)),
        )
        return self._compare_tables(*tables, cold, flows_per_upstream)

    def _compare_tables(
        self,
        before: PlacementTable,
        after: PlacementTable,
        cold: tuple[UpstreamId, ...],
        flows_per_upstream: int,
    ) -> ServiceChange:
        slots = max(before.size, after.size)
        # Sizes are powers of two, so each slot of the larger table maps to one slot of the smaller.
        upstreams = [before.upstream_at(slot & (before.size - 1)) for slot in range(slots)]
        totals = Counter(upstream.id for upstream in upstreams if upstream)
        moved = 0
        contested: Counter[UpstreamId] = Counter()
        given_up: Counter[UpstreamId] = Counter()
        for slot, old in enumerate(upstreams):
            new = after.upstream_at(slot & (after.size - 1))
            is_moved = (old and old.id) != (new and new.id)
            moved += is_moved
            if old is None:
                continue
            if not self._keeps_address(old, self._usable_after):
                given_up[old.id] += 1
            elif is_moved:
                contested[old.id] += 1
        flows = {
            name: flows_per_upstream or upstream.capacity.connections
            for name, upstream in self._usable_before.items()
        }
        return ServiceChange(
            service=self._after.id,
            slots=slots,
            moved=moved,
            contested=contested.total(),
            given_up=given_up.total(),
            cold=cold,
            contested_flows=_count_flows(contested, totals, flows),
            given_up_flows=_count_flows(given_up, totals, flows) + self._count_drained(flows),
        )

    def _count_drained(self, flows: Mapping[UpstreamId, int]) -> int:
        """Return the flows given up at draining upstreams, which have no slot."""
        return sum(
            flows[name]
            for name, upstream in self._usable_before.items()
            if upstream.draining and not self._keeps_address(upstream, self._usable_after)
        )

    def _has_same_placement(self) -> bool:
        """Return whether the change affects neither placement nor flows."""
        if self._usable_before.keys() != self._usable_after.keys():
            return False
        return all(
            _get_placement_key(upstream) == _get_placement_key(self._usable_after[name])
            for name, upstream in self._usable_before.items()
        )

    def _keeps_address(self, upstream: Upstream, usable: Mapping[UpstreamId, Upstream]) -> bool:
        """Return whether an upstream is among the usable ones with the same address."""
        other = usable.get(upstream.id)
        return other is not None and other.address == upstream.address


class _PlacementKey(Struct, frozen=True):
    """Values of an upstream that affect placement and existing flows."""

    upstream: UpstreamId
    host: str
    port: int
    weight: int
    draining: bool


def _get_placement_key(upstream: Upstream) -> _PlacementKey:
    address = upstream.address
    return _PlacementKey(
        upstream.id, address.host, address.port, upstream.weight, upstream.draining
    )


def _list_usable(service: Service, domains_in: Collection[DomainId]) -> dict[UpstreamId, Upstream]:
    return {item.id: item for item in service.upstreams if item.domain in domains_in}


def _list_addresses(configuration: Configuration) -> set[ServiceAddress]:
    return {address for service in configuration.services for address in service.addresses}


def _is_adjusted(before: Service, after: Service) -> bool:
    """Return whether any value changed that doesn't affect placement."""
    if (before.return_path, before.limits) != (after.return_path, after.limits):
        return True
    present = {upstream.id: upstream for upstream in before.upstreams}
    return any(
        _get_tuning_values(present[upstream.id]) != _get_tuning_values(upstream)
        for upstream in after.upstreams
        if upstream.id in present
    )


class _TuningValues(Struct, frozen=True):
    """Values of an upstream that don't affect placement."""

    capacity: Capacity
    warm_up: WarmUp
    health_url: str


def _get_tuning_values(upstream: Upstream) -> _TuningValues:
    return _TuningValues(upstream.capacity, upstream.warm_up, upstream.health_url)


def _count_flows(
    slots: Mapping[UpstreamId, int],
    totals: Mapping[UpstreamId, int],
    flows: Mapping[UpstreamId, int],
) -> int:
    return round(sum(flows[name] * count / totals[name] for name, count in slots.items()))


def _count_value_bytes(old: Configuration, new: Configuration) -> int:
    before, after = split_configuration(old), split_configuration(new)
    if isinstance(before, PublishedFault) or isinstance(after, PublishedFault):
        return 0
    changed = after.parts.keys() - before.parts.keys()
    return len(after.index) + sum(len(after.parts[name]) for name in changed)
