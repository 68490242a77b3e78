"""Detects that this process was suspended, so that its view may be stale.

A process that was frozen or suspended continues as if no time had passed, and would handle the next
packet with its old view. Openings wait until the view is confirmed, but only for a limited time: an
entry that can't reach the store or its peers continues with the view that it has.
"""

from enum import Enum, unique

PAUSE_S = 0.8
"""Gap between ticks that counts as a pause; normally they are some hundredths of a second apart."""

MAX_UNCONFIRMED_S = 1.0
"""Maximum time for which openings wait for a confirmation."""


@unique
class PauseEvent(Enum):
    """Result of a tick."""

    NONE = "none"
    PAUSED = "paused"
    CONFIRMED = "confirmed"
    GIVEN_UP = "given_up"


class PauseDetector:
    """Compares the times of ticks and packets.

    :param now: time of the start.

    :ivar is_unconfirmed: the view has not been confirmed since a pause.
    """

    def __init__(self, now: float) -> None:
        self.is_unconfirmed = False
        self._last_tick_s = now
        self._pause_detected_s = now

    def is_late(self, now: float) -> bool:
        """Return whether a pause has just ended that no tick has detected yet."""
        return now - self._last_tick_s > PAUSE_S

    def tick(self, is_confirmed: bool, now: float) -> PauseEvent:
        """Record that the process is running.

        :param is_confirmed: the view was confirmed since the last pause.
        """
        is_late = self.is_late(now)
        self._last_tick_s = now
        if is_late:
            self.is_unconfirmed = True
            self._pause_detected_s = now
            return PauseEvent.PAUSED
        if not self.is_unconfirmed:
            return PauseEvent.NONE
        if is_confirmed:
            self.is_unconfirmed = False
            return PauseEvent.CONFIRMED
        if now - self._pause_detected_s > MAX_UNCONFIRMED_S:
            self.is_unconfirmed = False
            return PauseEvent.GIVEN_UP
        return PauseEvent.NONE
