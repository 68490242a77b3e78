"""Collects the actions of the control core and attaches gossip to probe messages."""

from collections.abc import Callable

from chicoryproxy.control.gossipqueue import GossipQueue, compute_transmit_limit
from chicoryproxy.ids import NO_VERSION, InstanceId, UpstreamId, Version
from chicoryproxy.model import UpstreamCondition
from chicoryproxy.protocol.actions import ControlAction, LogControl, SendToView
from chicoryproxy.protocol.budget import ControlBudget
from chicoryproxy.protocol.messages import (
    Ack,
    Gossip,
    MemberUpdate,
    Ping,
    PingRequest,
    Priority,
    VersionBody,
    VersionFetch,
    ViewMessage,
)
from chicoryproxy.protocol.sizes import (
    MESSAGE_OVERHEAD_BYTES,
    estimate_condition_bytes,
    estimate_member_bytes,
    estimate_message_bytes,
)

MAX_MESSAGE_BYTES = 1200
PROBE_BASE_BYTES = MESSAGE_OVERHEAD_BYTES + 80
"""Size of a probe message without gossip, with room for the subject and one more update."""


class Outbox:
    """Collects the actions of one call of the control core.

    :param budget: control budget of the view.

    ``members`` and ``conditions`` hold the updates to gossip. ``build_target_update`` returns the
    update on the target of a message, if the target has to know it.
    """

    def __init__(self, budget: ControlBudget) -> None:
        self._budget = budget
        self._actions: list[ControlAction] = []
        self._now = 0.0
        self._group_size = 1
        self._bulk_bytes = 0
        self.version: Version = NO_VERSION
        self.members: GossipQueue[InstanceId, MemberUpdate] = GossipQueue(estimate_member_bytes)
        self.conditions: GossipQueue[UpstreamId, UpstreamCondition] = GossipQueue(
            estimate_condition_bytes
        )
        self.build_target_update: Callable[[InstanceId], MemberUpdate | None] = lambda _: None

    @property
    def bulk_bytes(self) -> int:
        """Estimated size of the configurations sent outside the budget, in bytes."""
        return self._bulk_bytes

    def begin(self, now: float, group_size: int) -> None:
        """Start collecting the actions of one call.

        :param group_size: number of instances that gossip has to reach.
        """
        self._now = now
        self._group_size = group_size

    def drain(self) -> list[ControlAction]:
        """Return and clear the collected actions."""
        actions = self._actions
        self._actions = []
        return actions

    def add(self, action: ControlAction) -> None:
        """Add an action that isn't a message."""
        self._actions.append(action)

    def log(self, part: str, text: str, subject: str = "") -> None:
        """Add a log line."""
        self.add(LogControl(part, text, subject))

    def send_ping(self, target: InstanceId, number: int) -> None:
        """Send a probe."""
        self._send(target, Ping(number, self._build_gossip(target)), Priority.MEMBERSHIP)

    def send_ack(self, target: InstanceId, number: int, subject: InstanceId) -> None:
        """Acknowledge a probe of ``subject``."""
        self._send(target, Ack(number, subject, self._build_gossip(target)), Priority.MEMBERSHIP)

    def send_ping_request(self, target: InstanceId, number: int, subject: InstanceId) -> None:
        """Ask a peer to probe ``subject``."""
        message = PingRequest(number, subject, self._build_gossip(target))
        self._send(target, message, Priority.MEMBERSHIP)

    def send_members(
        self, target: InstanceId, number: int, members: tuple[MemberUpdate, ...]
    ) -> None:
        """Send a probe that carries the given updates instead of queued ones."""
        self._send(target, Ping(number, Gossip(self.version, members)), Priority.MEMBERSHIP)

    def try_send_members(
        self, target: InstanceId, number: int, members: tuple[MemberUpdate, ...]
    ) -> bool:
        """Like ``send_members``, but only if the budget allows it.

        :returns: false if the message was not sent.
        """
        message = Ping(number, Gossip(self.version, members))
        if not self._budget.allow(Priority.HANDOVER, estimate_message_bytes(message), self._now):
            return False
        self.add(SendToView(target, message, Priority.HANDOVER))
        return True

    def send_fetch(self, target: InstanceId, have: Version) -> None:
        """Request the configuration and generations of a peer."""
        self._send(target, VersionFetch(have), Priority.SAFETY)

    def send_body(self, target: InstanceId, body: VersionBody, size: int) -> None:
        """Send a configuration, which counts as bulk data outside the budget.

        :param size: estimated size of the body in bytes, computed once by the caller for all peers.
        """
        self._bulk_bytes += size
        self.add(SendToView(target, body, Priority.SAFETY))

    def _send(self, target: InstanceId, message: ViewMessage, priority: Priority) -> None:
        self._budget.charge(priority, estimate_message_bytes(message), self._now)
        self.add(SendToView(target, message, priority))

    def _build_gossip(self, target: InstanceId) -> Gossip:
        available = self._budget.get_available_bytes(Priority.MEMBERSHIP, self._now)
        room = min(MAX_MESSAGE_BYTES, available) - PROBE_BASE_BYTES
        max_sends = compute_transmit_limit(self._group_size)
        conditions = self.conditions.next_batch(room, max_sends)
        room -= sum(map(estimate_condition_bytes, conditions))
        members = self.members.next_batch(room, max_sends)
        target_update = self.build_target_update(target)
        if target_update is not None and all(update.instance != target for update in members):
            members = (target_update, *members)
        return Gossip(self.version, members, conditions)
