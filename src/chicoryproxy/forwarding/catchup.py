"""Requests and replies by which an entry fetches missed changes from a peer."""

from chicoryproxy.forwarding.directory import Directory
from chicoryproxy.forwarding.model import Change, RoutingPublished
from chicoryproxy.forwarding.peermessages import ChangesReply, ChangesRequest
from chicoryproxy.forwarding.replica import ROUTING_KEY, Replica
from chicoryproxy.forwarding.routingpatch import apply_patch


class CatchUp:
    """Creates the requests and replies, and decodes the replies.

    :param replica: all changes that this entry knows.
    :param directory: holds the current configuration.
    """

    def __init__(self, replica: Replica, directory: Directory) -> None:
        self._replica = replica
        self._directory = directory

    def create_request(self) -> ChangesRequest:
        """Create the request for the changes that this entry lacks."""
        return ChangesRequest(self._replica.synced, self._directory.version)

    def create_reply(self, request: ChangesRequest, age_s: float) -> ChangesReply:
        """Create the reply; the current version is sent as a patch if the peer has its base.

        :param age_s: age of this entry's view as reported to peers.
        """
        changes = self._replica.get_since(request.since)
        patch = None
        if any(self._publishes_current_version(change) for change in changes):
            patch = self._directory.history.create_patch(request.version)
        if patch is not None:
            changes = [change for change in changes if not self._publishes_current_version(change)]
        return ChangesReply(tuple(changes), self._replica.synced, age_s, patch)

    def restore_changes(self, reply: ChangesReply) -> list[Change]:
        """Return the changes of a reply, with its patch expanded to the full version.

        :raises ValueError: if the patch is not based on the current version.
        """
        changes = list(reply.changes)
        patch, routing = reply.patch, self._directory.routing
        if patch is None:
            return changes
        if routing is None:
            raise ValueError(
                f"received a patch of version {patch.base}, but there is no current version"
            )
        whole = RoutingPublished(apply_patch(routing, patch))
        changes.append(Change(ROUTING_KEY, patch.revision, whole))
        return changes

    def _publishes_current_version(self, change: Change) -> bool:
        """Return whether a change published the current version."""
        fact = change.fact
        return (
            isinstance(fact, RoutingPublished) and fact.routing.version == self._directory.version
        )
