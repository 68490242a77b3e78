"""Differences between versions of the configuration.

A version may hold thousands of routes and differ from the one before in a single one. Entries pass
on what has changed; whoever has a version that is too old gets the whole one.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import TypeVar

from msgspec import Struct

from chicoryproxy.forwarding.model import (
    Revision,
    Route,
    RouteKey,
    RoutingVersion,
    ServiceLimits,
)
from chicoryproxy.ids import ServiceId, Version

MAX_PATCHES = 32
MAX_PATCH_SHARE = 0.5
"""A patch with more of the routes than this saves little."""

Key = TypeVar("Key")
Value = TypeVar("Value")


class RoutingPatch(Struct, frozen=True, array_like=True):
    """Turns one version of the configuration into a later one.

    :param base: version to apply it to.
    :param version: version that it leads to.
    :param revision: of the store, that published that version.
    :param routes: new and changed ones.
    :param removed_routes: routes that are no longer there.
    :param services: new and changed ones.
    :param removed_services: services that are no longer there.
    :param idle_timeout_s: as in the version.
    """

    base: Version
    version: Version
    revision: Revision
    routes: tuple[Route, ...]
    removed_routes: tuple[RouteKey, ...]
    services: tuple[ServiceLimits, ...]
    removed_services: tuple[ServiceId, ...]
    idle_timeout_s: float


def compare_routings(
    base: RoutingVersion, routing: RoutingVersion, revision: Revision
) -> RoutingPatch:
    """Create the patch from one version to a later one."""
    old_routes, new_routes = _index_routes(base.routes), _index_routes(routing.routes)
    old_services = _index_services(base.services)
    new_services = _index_services(routing.services)
    return RoutingPatch(
        base.version,
        routing.version,
        revision,
        _list_changed(old_routes, new_routes),
        _list_missing(old_routes, new_routes),
        _list_changed(old_services, new_services),
        _list_missing(old_services, new_services),
        routing.idle_timeout_s,
    )


def apply_patch(base: RoutingVersion, patch: RoutingPatch) -> RoutingVersion:
    """Create the version that a patch leads to.

    :raises ValueError: if the patch is for another version.
    """
    if base.version != patch.base:
        raise ValueError(f"a patch of version {patch.base} does not fit version {base.version}")
    routes = _index_routes(base.routes) | _index_routes(patch.routes)
    for key in patch.removed_routes:
        routes.pop(key, None)
    services = _index_services(base.services) | _index_services(patch.services)
    for service in patch.removed_services:
        services.pop(service, None)
    return RoutingVersion(
        patch.version, tuple(routes.values()), tuple(services.values()), patch.idle_timeout_s
    )


class RoutingHistory:
    """Patches from the last versions to the newest one."""

    def __init__(self) -> None:
        self._patches: deque[RoutingPatch] = deque(maxlen=MAX_PATCHES)
        self._size = 0

    def record_version(
        self, base: RoutingVersion | None, routing: RoutingVersion, revision: Revision
    ) -> None:
        """Note that a version follows another one.

        :param base: the version in force before; ``None`` if there was none.
        """
        self._size = len(routing.routes)
        if base is not None:
            self._patches.append(compare_routings(base, routing, revision))

    def create_patch(self, base: Version) -> RoutingPatch | None:
        """Create the patch from an earlier version to the newest one.

        :returns: ``None`` if the version is too old, or the whole one is about as small.
        """
        patches = list(self._patches)
        while patches and patches[0].base != base:
            del patches[0]
        if not patches:
            return None
        if sum(len(item.routes) for item in patches) > self._size * MAX_PATCH_SHARE:
            return None
        return _merge_patches(patches)


def _merge_patches(patches: list[RoutingPatch]) -> RoutingPatch:
    """Create one patch from several that follow each other."""
    last = patches[-1]
    routes: dict[RouteKey, Route] = {}
    removed_routes: set[RouteKey] = set()
    services: dict[ServiceId, ServiceLimits] = {}
    removed_services: set[ServiceId] = set()
    for patch in patches:
        _merge_into(routes, removed_routes, _index_routes(patch.routes), patch.removed_routes)
        _merge_into(
            services, removed_services, _index_services(patch.services), patch.removed_services
        )
    return RoutingPatch(
        patches[0].base,
        last.version,
        last.revision,
        tuple(routes.values()),
        tuple(sorted(removed_routes, key=lambda key: (key.host, key.port))),
        tuple(services.values()),
        tuple(sorted(removed_services)),
        last.idle_timeout_s,
    )


def _merge_into(
    values: dict[Key, Value],
    removed: set[Key],
    later: dict[Key, Value],
    later_removed: tuple[Key, ...],
) -> None:
    values.update(later)
    removed.difference_update(later)
    for key in later_removed:
        values.pop(key, None)
        removed.add(key)


def _index_routes(routes: Iterable[Route]) -> dict[RouteKey, Route]:
    return {route.key: route for route in routes}


def _index_services(services: Iterable[ServiceLimits]) -> dict[ServiceId, ServiceLimits]:
    return {limits.service: limits for limits in services}


def _list_changed(old: Mapping[Key, Value], new: Mapping[Key, Value]) -> tuple[Value, ...]:
    return tuple(value for key, value in new.items() if old.get(key) != value)


def _list_missing(old: Mapping[Key, Value], new: Mapping[Key, Value]) -> tuple[Key, ...]:
    return tuple(key for key in old if key not in new)
