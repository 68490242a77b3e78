"""Questions of a new home to its peers about the flows of its slots.

Until the peers have answered, packets of flows that the home does not know wait in a bounded
queue.
"""

from collections.abc import Callable, Iterable, Sequence

from msgspec import Struct

from chicoryproxy.ids import InstanceId
from chicoryproxy.protocol.actions import SendToPeer
from chicoryproxy.protocol.messages import FlowAnswer, FlowQuery, Priority, SlotName, SlotQuestion
from chicoryproxy.routing.route import PacketAtHand

WAIT_S = 0.05
PATIENCE_S = 0.6
MAX_WAITING_PACKETS = 4096
MAX_SLOTS_PER_QUERY = 256


class TakeOverCount(Struct, frozen=True):
    """Counters since the start.

    :param rounds: questions asked.
    :param unanswered: peers that did not answer in time.
    """

    rounds: int
    unanswered: int


class TakeOver:
    """Keeps for which slots this instance knows all records.

    A slot is trusted when all peers answered a question about it since this instance became its
    home, or when this instance was its home already as the slot became contested.
    """

    def __init__(self) -> None:
        self._trusted: set[SlotName] = set()
        self._query = 0
        self._asked: frozenset[SlotName] = frozenset()
        self._missing: set[InstanceId] = set()
        self._deadline_s: float | None = None
        self._patience_until_s = 0.0
        self._message = FlowQuery(0, ())
        self._waiting: list[PacketAtHand] = []
        self._refresh: list[SlotQuestion] = []
        self._rounds = 0
        self._unanswered = 0

    def count(self) -> TakeOverCount:
        """Return the counters."""
        return TakeOverCount(self._rounds, self._unanswered)

    def trust(self, slots: Iterable[SlotName]) -> None:
        """Note slots that this instance was home of as they became contested."""
        self._trusted.update(slots)

    def has_all_records(self, slot: SlotName) -> bool:
        """Return whether this instance may decide on unknown flows of a slot."""
        return slot in self._trusted

    def change_homes(self, is_home: Callable[[SlotName], bool]) -> None:
        """Note that homes moved; only slots that this instance is still home of stay trusted."""
        self._trusted = {slot for slot in self._trusted if is_home(slot)}
        self._asked = frozenset(slot for slot in self._asked if is_home(slot))

    def distrust_all(self) -> None:
        """Ask anew before any further decision on unknown flows."""
        self._trusted.clear()
        self._asked = frozenset()

    def yield_slots(self, slots: Iterable[SlotName]) -> None:
        """Note that a peer takes slots over; this instance asks before it decides on them again."""
        self._trusted.difference_update(slots)

    def hold(self, packet: PacketAtHand) -> bool:
        """Keep a packet until the question about its slot is answered.

        :returns: false when the queue is full.
        """
        if len(self._waiting) >= MAX_WAITING_PACKETS:
            return False
        self._waiting.append(packet)
        return True

    def refresh(self, questions: Iterable[SlotQuestion]) -> None:
        """Ask about slots again without a packet that waits."""
        self._refresh = list(questions)

    def start(self, peers: Sequence[InstanceId], now: float) -> list[SendToPeer]:
        """Ask the peers about the slots of the waiting packets, unless a question is open."""
        if self._deadline_s is not None:
            return []
        questions = self._collect_questions()
        if not questions:
            return []
        self._query += 1
        self._rounds += 1
        self._asked = frozenset(question.slot for question in questions)
        self._missing = set(peers)
        self._deadline_s = now + WAIT_S
        self._patience_until_s = now + PATIENCE_S
        self._message = FlowQuery(self._query, tuple(questions))
        return [SendToPeer(peer, self._message, Priority.SAFETY) for peer in peers]

    def remind(self, reacting: Iterable[InstanceId], now: float) -> list[SendToPeer]:
        """Ask the missing peers again that are alive; a guess could contradict their records.

        :param reacting: peers that membership and their signs of life show as alive.
        """
        if self._deadline_s is None or now < self._deadline_s or now >= self._patience_until_s:
            return []
        late = sorted(self._missing.intersection(reacting))
        if late:
            self._deadline_s = now + WAIT_S
        return [SendToPeer(peer, self._message, Priority.SAFETY) for peer in late]

    def receive(self, sender: InstanceId, answer: FlowAnswer) -> None:
        """Note a peer's answer; its content is taken by the caller."""
        if answer.query == self._query:
            self._missing.discard(sender)

    def finish(self, now: float) -> Sequence[PacketAtHand]:
        """End the open question if every peer answered or the time is up.

        :returns: the packets that waited for it.
        """
        if self._deadline_s is None or (self._missing and now < self._deadline_s):
            return ()
        self._unanswered += len(self._missing)
        self._deadline_s = None
        self._trusted |= self._asked
        ready = [packet for packet in self._waiting if packet.slot in self._asked]
        self._waiting = [packet for packet in self._waiting if packet.slot not in self._asked]
        return ready

    def _collect_questions(self) -> list[SlotQuestion]:
        questions = {
            packet.slot: SlotQuestion(packet.slot, packet.slots.base_name(packet.slot.slot))
            for packet in self._waiting
        }
        while self._refresh and len(questions) < MAX_SLOTS_PER_QUERY:
            question = self._refresh.pop()
            questions.setdefault(question.slot, question)
        return list(questions.values())[:MAX_SLOTS_PER_QUERY]


def create_take_over() -> TakeOver:
    """Create the state of an instance that trusts no slot yet."""
    return TakeOver()
