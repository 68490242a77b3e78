"""Token bucket that bounds the control traffic of one instance."""

from msgspec import Struct

from chicoryproxy.protocol.messages import Priority

BURST_S = 1.0
"""Time whose bytes the bucket holds when full, and the largest debt, in seconds."""

HINT_RESERVE_RATIO = 0.5
HANDOVER_RESERVE_RATIO = 0.25
MEMBERSHIP_RESERVE_RATIO = 0.0

_RESERVE_RATIOS = {
    Priority.HINT: HINT_RESERVE_RATIO,
    Priority.HANDOVER: HANDOVER_RESERVE_RATIO,
    Priority.MEMBERSHIP: MEMBERSHIP_RESERVE_RATIO,
}


class BudgetCount(Struct, frozen=True):
    """Counters of one priority since the start.

    :param messages: messages that were allowed.
    :param size: their bytes.
    :param refused: messages that were held back.
    """

    priority: Priority
    messages: int
    size: int
    refused: int


class ControlBudget:
    """A token bucket of control bytes per second with priorities.

    ``HINT`` needs the fullest bucket and so is left out first. ``SAFETY`` is never held back: it
    may drive the bucket into debt, by one burst at most, so that a large message doesn't silence
    the lower priorities for long.

    :param bytes_per_s: rate at which the bucket fills.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._rate = bytes_per_s
        self._tokens = self._burst
        self._refilled_at: float | None = None
        self._messages = dict.fromkeys(Priority, 0)
        self._sizes = dict.fromkeys(Priority, 0)
        self._refused = dict.fromkeys(Priority, 0)

    @property
    def _burst(self) -> float:
        return self._rate * BURST_S

    def set_rate(self, bytes_per_s: float) -> None:
        """Change the rate; tokens above the new burst are lost."""
        self._rate = bytes_per_s
        self._tokens = min(self._tokens, self._burst)

    def get_available_bytes(self, priority: Priority, now: float) -> float:
        """Return the bytes that a priority may send now; zero or less when it may send none."""
        self._refill(now)
        if priority is Priority.SAFETY:
            return self._burst
        return self._tokens - _RESERVE_RATIOS[priority] * self._burst

    def allow(self, priority: Priority, size: int, now: float) -> bool:
        """Take the bytes of a message from the bucket if its priority permits.

        :param size: bytes of the message on the wire.
        :param now: time in seconds.
        :returns: false when the message has to be left out.
        """
        if priority is not Priority.SAFETY and self.get_available_bytes(priority, now) < size:
            self._refused[priority] += 1
            return False
        self.charge(priority, size, now)
        return True

    def charge(self, priority: Priority, size: int, now: float) -> None:
        """Take the bytes of a message that is sent in any case."""
        self._refill(now)
        self._tokens = max(self._tokens - size, -self._burst)
        self._messages[priority] += 1
        self._sizes[priority] += size

    def count(self) -> tuple[BudgetCount, ...]:
        """Return the counters of every priority."""
        return tuple(
            BudgetCount(
                priority, self._messages[priority], self._sizes[priority], self._refused[priority]
            )
            for priority in Priority
        )

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None and now > self._refilled_at:
            gained = (now - self._refilled_at) * self._rate
            self._tokens = min(self._tokens + gained, self._burst)
        if self._refilled_at is None or now > self._refilled_at:
            self._refilled_at = now
