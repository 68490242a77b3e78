"""Batched delivery of flow records to peers."""

from itertools import islice

from chicoryproxy.ids import FlowKey, InstanceId
from chicoryproxy.protocol.actions import SendToPeer
from chicoryproxy.protocol.budget import ControlBudget
from chicoryproxy.protocol.messages import FlowHints, FlowRecord, Priority

RECORD_BYTES = 30
MESSAGE_OVERHEAD_BYTES = 80
MAX_RECORDS_PER_MESSAGE = 36
MAX_QUEUED_RECORDS = 2000
HINT_INTERVAL_S = 0.1
KEEPALIVE_INTERVAL_S = 0.25

_QueuedRecords = dict[InstanceId, dict[FlowKey, FlowRecord]]


class HintBatches:
    """Queues records by peer and sends them in batches.

    Records for a successor are sent at the next tick. Records for the entry that passed a packet
    are delayed by up to ``HINT_INTERVAL_S`` to fill a batch, since a message's overhead exceeds
    the size of a record, and longer while the budget is exhausted. Beyond ``MAX_QUEUED_RECORDS``
    they are omitted; the packets of such flows then continue to take the extra hop through the
    home. A peer that passed packets and is sent no records gets periodic empty messages, so that
    it does not consider this instance unresponsive.

    :param budget: control budget of the entry.
    :ivar omitted_count: number of omitted records.
    """

    def __init__(self, budget: ControlBudget) -> None:
        self.omitted_count = 0
        self._budget = budget
        self._queued: dict[Priority, _QueuedRecords] = {Priority.HANDOVER: {}, Priority.HINT: {}}
        self._next_hint_s = 0.0
        self._passing_peers: set[InstanceId] = set()
        self._last_sent_s: dict[InstanceId, float] = {}

    def record_pass(self, peer: InstanceId) -> None:
        """Record that a peer passed a packet to this instance."""
        self._passing_peers.add(peer)

    def add(self, peer: InstanceId, record: FlowRecord, priority: Priority) -> None:
        """Queue a record for a peer."""
        records = self._queued[priority].setdefault(peer, {})
        if priority is Priority.HINT and len(records) >= MAX_QUEUED_RECORDS:
            self.omitted_count += 1
            return
        records[record.flow] = record

    def flush(self, now: float) -> list[SendToPeer]:
        """Return the messages that are due and within the budget."""
        actions = self._flush_all(Priority.HANDOVER, now)
        if now >= self._next_hint_s:
            self._next_hint_s = now + HINT_INTERVAL_S
            actions += self._flush_all(Priority.HINT, now)
        return actions + self._send_keepalives({action.instance for action in actions}, now)

    def _flush_all(self, priority: Priority, now: float) -> list[SendToPeer]:
        actions = []
        queued = self._queued[priority]
        for peer in list(queued):
            actions += self._flush_peer(peer, queued[peer], priority, now)
            if not queued[peer]:
                del queued[peer]
        return actions

    def _flush_peer(
        self,
        peer: InstanceId,
        records: dict[FlowKey, FlowRecord],
        priority: Priority,
        now: float,
    ) -> list[SendToPeer]:
        actions = []
        while records:
            batch = tuple(islice(records.values(), MAX_RECORDS_PER_MESSAGE))
            size = MESSAGE_OVERHEAD_BYTES + RECORD_BYTES * len(batch)
            if not self._budget.allow(priority, size, now):
                break
            for record in batch:
                del records[record.flow]
            actions.append(SendToPeer(peer, FlowHints(batch), priority))
        return actions

    def _send_keepalives(self, reached: set[InstanceId], now: float) -> list[SendToPeer]:
        self._last_sent_s.update(dict.fromkeys(reached, now))
        due = sorted(
            peer for peer in self._passing_peers - reached if self._is_keepalive_due(peer, now)
        )
        self._passing_peers.difference_update(due, reached)
        self._last_sent_s.update(dict.fromkeys(due, now))
        return [SendToPeer(peer, FlowHints(()), Priority.SAFETY) for peer in due]

    def _is_keepalive_due(self, peer: InstanceId, now: float) -> bool:
        return now - self._last_sent_s.get(peer, now - KEEPALIVE_INTERVAL_S) >= KEEPALIVE_INTERVAL_S
