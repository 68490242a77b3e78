"""Owners of the upstreams of one failure domain, updated incrementally.

Yields the same owners as ``rendezvous.choose_owner``. A new member takes only one score
computation per upstream, and the loss of a member a new choice only for the upstreams it owned.
"""

from collections.abc import Collection, Iterable

from chicoryproxy.ids import InstanceId, UpstreamId
from chicoryproxy.model import Instance
from chicoryproxy.rendezvous import choose_owner, score


class OwnerMap:
    """Maps each upstream to its owner among the live members of its domain."""

    def __init__(self) -> None:
        self._members: dict[InstanceId, Instance] = {}
        self._owners: dict[UpstreamId, InstanceId | None] = {}

    def update(self, upstreams: Collection[UpstreamId], members: Iterable[Instance]) -> None:
        """Set the upstreams and the live members of the domain."""
        wanted = {member.id: member for member in members}
        gone = self._members.keys() - wanted.keys()
        added = wanted.keys() - self._members.keys()
        self._members = wanted
        kept = self._owners.keys() & set(upstreams)
        self._owners = {
            upstream: (
                self._update_owner(upstream, gone, added)
                if upstream in kept
                else self._choose_owner(upstream)
            )
            for upstream in upstreams
        }

    def list_owned(self, instance: InstanceId) -> list[UpstreamId]:
        """Return the upstreams owned by an instance."""
        return [upstream for upstream, owner in self._owners.items() if owner == instance]

    def get_owner(self, upstream: UpstreamId) -> InstanceId | None:
        """Return the owner of an upstream, or ``None`` if its domain has no live member."""
        return self._owners.get(upstream)

    def _update_owner(
        self, upstream: UpstreamId, gone: Collection[InstanceId], added: Iterable[InstanceId]
    ) -> InstanceId | None:
        owner = self._owners[upstream]
        if owner is None or owner in gone:
            return self._choose_owner(upstream)
        key = f"owner/{upstream}"
        return max((owner, *added), key=lambda candidate: (score(key, candidate), candidate))

    def _choose_owner(self, upstream: UpstreamId) -> InstanceId | None:
        return choose_owner(upstream, self._members.values())
