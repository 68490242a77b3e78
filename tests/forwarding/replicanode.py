"""State of an entry without its network, to test the exchange of changes between entries."""

from chicoryproxy.forwarding.model import Bounds, Change, Revision, RoutingPublished
from chicoryproxy.forwarding.peers.peermessages import decode_message, encode_message
from chicoryproxy.forwarding.view.catchup import CatchUp
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.replica import ROUTING_KEY, Replica


class ReplicaNode:
    """Replica and directory of one entry."""

    def __init__(self):
        self.replica = Replica()
        self.directory = Directory(Bounds())
        self.exchange = CatchUp(self.replica, self.directory)

    def merge_changes(self, changes, revision, since):
        """Merge changes that are complete after one revision and up to another one."""
        is_newer_whole = Revision(since) > self.replica.synced
        for change in changes:
            if self.replica.merge(change, is_newer_whole):
                self.directory.apply(change, 1.0)
        self.replica.advance_synced(Revision(revision), Revision(since))

    def watch(self, changes, revision):
        """Merge the changes of the store since the last ones."""
        self.merge_changes(changes, revision, self.replica.synced)

    def list_store(self, changes, revision):
        """Merge a listing of the store at a revision."""
        removals = self.replica.infer_removals(changes, Revision(revision))
        self.merge_changes([*changes, *removals], revision, revision)

    def publish(self, routing, revision):
        """Merge a version as read from the store."""
        change = Change(ROUTING_KEY, Revision(revision), RoutingPublished(routing))
        self.watch([change], revision)

    def create_request(self):
        """Create a request as its receiver decodes it."""
        return decode_message(encode_message(self.exchange.create_request()))

    def handle_reply(self, request, data):
        """Merge an encoded reply to a request."""
        reply = decode_message(data)
        changes = self.exchange.restore_changes(request, reply)
        self.merge_changes(changes, reply.synced, reply.since)

    def fetch_changes(self, other):
        """Fetch changes from another entry in encoded form; return the reply size in bytes."""
        request = self.create_request()
        data = encode_message(other.exchange.create_reply(request, 0.0))
        self.handle_reply(request, data)
        return len(data)
