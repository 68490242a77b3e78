"""The graceful stop of an entry: its notice to the peers and the records of its slots."""

from collections.abc import Iterable, Mapping, Sequence

from chicoryproxy.actions import SendToPeer
from chicoryproxy.ids import InstanceId
from chicoryproxy.messages import FlowRecord, Handover, LeavingNotice, Priority

RESEND_S = 0.5
MAX_RECORDS_PER_MESSAGE = 36


class LeavingEntry:
    """Sends a leaving notice and all records until each receiver has acknowledged them.

    :param own: id of this instance.
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._is_leaving = False
        self._unnoticed: set[InstanceId] = set()
        self._unacknowledged: dict[int, SendToPeer] = {}
        self._next_send_s = 0.0

    @property
    def is_leaving(self) -> bool:
        """Whether the stop has begun."""
        return self._is_leaving

    @property
    def is_done(self) -> bool:
        """Whether every receiver has acknowledged."""
        return self._is_leaving and not self._unnoticed and not self._unacknowledged

    def begin(
        self,
        peers: Iterable[InstanceId],
        records: Mapping[InstanceId, Sequence[FlowRecord]],
    ) -> None:
        """Begin the stop.

        :param peers: peers to tell.
        :param records: records of contested slots by the instance that is their home from now on.
        """
        self._is_leaving = True
        self._unnoticed = set(peers)
        number = 0
        for successor, items in records.items():
            for start in range(0, len(items), MAX_RECORDS_PER_MESSAGE):
                number += 1
                batch = tuple(items[start : start + MAX_RECORDS_PER_MESSAGE])
                self._unacknowledged[number] = SendToPeer(
                    successor, Handover(number, batch), Priority.HANDOVER
                )

    def note_noticed(self, peer: InstanceId) -> None:
        """Take a peer's acknowledgement of the notice."""
        self._unnoticed.discard(peer)

    def note_acknowledged(self, number: int) -> None:
        """Take a successor's acknowledgement of records."""
        self._unacknowledged.pop(number, None)

    def drop_peers(self, answering: Iterable[InstanceId]) -> None:
        """Give up waiting for peers that can't answer any more."""
        kept = set(answering)
        self._unnoticed &= kept
        self._unacknowledged = {
            number: action
            for number, action in self._unacknowledged.items()
            if action.instance in kept
        }

    def tick(self, now: float) -> list[SendToPeer]:
        """Return what has to be sent, or sent again, now."""
        if not self._is_leaving or now < self._next_send_s:
            return []
        self._next_send_s = now + RESEND_S
        notice = LeavingNotice(self._own)
        notices = [SendToPeer(peer, notice, Priority.SAFETY) for peer in sorted(self._unnoticed)]
        return notices + list(self._unacknowledged.values())


def create_leaving_entry(own: InstanceId) -> LeavingEntry:
    """Create the state of an entry that is not leaving."""
    return LeavingEntry(own)
