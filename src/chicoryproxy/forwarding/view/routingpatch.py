"""Patches between versions of the configuration.

A version may have thousands of routes and differ from the previous one in a single route. Entries
therefore send each other patches; an entry whose version is too old gets the whole new one.
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
"""A patch with a larger share of the routes than this saves too little."""

Key = TypeVar("Key")
Value = TypeVar("Value")


class RoutingPatch(Struct, frozen=True, array_like=True):
    """Difference between two versions of the configuration.

    :param base: version that the patch applies to.
    :param version: resulting version.
    :param revision: revision of the store that published the resulting version.
    :param routes: new and changed routes.
    :param removed_routes: keys of removed routes.
    :param services: limits of new and changed services.
    :param removed_services: ids of removed services.
    :param idle_timeout_s: idle timeout of the resulting version.
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
    """Apply a patch to its base version.

    :raises ValueError: if the patch has another base version.
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
    """Patches between the last versions."""

    def __init__(self) -> None:
        self._patches: deque[RoutingPatch] = deque(maxlen=MAX_PATCHES)
        self._size = 0

    def record_version(
        self, base: RoutingVersion | None, routing: RoutingVersion, revision: Revision
    ) -> None:
        """Record a new version.

        :param base: the previous version; ``None`` if there was none.
        """
        self._size = len(routing.routes)
        if base is not None:
            self._patches.append(compare_routings(base, routing, revision))

    def create_patch(self, base: Version) -> RoutingPatch | None:
        """Create the patch from an earlier version to the newest one.

        :returns: ``None`` if the earlier version is too old, or a patch would save too little.
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
    """Merge consecutive patches into one."""
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
