"""Batches of flow records on their way to peers."""

from chicoryproxy.actions import SendToPeer
from chicoryproxy.budget import ControlBudget
from chicoryproxy.ids import InstanceId
from chicoryproxy.messages import FlowHints, FlowRecord, Priority

RECORD_BYTES = 30
ENVELOPE_BYTES = 80
MAX_RECORDS_PER_MESSAGE = 36
MAX_RECORDS_WAITING = 10_000
SIGN_INTERVAL_S = 0.25


class HintBatches:
    """Collects records for each peer and sends them together at the next tick.

    Records for the successor go before records for the entry that passed a packet: without the
    latter packets only keep taking the hop. A peer that passed packets and gets no records for
    them gets an empty message now and then, as a sign that its home is there.

    :param budget: control budget of the instance.
    :ivar left_out: records that the budget did not allow.
    """

    def __init__(self, budget: ControlBudget) -> None:
        self.left_out = 0
        self._budget = budget
        self._waiting: dict[Priority, dict[InstanceId, list[FlowRecord]]] = {
            Priority.HANDOVER: {},
            Priority.HINT: {},
        }
        self._passers: set[InstanceId] = set()
        self._sign_sent_s: dict[InstanceId, float] = {}

    def note_pass(self, peer: InstanceId) -> None:
        """Note a peer that passed a packet."""
        self._passers.add(peer)

    def add(self, peer: InstanceId, record: FlowRecord, priority: Priority) -> None:
        """Add a record for a peer."""
        records = self._waiting[priority].setdefault(peer, [])
        if len(records) >= MAX_RECORDS_WAITING:
            self.left_out += 1
            return
        records.append(record)

    def flush(self, now: float) -> list[SendToPeer]:
        """Return the messages that the budget allows now."""
        actions = []
        for priority in (Priority.HANDOVER, Priority.HINT):
            waiting = self._waiting[priority]
            self._waiting[priority] = {}
            for peer, records in waiting.items():
                actions += self._flush_peer(peer, records, priority, now)
        return actions + self._give_signs({action.instance for action in actions}, now)

    def _give_signs(self, reached: set[InstanceId], now: float) -> list[SendToPeer]:
        unreached = self._passers - reached
        self._passers.clear()
        self._sign_sent_s.update(dict.fromkeys(reached, now))
        due = sorted(peer for peer in unreached if self._is_sign_due(peer, now))
        self._sign_sent_s.update(dict.fromkeys(due, now))
        return [SendToPeer(peer, FlowHints(()), Priority.SAFETY) for peer in due]

    def _is_sign_due(self, peer: InstanceId, now: float) -> bool:
        return now - self._sign_sent_s.get(peer, now - SIGN_INTERVAL_S) >= SIGN_INTERVAL_S

    def _flush_peer(
        self, peer: InstanceId, records: list[FlowRecord], priority: Priority, now: float
    ) -> list[SendToPeer]:
        actions = []
        for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
            batch = tuple(records[start : start + MAX_RECORDS_PER_MESSAGE])
            size = ENVELOPE_BYTES + RECORD_BYTES * len(batch)
            if self._budget.allow(priority, size, now):
                actions.append(SendToPeer(peer, FlowHints(batch), priority))
            elif priority is Priority.HANDOVER:
                self._keep(peer, batch)
            else:
                self.left_out += len(batch)
        return actions

    def _keep(self, peer: InstanceId, batch: tuple[FlowRecord, ...]) -> None:
        self._waiting[Priority.HANDOVER].setdefault(peer, []).extend(batch)
