"""Takeover of slots by a new home, which queries its peers for the records of their flows.

Until the peers have answered, packets of flows without a record wait in a bounded queue.
"""

from collections.abc import Callable, Iterable, Sequence

from msgspec import Struct

from chicoryproxy.ids import InstanceId
from chicoryproxy.protocol.actions import SendToPeer
from chicoryproxy.protocol.messages import FlowAnswer, FlowQuery, Priority, SlotName, SlotQuestion
from chicoryproxy.routing.requestnumber import next_request_number
from chicoryproxy.routing.route import PacketContext

ANSWER_TIMEOUT_S = 0.05
QUERY_TIMEOUT_S = 0.6
MAX_WAITING_PACKETS = 4096
MAX_SLOTS_PER_QUERY = 256


class TakeOverCount(Struct, frozen=True):
    """Counters since the start of the process.

    :param rounds: number of queries.
    :param unanswered: number of peers that did not answer a query in time.
    """

    rounds: int
    unanswered: int


class TakeOver:
    """Tracks the slots for which this instance has all flow records.

    The records of a slot are complete when a query about it has finished since this instance
    became its home, or when this instance was already its home as the slot became contested.
    A query finishes when all peers have answered or time out.
    """

    def __init__(self) -> None:
        self._complete: set[SlotName] = set()
        self._query_number = 0
        self._queried: frozenset[SlotName] = frozenset()
        self._pending_peers: set[InstanceId] = set()
        self._answer_deadline_s: float | None = None
        self._query_deadline_s = 0.0
        self._query_message = FlowQuery(0, ())
        self._queued_packets: list[PacketContext] = []
        self._refresh_questions: list[SlotQuestion] = []
        self._query_count = 0
        self._unanswered_count = 0

    def count(self) -> TakeOverCount:
        """Return the counters."""
        return TakeOverCount(self._query_count, self._unanswered_count)

    def mark_complete(self, slots: Iterable[SlotName]) -> None:
        """Mark the records of slots as complete without a query.

        :param slots: slots that this instance was already home of as they became contested.
        """
        self._complete.update(slots)

    def has_all_records(self, slot: SlotName) -> bool:
        """Return whether this instance may decide on flows of a slot that have no record."""
        return slot in self._complete

    def handle_home_change(self, is_home: Callable[[SlotName], bool]) -> None:
        """Discard slots that this instance is no longer home of."""
        self._complete = {slot for slot in self._complete if is_home(slot)}
        self._queried = frozenset(slot for slot in self._queried if is_home(slot))

    def invalidate_all(self) -> None:
        """Require a new query for every slot before a decision on flows without a record."""
        self._complete.clear()
        self._queried = frozenset()

    def is_querying(self, slots: Iterable[SlotName]) -> bool:
        """Return whether the open query is about one of the slots."""
        return self._answer_deadline_s is not None and not self._queried.isdisjoint(slots)

    def invalidate(self, slots: Iterable[SlotName]) -> None:
        """Require a new query for slots that a peer has taken over.

        An open query about them counts no longer, as the peer may decide before it finishes.
        """
        taken = frozenset(slots)
        self._complete -= taken
        self._queried -= taken

    def queue_packet(self, packet: PacketContext) -> bool:
        """Queue a packet until the query about its slot has finished.

        :returns: false if the queue is full.
        """
        if len(self._queued_packets) >= MAX_WAITING_PACKETS:
            return False
        self._queued_packets.append(packet)
        return True

    def request_refresh(self, questions: Iterable[SlotQuestion]) -> None:
        """Include slots in the next queries although no packet waits for them."""
        self._refresh_questions = list(questions)

    def start_query(self, peers: Sequence[InstanceId], now: float) -> list[SendToPeer]:
        """Query the peers about the slots of queued packets unless a query is open."""
        if self._answer_deadline_s is not None:
            return []
        questions = self._collect_questions()
        if not questions:
            return []
        self._query_number = next_request_number(self._query_number, now)
        self._query_count += 1
        self._queried = frozenset(question.slot for question in questions)
        self._pending_peers = set(peers)
        self._answer_deadline_s = now + ANSWER_TIMEOUT_S
        self._query_deadline_s = now + QUERY_TIMEOUT_S
        self._query_message = FlowQuery(self._query_number, tuple(questions))
        return [SendToPeer(peer, self._query_message, Priority.SAFETY) for peer in peers]

    def resend_query(self, responsive_peers: Iterable[InstanceId], now: float) -> list[SendToPeer]:
        """Resend the open query to live peers that have not answered by the answer timeout.

        A decision without their records could contradict them, so that live peers are waited for
        until ``QUERY_TIMEOUT_S``.

        :param responsive_peers: peers that can answer by membership and respond to packets.
        """
        if (
            self._answer_deadline_s is None
            or now < self._answer_deadline_s
            or now >= self._query_deadline_s
        ):
            return []
        late_peers = sorted(self._pending_peers.intersection(responsive_peers))
        if late_peers:
            self._answer_deadline_s = now + ANSWER_TIMEOUT_S
        return [SendToPeer(peer, self._query_message, Priority.SAFETY) for peer in late_peers]

    def receive_answer(self, sender: InstanceId, answer: FlowAnswer) -> None:
        """Mark a peer as having answered; the caller stores the records of the answer."""
        if answer.query == self._query_number:
            self._pending_peers.discard(sender)

    def finish_query(self, now: float) -> Sequence[PacketContext]:
        """Close the open query if every peer has answered or the answer timeout has passed.

        :returns: the queued packets of the slots that were queried.
        """
        if self._answer_deadline_s is None or (
            self._pending_peers and now < self._answer_deadline_s
        ):
            return ()
        self._unanswered_count += len(self._pending_peers)
        self._answer_deadline_s = None
        self._complete |= self._queried
        ready = [packet for packet in self._queued_packets if packet.slot in self._queried]
        self._queued_packets = [
            packet for packet in self._queued_packets if packet.slot not in self._queried
        ]
        return ready

    def _collect_questions(self) -> list[SlotQuestion]:
        questions = {
            packet.slot: SlotQuestion(packet.slot, packet.slots.base_name(packet.slot.slot))
            for packet in self._queued_packets
        }
        while self._refresh_questions and len(questions) < MAX_SLOTS_PER_QUERY:
            question = self._refresh_questions.pop()
            questions.setdefault(question.slot, question)
        return list(questions.values())[:MAX_SLOTS_PER_QUERY]


def create_take_over() -> TakeOver:
    """Create the takeover state of an instance without any complete slot."""
    return TakeOver()
