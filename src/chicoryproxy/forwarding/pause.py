"""Notices that this process stood still, so that its view may be old without a sign of it.

A process that was frozen or suspended goes on as if no time had passed: the next packet would be
decided by a view from before. Openings wait until the view is confirmed, but not for long: an entry
that is cut off goes on with what it knows.
"""

from enum import Enum, unique

PAUSE_S = 0.8
"""Gap between two ticks that counts as a pause; ticks come every few hundredths of a second."""

MAX_UNCONFIRMED_S = 1.0
"""Longest time that openings wait for a confirmation."""


@unique
class PauseEvent(Enum):
    """What a tick has shown."""

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
        self._seen_s = now
        self._paused_s = now

    def is_late(self, now: float) -> bool:
        """Tell whether a pause has just ended that no tick has noticed yet."""
        return now - self._seen_s > PAUSE_S

    def tick(self, is_confirmed: bool, now: float) -> PauseEvent:
        """Note that the process runs.

        :param is_confirmed: the view was confirmed since the last pause.
        """
        is_late = self.is_late(now)
        self._seen_s = now
        if is_late:
            self.is_unconfirmed = True
            self._paused_s = now
            return PauseEvent.PAUSED
        if not self.is_unconfirmed:
            return PauseEvent.NONE
        if is_confirmed:
            self.is_unconfirmed = False
            return PauseEvent.CONFIRMED
        if now - self._paused_s > MAX_UNCONFIRMED_S:
            self.is_unconfirmed = False
            return PauseEvent.GIVEN_UP
        return PauseEvent.NONE
