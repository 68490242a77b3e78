"""Token bucket that limits the control traffic of one instance."""

from msgspec import Struct

from chicoryproxy.protocol.messages import Priority

BURST_S = 1.0
"""Capacity of the bucket and its maximum debt, as seconds of traffic at the configured rate."""

# Share of the bucket's capacity that messages of a priority must leave in it.
HINT_RESERVE_RATIO = 0.5
HANDOVER_RESERVE_RATIO = 0.25
MEMBERSHIP_RESERVE_RATIO = 0.0

_RESERVE_RATIOS = {
    Priority.HINT: HINT_RESERVE_RATIO,
    Priority.HANDOVER: HANDOVER_RESERVE_RATIO,
    Priority.MEMBERSHIP: MEMBERSHIP_RESERVE_RATIO,
}


class BudgetCount(Struct, frozen=True):
    """Counters of one priority since the start of the process.

    :param messages: number of messages that were allowed.
    :param size: total size of the allowed messages in bytes.
    :param refused: number of messages that were refused.
    """

    priority: Priority
    messages: int
    size: int
    refused: int


class ControlBudget:
    """A token bucket with priorities, whose tokens are bytes of control traffic.

    ``HINT`` has the largest reserve, so it is refused first. ``SAFETY`` is never refused: it may
    drive the bucket into debt. The debt is limited to one burst, so that a large message doesn't
    block the lower priorities for long.

    :param bytes_per_s: refill rate of the bucket.
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
        """Change the refill rate; tokens above the new capacity are discarded."""
        self._rate = bytes_per_s
        self._tokens = min(self._tokens, self._burst)

    def get_available_bytes(self, priority: Priority, now: float) -> float:
        """Return how many bytes a priority may send now; zero or negative if it may send none."""
        self._refill(now)
        if priority is Priority.SAFETY:
            return self._burst
        return self._tokens - _RESERVE_RATIOS[priority] * self._burst

    def allow(self, priority: Priority, size: int, now: float) -> bool:
        """Take the tokens for a message if its priority has enough of them.

        :param size: size of the message on the wire, in bytes.
        :param now: current time in seconds.
        :returns: whether the message may be sent.
        """
        if priority is not Priority.SAFETY and self.get_available_bytes(priority, now) < size:
            self._refused[priority] += 1
            return False
        self.charge(priority, size, now)
        return True

    def charge(self, priority: Priority, size: int, now: float) -> None:
        """Take the tokens for a message that is sent regardless of the budget."""
        self._refill(now)
        self._tokens = max(self._tokens - size, -self._burst)
        self._messages[priority] += 1
        self._sizes[priority] += size

    def get_counts(self) -> tuple[BudgetCount, ...]:
        """Return the counters of all priorities."""
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
