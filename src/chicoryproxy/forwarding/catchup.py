"""What an entry asks a peer that knows more, and what the peer answers."""

from chicoryproxy.forwarding.directory import Directory
from chicoryproxy.forwarding.model import Change, RoutingPublished
from chicoryproxy.forwarding.peermessages import ChangesReply, ChangesRequest
from chicoryproxy.forwarding.replica import ROUTING_KEY, Replica
from chicoryproxy.forwarding.routingpatch import apply_patch


class CatchUp:
    """Creates requests and replies of changes.

    :param replica: all changes that this entry knows.
    :param directory: has the configuration in force.
    """

    def __init__(self, replica: Replica, directory: Directory) -> None:
        self._replica = replica
        self._directory = directory

    def create_request(self) -> ChangesRequest:
        """Create the request for what this entry does not know."""
        return ChangesRequest(self._replica.synced, self._directory.version)

    def create_reply(self, request: ChangesRequest, age_s: float) -> ChangesReply:
        """Create the answer; a version goes out as a patch where the peer has its base.

        :param age_s: age of this entry's view as peers are told.
        """
        changes = self._replica.get_since(request.since)
        patch = None
        if any(self._publishes_current_version(change) for change in changes):
            patch = self._directory.history.create_patch(request.version)
        if patch is not None:
            changes = [change for change in changes if not self._publishes_current_version(change)]
        return ChangesReply(tuple(changes), self._replica.synced, age_s, patch)

    def restore_changes(self, reply: ChangesReply) -> list[Change]:
        """Return the changes of a reply, with a patched version whole again.

        :raises ValueError: if its patch is for another version than the one in force.
        """
        changes = list(reply.changes)
        patch, routing = reply.patch, self._directory.routing
        if patch is None:
            return changes
        if routing is None:
            raise ValueError(f"a patch of version {patch.base}, but no version is in force")
        whole = RoutingPublished(apply_patch(routing, patch))
        changes.append(Change(ROUTING_KEY, patch.revision, whole))
        return changes

    def _publishes_current_version(self, change: Change) -> bool:
        """Tell whether a change published the version in force."""
        fact = change.fact
        return (
            isinstance(fact, RoutingPublished) and fact.routing.version == self._directory.version
        )
