"""Graceful leave of an instance: announces it to peers and waits for their acknowledgements."""

from collections.abc import Iterable

from chicoryproxy.control.membership import Membership
from chicoryproxy.control.outbox import Outbox
from chicoryproxy.ids import InstanceId
from chicoryproxy.model import Instance

LEAVING_TIMEOUT_S = 10.0
"""Maximum time that a leaving instance waits for its peers and the published list, in seconds."""

RETRY_INTERVAL_S = 0.5
PROBES_PER_ROUND = 16


class GracefulLeave:
    """Announces the leave to peers and tracks their acknowledgements.

    :param membership: provides the peers and sends the announcement.
    :param outbox: receives the log lines.
    """

    def __init__(self, membership: Membership, outbox: Outbox) -> None:
        self._membership = membership
        self._outbox = outbox
        self._began_at: float | None = None
        self._asked_at = 0.0
        self._numbers: set[int] = set()
        self._acked: set[InstanceId] = set()
        self._is_listed = True

    def begin(self, now: float) -> None:
        """Announce to the peers that this instance is leaving."""
        if self._began_at is not None:
            return
        self._began_at = now
        self._membership.announce_leaving()
        self._outbox.log("leaving", "announced to peers", self._membership.own.id)
        self._announce(now)

    def receive_list(self, instances: Iterable[Instance]) -> None:
        """Record whether the published list still shows this instance as in service."""
        own = self._membership.own.id
        self._is_listed = any(instance.id == own and not instance.leaving for instance in instances)

    def receive_ack(self, number: int, subject: InstanceId) -> None:
        """Record that a peer has acknowledged the announcement."""
        if number in self._numbers:
            self._acked.add(subject)

    def tick(self, now: float) -> None:
        """Repeat the announcement to peers that haven't acknowledged it."""
        if self._began_at is not None and now - self._asked_at >= RETRY_INTERVAL_S:
            self._announce(now)

    def is_complete(self, now: float) -> bool:
        """Return whether this instance may stop."""
        if self._began_at is None:
            return False
        is_known = not self._list_unacknowledged() and not self._is_listed
        return is_known or now - self._began_at >= LEAVING_TIMEOUT_S

    def _announce(self, now: float) -> None:
        self._asked_at = now
        for peer in self._membership.sample(self._list_unacknowledged(), PROBES_PER_ROUND):
            self._numbers.add(self._membership.send_own_state(peer))

    def _list_unacknowledged(self) -> list[InstanceId]:
        return [peer for peer in self._membership.list_reachable() if peer not in self._acked]
