"""Registrations of services that no version of the configuration has named.

They may be another writer's and name no upstream to use. A later version may name the service, and
then they count.
"""

from collections.abc import Iterable

from chicoryproxy.forwarding.model import Revision, UpstreamEntry
from chicoryproxy.ids import ServiceId, UpstreamId


class UnnamedServices:
    """The services that were named so far, and the registrations that wait for the others."""

    def __init__(self) -> None:
        self._named: set[ServiceId] = set()
        self._waiting: dict[UpstreamId, tuple[UpstreamEntry, Revision]] = {}

    def is_named(self, service: ServiceId) -> bool:
        """Return whether a version has named a service."""
        return service in self._named

    def hold(self, entry: UpstreamEntry, revision: Revision) -> None:
        """Keep a registration until its service is named."""
        self._waiting[entry.id] = (entry, revision)

    def discard(self, upstream: UpstreamId) -> None:
        """Forget the registration of an upstream that waits, since it was written or removed."""
        self._waiting.pop(upstream, None)

    def pop_named(self, services: Iterable[ServiceId]) -> list[tuple[UpstreamEntry, Revision]]:
        """Record that a version names services; return the registrations that waited for them."""
        self._named.update(services)
        named = [item for item in self._waiting.values() if item[0].service in self._named]
        for entry, _ in named:
            del self._waiting[entry.id]
        return named
