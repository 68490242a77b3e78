"""Questions of a new home to its peers about the flows of its slots.

Until the peers have answered, packets of flows that the home does not know wait in a bounded
queue.
"""

from collections.abc import Iterable, Sequence

from msgspec import Struct

from chicoryproxy.actions import SendToPeer
from chicoryproxy.ids import InstanceId
from chicoryproxy.messages import FlowAnswer, FlowQuery, Priority, SlotName
from chicoryproxy.route import PacketAtHand

WAIT_S = 0.05
MAX_WAITING_PACKETS = 4096


class TakeOverCount(Struct, frozen=True):
    """Counters since the start.

    :param rounds: questions asked.
    :param unanswered: peers that did not answer in time.
    """

    rounds: int
    unanswered: int


class TakeOver:
    """Keeps for which slots this instance knows all records.

    One question to every peer covers all slots that this instance is home of. A slot is trusted
    when a question was answered since this instance became its home, or when it was home already
    as the slot became contested.
    """

    def __init__(self) -> None:
        self._trusted: set[SlotName] = set()
        self._is_current = False
        self._query = 0
        self._missing: set[InstanceId] = set()
        self._deadline_s: float | None = None
        self._waiting: list[PacketAtHand] = []
        self._rounds = 0
        self._unanswered = 0

    @property
    def is_running(self) -> bool:
        """Whether a question is open."""
        return self._deadline_s is not None

    def count(self) -> TakeOverCount:
        """Return the counters."""
        return TakeOverCount(self._rounds, self._unanswered)

    def trust(self, slots: Iterable[SlotName]) -> None:
        """Note slots that this instance was home of as they became contested."""
        self._trusted.update(slots)

    def has_all_records(self, slot: SlotName) -> bool:
        """Return whether this instance may decide on unknown flows of a slot."""
        return self._is_current or slot in self._trusted

    def change_homes(self, kept: Iterable[SlotName]) -> None:
        """Note that homes moved.

        :param kept: contested slots that this instance was home of and still is.
        """
        if self._is_current:
            self._trusted = set(kept)
        else:
            self._trusted.intersection_update(kept)
        self._is_current = False

    def distrust_all(self) -> None:
        """Ask anew before any further decision on unknown flows."""
        self._trusted.clear()
        self._is_current = False

    def hold(self, packet: PacketAtHand) -> bool:
        """Keep a packet until the open question is answered.

        :returns: false when the queue is full.
        """
        if len(self._waiting) >= MAX_WAITING_PACKETS:
            return False
        self._waiting.append(packet)
        return True

    def start(self, peers: Sequence[InstanceId], now: float) -> list[SendToPeer]:
        """Ask the peers, unless a question is open."""
        if self.is_running:
            return []
        self._query += 1
        self._rounds += 1
        self._missing = set(peers)
        self._deadline_s = now + WAIT_S
        query = FlowQuery(self._query, ())
        return [SendToPeer(peer, query, Priority.SAFETY) for peer in peers]

    def receive(self, sender: InstanceId, answer: FlowAnswer) -> None:
        """Note a peer's answer; its records are taken by the caller."""
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
        self._is_current = True
        waiting, self._waiting = self._waiting, []
        return waiting


def create_take_over() -> TakeOver:
    """Create the state of an instance that trusts no slot yet."""
    return TakeOver()
