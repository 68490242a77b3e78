"""Whether this instance's view may be old after a pause.

An instance whose view is stale states ``NO_VERSION`` to its peers, so that two instances that
woke up together don't confirm each other.
"""

from chicoryproxy.control.membership import Membership
from chicoryproxy.control.outbox import Outbox
from chicoryproxy.ids import NO_VERSION, InstanceId, Version
from chicoryproxy.model import FleetLimits

CONFIRMERS = 3
RETRY_S = 0.3


class Staleness:
    """Detects pauses by gaps between ticks and asks peers to confirm the view.

    :param membership: gives the peers to ask.
    :param outbox: takes the log lines.
    """

    def __init__(self, membership: Membership, outbox: Outbox) -> None:
        self._membership = membership
        self._outbox = outbox
        self._ticked_at: float | None = None
        self._woke_at: float | None = None
        self._asked_at = 0.0
        self._numbers: set[int] = set()
        self._is_answered = False

    @property
    def is_stale(self) -> bool:
        """True from a pause until a peer confirmed the view."""
        return self._woke_at is not None

    def note_time(self, limits: FleetLimits, now: float) -> None:
        """Detect a pause; every event looks for it, as those of the pause precede the tick."""
        gap = now - self._ticked_at if self._ticked_at is not None else 0.0
        if gap > limits.pause_s:
            self._ticked_at = now
            self._wake(gap, now)

    def tick(self, limits: FleetLimits, now: float) -> None:
        """Note the time and repeat requests for a confirmation."""
        self._ticked_at = now
        if self._woke_at is not None:
            self._wait(self._woke_at, limits, now)

    def receive_ack(self, number: int, subject: InstanceId, version: Version) -> None:
        """Take the answer of a peer to a probe that was sent after the pause."""
        if number not in self._numbers:
            return
        self._is_answered = True
        if version > NO_VERSION:
            self._end(f"confirmed by {subject}")

    def _wake(self, gap_s: float, now: float) -> None:
        self._outbox.log("pause", f"woke up after {gap_s:.1f} s", self._membership.own.id)
        self._membership.resume(gap_s)
        self._woke_at = now
        self._is_answered = False
        self._numbers.clear()
        self._ask(now)

    def _wait(self, woke_at: float, limits: FleetLimits, now: float) -> None:
        is_over = now - woke_at >= limits.spread_s
        if self._is_answered and is_over:
            self._end("peers that woke up as well answered")
        elif is_over and not self._membership.list_reachable():
            self._end("no peer is left to ask")
        elif now - self._asked_at >= RETRY_S:
            self._ask(now)

    def _ask(self, now: float) -> None:
        self._asked_at = now
        for peer in self._membership.draw_reachable(CONFIRMERS):
            self._numbers.add(self._membership.send_probe(peer))

    def _end(self, why: str) -> None:
        self._woke_at = None
        self._numbers.clear()
        self._outbox.log("pause", f"view is fresh again, {why}", self._membership.own.id)
