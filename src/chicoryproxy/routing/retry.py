"""Budget for retries of openings at another upstream."""

from collections import deque

from msgspec import Struct

WINDOW_S = 10
MIN_RETRIES_PER_WINDOW = 3


class _Bucket(Struct):
    second: int
    openings: int = 0
    retries: int = 0


class RetryBudget:
    """Limits retries to a share of the openings of the last ``WINDOW_S`` seconds.

    The budget follows Twitter's Finagle (``com.twitter.finagle.service.RetryBudget``): each
    opening deposits a fraction of a token, each retry withdraws one token, and tokens expire. A
    share bounds the load that retries add to failing upstreams, whereas a number of retries per
    opening would multiply it.

    :param ratio: share of openings that may be retried, not negative.
    :param reserve: retries per window that are allowed regardless of openings, so that a service
        with little traffic can retry; not used if ``ratio`` is zero.
    """

    def __init__(self, ratio: float, reserve: int = MIN_RETRIES_PER_WINDOW) -> None:
        self._ratio = ratio
        self._reserve = reserve if ratio > 0.0 else 0
        self._buckets: deque[_Bucket] = deque()
        self._openings = 0
        self._retries = 0

    def record_opening(self, now: float) -> None:
        """Count an opening that was sent to an upstream for the first time."""
        self._current_bucket(now).openings += 1
        self._openings += 1

    def allow_retry(self, now: float) -> bool:
        """Return whether a retry is within the budget, and count it if so."""
        bucket = self._current_bucket(now)
        if self._retries + 1 > self._reserve + self._ratio * self._openings:
            return False
        bucket.retries += 1
        self._retries += 1
        return True

    def _current_bucket(self, now: float) -> _Bucket:
        second = int(now)
        while self._buckets and self._buckets[0].second <= second - WINDOW_S:
            expired = self._buckets.popleft()
            self._openings -= expired.openings
            self._retries -= expired.retries
        if not self._buckets or self._buckets[-1].second != second:
            self._buckets.append(_Bucket(second))
        return self._buckets[-1]


def create_retry_budget(ratio: float) -> RetryBudget:
    """Create the retry budget of one service from its ``retry_ratio``."""
    return RetryBudget(ratio)
