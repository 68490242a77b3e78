"""Requests and replies by which an entry fetches missed changes from a peer."""

from msgspec import structs

from chicoryproxy.forwarding.model import NO_REVISION, Change, RoutingPublished
from chicoryproxy.forwarding.peers.peermessages import ChangesReply, ChangesRequest
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.replica import ROUTING_KEY, Replica
from chicoryproxy.forwarding.view.routingpatch import RoutingPatch, apply_patch
from chicoryproxy.ids import NO_VERSION, Version


class CatchUp:
    """Creates the requests and replies, and decodes the replies.

    :param replica: all changes that this entry knows.
    :param directory: holds the current configuration.
    """

    def __init__(self, replica: Replica, directory: Directory) -> None:
        self._replica = replica
        self._directory = directory

    def get_version(self) -> Version:
        """Return the newest configuration that this entry can pass on."""
        return NO_VERSION if self._find_published() is None else self._directory.version

    def create_request(self) -> ChangesRequest:
        """Create the request for the changes that this entry lacks."""
        return ChangesRequest(self._replica.synced, self._directory.version)

    def create_reply(self, request: ChangesRequest, age_s: float) -> ChangesReply:
        """Create the reply; the current version is sent as a patch if the peer has its base.

        A peer that is further behind than the removals known here gets all keys. One with an older
        version gets the current one, also if it has passed over the revision that published it.

        :param age_s: age of this entry's view as reported to peers.
        """
        since = request.since
        if since >= self._replica.complete_since:
            changes = self._list_lacking(request)
        else:
            since = self._replica.complete_since
            changes = self._replica.get_since(NO_REVISION)
        published = self._find_published()
        patch = None
        if published is not None and published in changes:
            patch = self._directory.history.create_patch(request.version)
        if patch is not None and published is not None:
            changes.remove(published)
            # The version may have been published again since the patch was recorded.
            patch = structs.replace(patch, revision=published.revision)
        return ChangesReply(tuple(changes), self._replica.synced, age_s, patch, since)

    def restore_changes(self, request: ChangesRequest, reply: ChangesReply) -> list[Change]:
        """Return the changes of a reply, with its patch expanded to the full version.

        If the reply holds all keys, the removals of those that are absent are added.

        :raises ValueError: if the patch is not based on the current version.
        """
        changes = list(reply.changes)
        if reply.patch is not None:
            changes.append(self._restore_version(reply.patch))
        if reply.since > request.since:
            changes.extend(self._replica.infer_removals(changes, reply.synced))
        return changes

    def _restore_version(self, patch: RoutingPatch) -> Change:
        """Return the version that results from a patch of the current one.

        :raises ValueError: if the patch is not based on the current version.
        """
        routing = self._directory.routing
        if routing is None:
            raise ValueError(
                f"received a patch of version {patch.base}, but there is no current version"
            )
        whole = RoutingPublished(apply_patch(routing, patch))
        return Change(ROUTING_KEY, patch.revision, whole)

    def _list_lacking(self, request: ChangesRequest) -> list[Change]:
        """Return the changes after a peer's revision, and the version if it lacks that."""
        changes = self._replica.get_since(request.since)
        published = self._find_published()
        has_passed_over = request.version < self._directory.version and published not in changes
        return [published, *changes] if published is not None and has_passed_over else changes

    def _find_published(self) -> Change | None:
        """Return the change that published the current version, if no later one followed it."""
        change = self._replica.find(ROUTING_KEY)
        if change is None or not isinstance(change.fact, RoutingPublished):
            return None
        return change if change.fact.routing.version == self._directory.version else None
