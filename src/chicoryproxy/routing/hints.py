"""Batches of flow records on their way to peers."""

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
    """Collects records for each peer and sends them together.

    Records for a successor leave at the next tick. Records for the entry that passed a packet
    wait a little for more of them, as the envelope costs more than a record, and longer when the
    budget is used up; beyond ``MAX_QUEUED_RECORDS`` they are left out, and packets only keep
    taking the hop. A peer that passed packets and gets no records for them gets an empty message
    now and then, as a sign that its home is there.

    :param budget: control budget of the entry.
    :ivar omitted_count: records that were left out.
    """

    def __init__(self, budget: ControlBudget) -> None:
        self.omitted_count = 0
        self._budget = budget
        self._queued: dict[Priority, _QueuedRecords] = {Priority.HANDOVER: {}, Priority.HINT: {}}
        self._next_hint_s = 0.0
        self._passing_peers: set[InstanceId] = set()
        self._last_sent_s: dict[InstanceId, float] = {}

    def record_pass(self, peer: InstanceId) -> None:
        """Note a peer that passed a packet."""
        self._passing_peers.add(peer)

    def add(self, peer: InstanceId, record: FlowRecord, priority: Priority) -> None:
        """Add a record for a peer."""
        records = self._queued[priority].setdefault(peer, {})
        if priority is Priority.HINT and len(records) >= MAX_QUEUED_RECORDS:
            self.omitted_count += 1
            return
        records[record.flow] = record

    def flush(self, now: float) -> list[SendToPeer]:
        """Return the messages that are due and that the budget allows now."""
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
