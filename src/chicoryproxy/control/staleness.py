"""Detects that this instance's view may be outdated after a pause of the process.

A peer confirms the view by the version that it reports, once this instance has that version. An
instance with a stale view reports ``NO_VERSION`` to its peers, so that two instances resumed at
the same time don't confirm each other's view.
"""

from chicoryproxy.control.membership import Membership
from chicoryproxy.control.outbox import Outbox
from chicoryproxy.control.versions import VersionStore
from chicoryproxy.ids import NO_VERSION, InstanceId, Version
from chicoryproxy.model import FleetLimits

CONFIRMATION_FAN_OUT = 3
RETRY_INTERVAL_S = 0.3


class StalenessDetector:
    """Detects pauses from gaps between ticks and has peers confirm the view.

    :param membership: provides the peers to probe.
    :param versions: holds the active version.
    :param outbox: receives the log lines.
    """

    def __init__(self, membership: Membership, versions: VersionStore, outbox: Outbox) -> None:
        self._membership = membership
        self._versions = versions
        self._outbox = outbox
        self._ticked_at: float | None = None
        self._resumed_at: float | None = None
        self._asked_at = 0.0
        self._numbers: set[int] = set()
        self._is_answered = False
        self._confirming: tuple[Version, InstanceId] | None = None

    @property
    def is_stale(self) -> bool:
        """True from the end of a pause until the view is confirmed."""
        return self._resumed_at is not None

    def detect_pause(self, limits: FleetLimits, now: float) -> None:
        """Detect a pause; called on every event, as queued events precede the first tick."""
        gap = now - self._ticked_at if self._ticked_at is not None else 0.0
        if gap > limits.pause_s:
            self._ticked_at = now
            self._start_confirming(gap, now)

    def tick(self, limits: FleetLimits, now: float) -> None:
        """Record the time and repeat unanswered probes."""
        self._ticked_at = now
        if self._resumed_at is not None:
            self._check_confirmation(self._resumed_at, limits, now)

    def receive_ack(self, number: int, subject: InstanceId, version: Version) -> None:
        """Handle an answer; only probes sent since the pause count."""
        if number not in self._numbers:
            return
        self._is_answered = True
        if version > NO_VERSION:
            self._confirming = max(self._confirming or (version, subject), (version, subject))
            self.check_version()

    def check_version(self) -> None:
        """End the wait once the version of a peer that is not stale is active here."""
        if self._confirming is None:
            return
        version, peer = self._confirming
        if self._versions.version >= version:
            self._finish(f"confirmed by {peer}")

    def _start_confirming(self, gap_s: float, now: float) -> None:
        self._outbox.log(
            "pause", f"resumed after a pause of {gap_s:.1f} s", self._membership.own.id
        )
        self._membership.extend_suspicions(gap_s)
        self._resumed_at = now
        self._is_answered = False
        self._confirming = None
        self._numbers.clear()
        self._send_probes(now)

    def _check_confirmation(self, resumed_at: float, limits: FleetLimits, now: float) -> None:
        is_over = now - resumed_at >= limits.spread_s
        if self._confirming is not None and is_over:
            self._finish("the version of the peers could not be fetched")
        elif self._is_answered and is_over:
            self._finish("only peers with a stale view answered")
        elif is_over and not self._membership.list_reachable():
            self._finish("no peer is reachable")
        elif now - self._asked_at >= RETRY_INTERVAL_S:
            self._send_probes(now)

    def _send_probes(self, now: float) -> None:
        self._asked_at = now
        for peer in self._membership.sample_reachable(CONFIRMATION_FAN_OUT):
            self._numbers.add(self._membership.send_probe(peer))

    def _finish(self, reason: str) -> None:
        self._resumed_at = None
        self._confirming = None
        self._numbers.clear()
        self._outbox.log("pause", f"view is no longer stale: {reason}", self._membership.own.id)
