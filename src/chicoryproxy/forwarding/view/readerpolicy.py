"""Decides which entries read the platform's store.

One reader per failure domain watches the store; the others learn of changes from heartbeats. An
entry whose view was not confirmed for some time, or that does not get a change that its peers have,
reads the store itself.
"""

from chicoryproxy.forwarding.model import NO_REVISION, Revision
from chicoryproxy.forwarding.peers.peering import PeerGroup

READERS_PER_DOMAIN = 1
"""Number of readers in each failure domain."""

WAIT_SHARE = 0.45
"""Maximum wait of a watch at the store, as a share of the time limit for applying changes."""

PROOF_SHARE = 0.45
"""Interval at which a reader checks that its watch misses nothing, as a share of that limit. The
rest is for the listing that may follow, and for passing it on."""

AGE_SHARE = 0.7
"""Age of the view from which an entry that is not a reader reads, as a share of that limit."""

NO_PEER_WAIT_S = 1.0
"""Maximum wait of a watch for an entry that gets no heartbeats."""

PEER_SILENCE_S = 1.5
"""An entry that got no heartbeat for this long reads the store itself."""

MAX_BEHIND_S = 0.8
"""An entry that lacks a change for this long, although it asked peers for it, reads the store.
Slow peers may announce a change and be too slow to pass it on."""


class ReaderPolicy:
    """Decides whether this entry reads the store.

    :param config_apply_s: time limit for applying a configuration change, in seconds.
    :param started_s: time of the start.

    :ivar max_age_s: age from which a view is overdue, in seconds.
    """

    def __init__(self, peers: PeerGroup, config_apply_s: float, started_s: float) -> None:
        self._peers = peers
        self.set_config_apply_s(config_apply_s)
        self._last_heard_s = started_s
        self._synced = NO_REVISION
        self._missing = NO_REVISION
        self._missing_since_s = started_s

    def set_config_apply_s(self, config_apply_s: float) -> None:
        """Set the time limit for applying a configuration change, in seconds."""
        self._wait_s = config_apply_s * WAIT_SHARE
        self._proof_interval_s = config_apply_s * PROOF_SHARE
        self.max_age_s = config_apply_s * AGE_SHARE

    @property
    def is_behind(self) -> bool:
        """True if a peer reports a newer revision than this entry knows."""
        return self._synced < self._missing

    def is_overdue(self, now: float) -> bool:
        """Return whether the view was not confirmed for longer than the readers should take."""
        return self._peers.get_age(now) > self.max_age_s

    def record_heartbeat(self, now: float) -> None:
        """Record that a heartbeat arrived."""
        self._last_heard_s = now

    def record_progress(self, synced: Revision, newest: Revision, now: float) -> None:
        """Record up to which revision this entry knows all changes.

        :param newest: newest revision that a peer reports.
        """
        self._synced = synced
        if synced >= self._missing:
            self._missing = newest
            self._missing_since_s = now

    def should_read(self, now: float) -> bool:
        """Return whether this entry should read the store now."""
        if self._hears_no_peer(now):
            return True
        if (
            not self._peers.is_discovering(now)
            and self._peers.get_reader_rank(now) < READERS_PER_DOMAIN
        ):
            return True
        return self.is_urgent(now)

    def is_urgent(self, now: float) -> bool:
        """Return whether the view may be outdated, so that a read must not hang unnoticed."""
        return self.is_overdue(now) or self._lags(now)

    def get_max_wait_s(self, now: float) -> float:
        """Return the maximum wait of a watch, in seconds."""
        return NO_PEER_WAIT_S if self._hears_no_peer(now) else self._wait_s

    def get_proof_interval_s(self) -> float:
        """Return the interval, in seconds, at which to check that watches miss nothing."""
        return self._proof_interval_s

    def _lags(self, now: float) -> bool:
        return self.is_behind and now - self._missing_since_s > MAX_BEHIND_S

    def _hears_no_peer(self, now: float) -> bool:
        return now - self._last_heard_s > PEER_SILENCE_S
