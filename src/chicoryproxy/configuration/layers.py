"""The keys that defaults and exceptions can set, and the layers that provide their values."""

from enum import Enum, unique
from functools import cache
from typing import Any

import msgspec
from msgspec import UNSET, Struct

from chicoryproxy.configuration.conversion import get_hints, strip_optional
from chicoryproxy.configuration.notation import parse_value
from chicoryproxy.configuration.quantity import format_duration, format_size
from chicoryproxy.finding import Place
from chicoryproxy.model import Capacity, FleetLimits, FlowLimits, WarmUp
from chicoryproxy.states import DomainState, ReturnPath


@unique
class Scope(Enum):
    """Kind of object that a key applies to."""

    FLEET = "the fleet"
    INSTANCE = "an instance"
    DOMAIN = "a failure domain"
    SERVICE = "a service"
    UPSTREAM = "an upstream"


@unique
class LayerKind(Enum):
    """Source of a value, in ascending order of precedence."""

    BUILT_IN = "built in"
    DEFAULT = "default"
    OWN = "own entry"
    EXCEPTION = "exception"


class Layer(Struct, frozen=True):
    """The source of a value.

    :param place: position in the file; ``None`` for built-in values.
    :param reason: reason of an exception; empty for other layers.
    :param until: last day of an exception in ISO 8601 format; empty if it has none.
    """

    kind: LayerKind
    place: Place | None = None
    reason: str = ""
    until: str = ""

    def __str__(self) -> str:
        if self.place is None:
            return self.kind.value
        reason = f": {self.reason}" if self.reason else ""
        until = f" (until {self.until})" if self.until else ""
        return f"{self.kind.value} at {self.place}{reason}{until}"


class LayeredValue(Struct, frozen=True):
    """A value in base units and the layer that provides it."""

    value: Any
    layer: Layer


LayeredValues = dict[str, LayeredValue]
"""Values by key, such as ``capacity.slots``."""


@unique
class Unit(Enum):
    """Base unit of a value."""

    NONE = "none"
    SECONDS = "seconds"
    BYTES = "bytes"
    SHARE = "share"


class KeyDefinition(Struct, frozen=True):
    """A key that layers can set.

    :param scope: kind of object that the key applies to.
    :param built_in: value in base units if no layer sets the key.
    """

    scope: Scope
    built_in: Any
    unit: Unit = Unit.NONE


_FLEET, _LIMITS, _CAPACITY, _WARM_UP = FleetLimits(), FlowLimits(), Capacity(), WarmUp()

KEYS: dict[str, KeyDefinition] = {
    "state": KeyDefinition(Scope.DOMAIN, DomainState.IN),
    "draining": KeyDefinition(Scope.UPSTREAM, False),
    "return_path": KeyDefinition(Scope.SERVICE, ReturnPath.DIRECT),
    "limits.idle_timeout": KeyDefinition(Scope.SERVICE, _LIMITS.idle_timeout_s, Unit.SECONDS),
    "limits.opening_timeout": KeyDefinition(Scope.SERVICE, _LIMITS.opening_timeout_s, Unit.SECONDS),
    "limits.retry_ratio": KeyDefinition(Scope.SERVICE, _LIMITS.retry_ratio, Unit.SHARE),
    "weight": KeyDefinition(Scope.UPSTREAM, 1),
    "capacity.slots": KeyDefinition(Scope.UPSTREAM, _CAPACITY.slots),
    "capacity.connections": KeyDefinition(Scope.UPSTREAM, _CAPACITY.connections),
    "warm_up.cold_openings": KeyDefinition(Scope.UPSTREAM, _WARM_UP.cold_openings),
    "warm_up.full_openings": KeyDefinition(Scope.UPSTREAM, _WARM_UP.full_openings),
    "warm_up.duration": KeyDefinition(Scope.UPSTREAM, _WARM_UP.duration_s, Unit.SECONDS),
    "fleet.control_rate": KeyDefinition(Scope.INSTANCE, _FLEET.control_bytes_per_s, Unit.BYTES),
    "fleet.flow_table_size": KeyDefinition(Scope.INSTANCE, _FLEET.flow_table_size),
    "fleet.spread": KeyDefinition(Scope.FLEET, _FLEET.spread_s, Unit.SECONDS),
    "fleet.lease": KeyDefinition(Scope.FLEET, _FLEET.lease_s, Unit.SECONDS),
    "fleet.probe_interval": KeyDefinition(Scope.FLEET, _FLEET.probe_interval_s, Unit.SECONDS),
    "fleet.suspicion": KeyDefinition(Scope.FLEET, _FLEET.suspicion_s, Unit.SECONDS),
    "fleet.pause": KeyDefinition(Scope.FLEET, _FLEET.pause_s, Unit.SECONDS),
}
"""All keys of ``defaults`` and of the ``change`` of exceptions."""


def list_values(written: Struct) -> dict[str, Any]:
    """Return the values that a struct sets explicitly, in base units, by key."""
    values: dict[str, Any] = {}
    _collect(written, "", values)
    return values


def list_built_in_values() -> LayeredValues:
    """Return the built-in values of all keys."""
    layer = Layer(LayerKind.BUILT_IN)
    return {name: LayeredValue(key.built_in, layer) for name, key in KEYS.items()}


def format_value(key: str, value: Any) -> str:
    """Format a value in base units as it is written in a configuration file."""
    unit = KEYS[key].unit
    if unit is Unit.SECONDS:
        return format_duration(value)
    if unit is Unit.BYTES:
        return format_size(value)
    if unit is Unit.SHARE:
        return f"{value * 100:g}%"
    if isinstance(value, Enum):
        return str(value.value)
    return str(value).lower() if isinstance(value, bool) else f"{value:g}"


def list_scope_keys(scope: Scope) -> list[str]:
    """Return the names of the keys of a scope."""
    return [name for name, key in KEYS.items() if key.scope is scope]


def _collect(written: Struct, prefix: str, values: dict[str, Any]) -> None:
    for name, hint, nested in _list_fields(type(written), prefix):
        value = getattr(written, name)
        if value is UNSET:
            continue
        if nested:
            _collect(value, f"{prefix}{name}.", values)
        else:
            values[prefix + name] = parse_value(hint, value)


@cache
def _list_fields(kind: type[Struct], prefix: str) -> list[tuple[str, Any, bool]]:
    """Return the name and type hint of each field that is a key or a struct of keys.

    The third element tells whether the field is a struct.
    """
    hints = get_hints(kind)
    fields = []
    for field in msgspec.structs.fields(kind):
        target = strip_optional(hints[field.name])
        nested = isinstance(target, type) and issubclass(target, Struct)
        if nested or prefix + field.name in KEYS:
            fields.append((field.name, hints[field.name], nested))
    return fields
