"""Batches of flow records on their way to peers."""

from itertools import islice

from chicoryproxy.ids import FlowKey, InstanceId
from chicoryproxy.protocol.actions import SendToPeer
from chicoryproxy.protocol.budget import ControlBudget
from chicoryproxy.protocol.messages import FlowHints, FlowRecord, Priority

RECORD_BYTES = 30
ENVELOPE_BYTES = 80
MAX_RECORDS_PER_MESSAGE = 36
MAX_RECORDS_WAITING = 2000
HINT_INTERVAL_S = 0.1
SIGN_INTERVAL_S = 0.25

_Waiting = dict[InstanceId, dict[FlowKey, FlowRecord]]


class HintBatches:
    """Collects records for each peer and sends them together.

    Records for a successor leave at the next tick. Records for the entry that passed a packet
    wait a little for more of them, as the envelope costs more than a record, and longer when the
    budget is used up; beyond ``MAX_RECORDS_WAITING`` they are left out, and packets only keep
    taking the hop. A peer that passed packets and gets no records for them gets an empty message
    now and then, as a sign that its home is there.

    :param budget: control budget of the entry.
    :ivar left_out: records that were left out.
    """

    def __init__(self, budget: ControlBudget) -> None:
        self.left_out = 0
        self._budget = budget
        self._waiting: dict[Priority, _Waiting] = {Priority.HANDOVER: {}, Priority.HINT: {}}
        self._next_hint_s = 0.0
        self._passers: set[InstanceId] = set()
        self._sign_sent_s: dict[InstanceId, float] = {}

    def note_pass(self, peer: InstanceId) -> None:
        """Note a peer that passed a packet."""
        self._passers.add(peer)

    def add(self, peer: InstanceId, record: FlowRecord, priority: Priority) -> None:
        """Add a record for a peer."""
        records = self._waiting[priority].setdefault(peer, {})
        if priority is Priority.HINT and len(records) >= MAX_RECORDS_WAITING:
            self.left_out += 1
            return
        records[record.flow] = record

    def flush(self, now: float) -> list[SendToPeer]:
        """Return the messages that are due and that the budget allows now."""
        actions = self._flush_all(Priority.HANDOVER, now)
        if now >= self._next_hint_s:
            self._next_hint_s = now + HINT_INTERVAL_S
            actions += self._flush_all(Priority.HINT, now)
        return actions + self._give_signs({action.instance for action in actions}, now)

    def _flush_all(self, priority: Priority, now: float) -> list[SendToPeer]:
        actions = []
        waiting = self._waiting[priority]
        for peer in list(waiting):
            actions += self._flush_peer(peer, waiting[peer], priority, now)
            if not waiting[peer]:
                del waiting[peer]
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
            size = ENVELOPE_BYTES + RECORD_BYTES * len(batch)
            if not self._budget.allow(priority, size, now):
                break
            for record in batch:
                del records[record.flow]
            actions.append(SendToPeer(peer, FlowHints(batch), priority))
        return actions

    def _give_signs(self, reached: set[InstanceId], now: float) -> list[SendToPeer]:
        self._sign_sent_s.update(dict.fromkeys(reached, now))
        due = sorted(peer for peer in self._passers - reached if self._is_sign_due(peer, now))
        self._passers.difference_update(due, reached)
        self._sign_sent_s.update(dict.fromkeys(due, now))
        return [SendToPeer(peer, FlowHints(()), Priority.SAFETY) for peer in due]

    def _is_sign_due(self, peer: InstanceId, now: float) -> bool:
        return now - self._sign_sent_s.get(peer, now - SIGN_INTERVAL_S) >= SIGN_INTERVAL_S
