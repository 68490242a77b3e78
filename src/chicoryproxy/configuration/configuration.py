"""Builds the effective configuration from defaults, entries and exceptions."""

from datetime import date
from enum import Enum, unique
from functools import cache

from msgspec import UNSET, Struct

from chicoryproxy.configuration.conversion import convert_document
from chicoryproxy.configuration.document import Document, DocumentFault, KeyPath
from chicoryproxy.configuration.exceptions import ExceptionIndex, Target
from chicoryproxy.configuration.files import load_document
from chicoryproxy.configuration.inventory import Inventory, check_inventory
from chicoryproxy.configuration.layers import (
    Layer,
    LayeredValue,
    LayeredValues,
    LayerKind,
    Scope,
    list_built_in_values,
    list_scope_keys,
    list_values,
)
from chicoryproxy.configuration.schema import (
    WrittenConfiguration,
    WrittenService,
    WrittenUpstream,
)
from chicoryproxy.errors import ConfigurationError
from chicoryproxy.finding import FindingList
from chicoryproxy.ids import DomainId, InstanceId, RegionId, ServiceId, UpstreamId, Version
from chicoryproxy.model import (
    Capacity,
    Configuration,
    Domain,
    Endpoint,
    FleetLimits,
    FlowLimits,
    InstanceLimits,
    Service,
    Upstream,
    WarmUp,
)

_PLACEHOLDER_ENDPOINT = Endpoint("0.0.0.0", 0)


@unique
class ServiceFault(Enum):
    """Why the values of a service can't be explained."""

    UNKNOWN = "unknown service"


class EffectiveValue(Struct, frozen=True):
    """An effective value and its origin.

    :param value: value in base units, with the layer that provides it.
    """

    target: Target
    key: str
    value: LayeredValue


class EffectiveConfiguration:
    """The effective configuration of the fleet, with the origin of each value.

    :ivar configuration: configuration to publish.
    """

    def __init__(self, configuration: Configuration, merger: "_Merger") -> None:
        self.configuration = configuration
        self._merger = merger

    def explain_service(self, service: ServiceId) -> tuple[EffectiveValue, ...] | ServiceFault:
        """Return the effective values of a service, its upstreams and their failure domains."""
        return self._merger.explain_service(service)


def load_configuration(path: str, version: Version, today: date) -> EffectiveConfiguration:
    """Load and validate a configuration file.

    :param path: name of the file or folder.
    :param version: version of the resulting configuration.
    :param today: date that ``until`` of exceptions is compared with.
    :raises ConfigurationError: if there are findings; contains all of them.
    """
    findings = FindingList()
    document = load_document(path, findings)
    if isinstance(document, DocumentFault):
        raise ConfigurationError(findings)
    return create_configuration(document, version, today, findings)


def create_configuration(
    document: Document, version: Version, today: date, findings: FindingList
) -> EffectiveConfiguration:
    """Validate a document and merge its layers.

    :param findings: errors found so far; further errors are added.
    :raises ConfigurationError: if there are findings; contains all of them.
    """
    written = convert_document(document, WrittenConfiguration, findings)
    inventory = check_inventory(written, document, findings)
    exceptions = ExceptionIndex(written, document, today, findings)
    merger = _Merger(written, document, exceptions, findings)
    configuration = merger.create(version, inventory)
    exceptions.check_ineffective_values()
    if findings:
        raise ConfigurationError(findings)
    return EffectiveConfiguration(configuration, merger)


class _Merger:
    """Merges the layers of each target."""

    def __init__(
        self,
        written: WrittenConfiguration,
        document: Document,
        exceptions: ExceptionIndex,
        findings: FindingList,
    ) -> None:
        self._written = written
        self._document = document
        self._exceptions = exceptions
        self._findings = findings
        layer = Layer(LayerKind.DEFAULT)
        self._defaults = list_built_in_values()
        for key, value in list_values(written.defaults).items():
            place = document.get_place(("defaults", *key.split(".")))
            self._defaults[key] = LayeredValue(value, Layer(layer.kind, place))
        self._check_zero_values()

    def create(self, version: Version, inventory: Inventory) -> Configuration:
        """Create the configuration; the objects of each kind are sorted by name."""
        return Configuration(
            version=version,
            domains=tuple(self._create_domain(name) for name in sorted(self._written.domains)),
            services=tuple(
                self._create_service(name, inventory) for name in sorted(self._written.services)
            ),
            fleet=self._create_fleet(),
            instances=tuple(
                self._create_instance(target)
                for target in self._exceptions.list_targets(Scope.INSTANCE)
            ),
        )

    def explain_service(self, service: ServiceId) -> tuple[EffectiveValue, ...] | ServiceFault:
        """Return the effective values of a service, its upstreams and their failure domains."""
        if service not in self._written.services:
            return ServiceFault.UNKNOWN
        written = self._written.services[service]
        explained = _list_effective_values(
            Target(Scope.SERVICE, service), self._merge_service(service)
        )
        for domain in sorted({item.domain for item in written.upstreams.values()}):
            target = Target(Scope.DOMAIN, domain)
            explained += _list_effective_values(
                target, self._exceptions.apply(target, self._defaults)
            )
        for upstream in sorted(written.upstreams):
            values = self._merge_upstream(service, upstream, written.upstreams[upstream])
            explained += _list_effective_values(Target(Scope.UPSTREAM, upstream), values)
        return tuple(explained)

    def _create_domain(self, name: str) -> Domain:
        values = self._exceptions.apply(Target(Scope.DOMAIN, name), self._defaults)
        region = RegionId(self._written.domains[name].region)
        return Domain(DomainId(name), region, values["state"].value)

    def _create_service(self, name: str, inventory: Inventory) -> Service:
        written = self._written.services[name]
        values = self._merge_service(name)
        upstreams = tuple(
            self._create_upstream(name, upstream, written.upstreams[upstream], inventory)
            for upstream in sorted(written.upstreams)
        )
        return Service(
            id=ServiceId(name),
            addresses=tuple(sorted(inventory.addresses[ServiceId(name)])),
            upstreams=upstreams,
            return_path=values["return_path"].value,
            limits=_create_limits(
                values["limits.idle_timeout"].value,
                values["limits.opening_timeout"].value,
                values["limits.retry_ratio"].value,
            ),
        )

    def _create_upstream(
        self, service: str, name: str, written: WrittenUpstream, inventory: Inventory
    ) -> Upstream:
        values = self._merge_upstream(service, name, written)
        self._check_warm_up_rates(service, name, values)
        return Upstream(
            id=UpstreamId(name),
            domain=DomainId(written.domain),
            address=inventory.upstreams.get(UpstreamId(name), _PLACEHOLDER_ENDPOINT),
            weight=values["weight"].value,
            draining=values["draining"].value,
            capacity=_create_capacity(
                values["capacity.slots"].value, values["capacity.connections"].value
            ),
            warm_up=_create_warm_up(
                values["warm_up.cold_openings"].value,
                values["warm_up.full_openings"].value,
                values["warm_up.duration"].value,
            ),
            health_url="" if written.health is UNSET else str(written.health),
        )

    def _create_fleet(self) -> FleetLimits:
        values = self._defaults
        return FleetLimits(
            control_bytes_per_s=values["fleet.control_rate"].value,
            spread_s=values["fleet.spread"].value,
            lease_s=values["fleet.lease"].value,
            probe_interval_s=values["fleet.probe_interval"].value,
            suspicion_s=values["fleet.suspicion"].value,
            pause_s=values["fleet.pause"].value,
            flow_table_size=values["fleet.flow_table_size"].value,
        )

    def _create_instance(self, target: Target) -> InstanceLimits:
        values = self._exceptions.apply(target, self._defaults)
        return InstanceLimits(
            instance=InstanceId(target.name),
            control_bytes_per_s=values["fleet.control_rate"].value,
            flow_table_size=values["fleet.flow_table_size"].value,
        )

    def _merge_service(self, name: str) -> LayeredValues:
        path: KeyPath = ("services", name)
        base_values = self._add_own_values(self._written.services[name], path)
        return self._exceptions.apply(Target(Scope.SERVICE, name), base_values)

    def _merge_upstream(self, service: str, name: str, written: WrittenUpstream) -> LayeredValues:
        base_values = self._add_own_values(written, ("services", service, "upstreams", name))
        return self._exceptions.apply(Target(Scope.UPSTREAM, name), base_values)

    def _add_own_values(
        self, written: WrittenService | WrittenUpstream, path: KeyPath
    ) -> LayeredValues:
        """Return the defaults, overridden by the values of the target's own entry."""
        own_values = list_values(written)
        if not own_values:
            return self._defaults
        values = dict(self._defaults)
        for key, value in own_values.items():
            place = self._document.get_place((*path, *key.split(".")))
            values[key] = LayeredValue(value, Layer(LayerKind.OWN, place))
        return values

    def _check_warm_up_rates(self, service: str, name: str, values: LayeredValues) -> None:
        cold, full = values["warm_up.cold_openings"], values["warm_up.full_openings"]
        if cold.value <= full.value:
            return
        layers = sorted((cold.layer, full.layer), key=lambda layer: layer.place is None)
        path: KeyPath = ("services", service, "upstreams", name)
        self._findings.add(
            layers[0].place or self._document.get_place(path),
            f"the limit of openings is higher for a cold upstream ({cold.value:g}) "
            f"than for a ready one ({full.value:g})",
            "lower `warm_up.cold_openings`, or raise `warm_up.full_openings`",
        )

    def _check_zero_values(self) -> None:
        """Add a finding for each quantity of zero, in all layers.

        ``limits.retry_ratio`` may be zero, which disables retries.
        """
        for path, written in self._list_written_structs():
            for key, value in list_values(written).items():
                if value == 0 and not isinstance(value, bool) and key != "limits.retry_ratio":
                    place = self._document.get_place((*path, *key.split(".")))
                    self._findings.add(place, f"`{key}` is zero", "write a value greater than zero")

    def _list_written_structs(self) -> list[tuple[KeyPath, Struct]]:
        written: list[tuple[KeyPath, Struct]] = [(("defaults",), self._written.defaults)]
        for index, exception in enumerate(self._written.exceptions):
            written.append((("exceptions", index, "change"), exception.change))
        for name, service in self._written.services.items():
            written.append((("services", name), service))
            written.extend(
                (("services", name, "upstreams", upstream), item)
                for upstream, item in service.upstreams.items()
            )
        return written


def _list_effective_values(target: Target, values: LayeredValues) -> list[EffectiveValue]:
    return [EffectiveValue(target, key, values[key]) for key in list_scope_keys(target.scope)]


# Equal structs are cached, because thousands of upstreams share the same values.


@cache
def _create_limits(idle_timeout_s: float, opening_timeout_s: float, ratio: float) -> FlowLimits:
    return FlowLimits(idle_timeout_s, opening_timeout_s, ratio)


@cache
def _create_capacity(slots: int, connections: int) -> Capacity:
    return Capacity(slots, connections)


@cache
def _create_warm_up(cold_openings: float, full_openings: float, duration_s: float) -> WarmUp:
    return WarmUp(cold_openings, full_openings, duration_s)
