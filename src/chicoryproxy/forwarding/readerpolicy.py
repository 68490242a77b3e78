"""Which entries read the platform's store.

A reader of each failure domain follows the store; the others learn from heartbeats. An entry whose
view nobody has confirmed for a while reads for itself.
"""

from chicoryproxy.forwarding.peering import PeerGroup

READERS_PER_DOMAIN = 1
"""Readers of each failure domain."""

WAIT_SHARE = 0.45
"""Share of the bound of a change for which the store may hold a watch."""

AGE_SHARE = 0.7
"""Share of that bound after which an entry reads although it is no reader."""

NO_PEER_WAIT_S = 1.0
"""How long the store may hold the watch of an entry that hears no peer."""

PEER_SILENCE_S = 1.5
"""An entry that heard no heartbeat for this long reads for itself."""


class ReaderPolicy:
    """Decides whether this entry reads the store.

    :param config_apply_s: bound of a change of the configuration, in seconds.
    :param started_s: time of the start.
    """

    def __init__(self, peers: PeerGroup, config_apply_s: float, started_s: float) -> None:
        self._peers = peers
        self.set_bound(config_apply_s)
        self._last_heard_s = started_s

    def set_bound(self, config_apply_s: float) -> None:
        """Take the bound of a change of the configuration, in seconds."""
        self._wait_s = config_apply_s * WAIT_SHARE
        self._max_age_s = config_apply_s * AGE_SHARE

    def is_overdue(self, now: float) -> bool:
        """Tell whether the readers are silent about the store for longer than they should be."""
        return self._peers.get_age(now) > self._max_age_s

    def record_heartbeat(self, now: float) -> None:
        """Note that a peer was heard."""
        self._last_heard_s = now

    def should_read(self, now: float) -> bool:
        """Tell whether this entry reads the store now."""
        if self._hears_no_peer(now):
            return True
        if (
            not self._peers.is_discovering(now)
            and self._peers.get_reader_rank(now) < READERS_PER_DOMAIN
        ):
            return True
        return self.is_overdue(now)

    def get_wait_s(self, now: float) -> float:
        """Return how long a watch may wait, in seconds."""
        return NO_PEER_WAIT_S if self._hears_no_peer(now) else self._wait_s

    def _hears_no_peer(self, now: float) -> bool:
        return now - self._last_heard_s > PEER_SILENCE_S
