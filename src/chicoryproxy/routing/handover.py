"""Acknowledged delivery of records and releases to successors, and the graceful shutdown."""

from collections.abc import Iterable, Mapping, Sequence

from chicoryproxy.ids import InstanceId
from chicoryproxy.protocol.actions import SendToPeer
from chicoryproxy.protocol.messages import (
    FlowRecord,
    Handover,
    LeavingNotice,
    Priority,
    SlotRelease,
)
from chicoryproxy.routing.requestnumber import next_request_number

RESEND_S = 0.5
MAX_RECORDS_PER_MESSAGE = 36
MAX_RELEASES_PER_MESSAGE = 24


class HandoverQueue:
    """Resends records and releases until the receiver has acknowledged them."""

    def __init__(self) -> None:
        self._number = 0
        self._unacknowledged: dict[int, SendToPeer] = {}
        self._next_send_s = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether every message has been acknowledged."""
        return not self._unacknowledged

    def add(
        self,
        successor: InstanceId,
        records: Sequence[FlowRecord],
        releases: Sequence[SlotRelease],
        now: float,
    ) -> list[SendToPeer]:
        """Queue records and releases for a successor.

        :returns: the messages to send now.
        """
        actions = []
        for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
            record_batch = tuple(records[start : start + MAX_RECORDS_PER_MESSAGE])
            actions.append(self._enqueue(successor, record_batch, (), now))
        for start in range(0, len(releases), MAX_RELEASES_PER_MESSAGE):
            release_batch = tuple(releases[start : start + MAX_RELEASES_PER_MESSAGE])
            actions.append(self._enqueue(successor, (), release_batch, now))
        return actions

    def acknowledge(self, number: int, sender: InstanceId) -> Sequence[SlotRelease]:
        """Process an acknowledgement.

        :returns: the releases that the successor has now received.
        """
        action = self._unacknowledged.get(number)
        if action is None or action.instance != sender:
            return ()
        del self._unacknowledged[number]
        message = action.message
        return message.releases if isinstance(message, Handover) else ()

    def retain_peers(self, answering: Iterable[InstanceId]) -> None:
        """Discard unacknowledged messages to all peers except those that can still answer."""
        retained = set(answering)
        self._unacknowledged = {
            number: action
            for number, action in self._unacknowledged.items()
            if action.instance in retained
        }

    def tick(self, now: float) -> list[SendToPeer]:
        """Return the messages that are due to be resent."""
        if now < self._next_send_s:
            return []
        self._next_send_s = now + RESEND_S
        return list(self._unacknowledged.values())

    def _enqueue(
        self,
        successor: InstanceId,
        records: tuple[FlowRecord, ...],
        releases: tuple[SlotRelease, ...],
        now: float,
    ) -> SendToPeer:
        self._number = next_request_number(self._number, now)
        message = Handover(self._number, records, releases)
        action = SendToPeer(successor, message, Priority.HANDOVER)
        self._unacknowledged[self._number] = action
        return action


class LeavingEntry:
    """Sends a leaving notice until each peer has acknowledged it.

    :param own: id of this instance.
    :param queue: holds the records and releases that are handed over.
    """

    def __init__(self, own: InstanceId, queue: HandoverQueue) -> None:
        self._own = own
        self._queue = queue
        self._is_leaving = False
        self._unnotified_peers: set[InstanceId] = set()
        self._next_send_s = 0.0

    @property
    def is_leaving(self) -> bool:
        """Whether the shutdown has begun."""
        return self._is_leaving

    @property
    def is_done(self) -> bool:
        """Whether every peer has acknowledged the notice and the handover is complete."""
        return self._is_leaving and not self._unnotified_peers and self._queue.is_empty

    def begin(
        self,
        peers: Iterable[InstanceId],
        records: Mapping[InstanceId, Sequence[FlowRecord]],
        releases: Mapping[InstanceId, Sequence[SlotRelease]],
        now: float,
    ) -> list[SendToPeer]:
        """Begin the shutdown.

        :param peers: peers to notify.
        :param records: records of contested slots, by the instance that becomes their home.
        :param releases: releases of slots, by the instance that becomes their home.
        """
        self._is_leaving = True
        self._unnotified_peers = set(peers)
        actions = []
        for successor in sorted({*records, *releases}):
            pending_releases = releases.get(successor, ())
            pending_records = records.get(successor, ())
            actions += self._queue.add(successor, pending_records, pending_releases, now)
        return actions

    def acknowledge_notice(self, peer: InstanceId) -> None:
        """Process a peer's acknowledgement of the notice."""
        self._unnotified_peers.discard(peer)

    def retain_peers(self, answering: Iterable[InstanceId]) -> None:
        """Stop waiting for all peers except those that can still answer."""
        self._unnotified_peers.intersection_update(answering)

    def tick(self, now: float) -> list[SendToPeer]:
        """Return the notices that are due to be sent or resent."""
        if not self._is_leaving or now < self._next_send_s:
            return []
        self._next_send_s = now + RESEND_S
        notice = LeavingNotice(self._own)
        return [
            SendToPeer(peer, notice, Priority.SAFETY) for peer in sorted(self._unnotified_peers)
        ]


def create_handover_queue() -> HandoverQueue:
    """Create an empty handover queue."""
    return HandoverQueue()


def create_leaving_entry(own: InstanceId, queue: HandoverQueue) -> LeavingEntry:
    """Create the state of an entry that is not leaving."""
    return LeavingEntry(own, queue)
