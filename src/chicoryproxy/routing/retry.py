"""Budget of openings that may be tried at a second upstream."""

from collections import deque

from msgspec import Struct

WINDOW_S = 10
RESERVE_RETRIES = 3


class _Second(Struct):
    at: int
    openings: int = 0
    retries: int = 0


class RetryBudget:
    """Allows retries as a share of the openings of the last ``WINDOW_S`` seconds.

    The budget follows the retry budgets of Twitter's Finagle (``com.twitter.finagle.service.
    RetryBudget``): each opening deposits a part of a token, each retry withdraws a token, and
    tokens lapse after a while. A share bounds the load that retries add to failing upstreams,
    where a count for each opening would multiply it.

    :param ratio: share of openings that may be tried again, at least zero.
    :param reserve: retries in a window that need no openings, so that a service with little
        traffic can retry at all; none when ``ratio`` is zero.
    """

    def __init__(self, ratio: float, reserve: int = RESERVE_RETRIES) -> None:
        self._ratio = ratio
        self._reserve = reserve if ratio > 0.0 else 0
        self._seconds: deque[_Second] = deque()
        self._openings = 0
        self._retries = 0

    def note_opening(self, now: float) -> None:
        """Count an opening that was sent to its first upstream."""
        self._enter_second(now).openings += 1
        self._openings += 1

    def allow_retry(self, now: float) -> bool:
        """Decide on a retry, and count it when it is allowed."""
        second = self._enter_second(now)
        if self._retries + 1 > self._reserve + self._ratio * self._openings:
            return False
        second.retries += 1
        self._retries += 1
        return True

    def _enter_second(self, now: float) -> _Second:
        at = int(now)
        while self._seconds and self._seconds[0].at <= at - WINDOW_S:
            lapsed = self._seconds.popleft()
            self._openings -= lapsed.openings
            self._retries -= lapsed.retries
        if not self._seconds or self._seconds[-1].at != at:
            self._seconds.append(_Second(at))
        return self._seconds[-1]


def create_retry_budget(ratio: float) -> RetryBudget:
    """Create the budget of one service from its ``retry_ratio``."""
    return RetryBudget(ratio)
