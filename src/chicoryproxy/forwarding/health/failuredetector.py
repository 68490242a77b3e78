"""Passive failure detection from the packets of callers.

A retransmitted opening or request counts as a failure of its upstream, and any answer clears the
failures. A suspected upstream gets no openings for a backoff time; then it is tried again (a
circuit breaker with exponential backoff).
"""

from chicoryproxy.forwarding.view.lifetime import Lifetime

SUSPICION_FAILURES = 2
BACKOFF_MIN_S = 1.0
BACKOFF_MAX_S = 8.0
FAILURE_MEMORY_S = 3.0
"""Failures further apart than this are not added up."""

RETENTION_S = 60.0


class FailureRecord:
    """Failures of one upstream since its last answer.

    :ivar suspected_until_s: no openings go there before this time.
    """

    __slots__ = ("failures", "failed_s", "backoff_s", "suspected_until_s")

    def __init__(self) -> None:
        self.failures = 0
        self.failed_s = float("-inf")
        self.backoff_s = 0.0
        self.suspected_until_s = float("-inf")

    def is_stale(self, now: float) -> bool:
        """Return whether the last failure is too old to count together with a new one."""
        return now - self.failed_s > max(FAILURE_MEMORY_S, self.backoff_s * 2)


class FailureDetector:
    """Failure records of the upstreams that failed recently."""

    def __init__(self) -> None:
        self._records: dict[Lifetime, FailureRecord] = {}

    def record_answer(self, upstream: Lifetime) -> None:
        """Record an answer of an upstream, which clears its failures."""
        self._records.pop(upstream, None)

    def record_failure(self, upstream: Lifetime, now: float) -> bool:
        """Record that an upstream did not answer in time.

        :returns: True if the upstream became suspected.
        """
        record = self._records.get(upstream)
        if record is None:
            record = self._records[upstream] = FailureRecord()
        if record.is_stale(now):
            record = self._records[upstream] = FailureRecord()
        record.failures += 1
        record.failed_s = now
        if record.failures < SUSPICION_FAILURES or now < record.suspected_until_s:
            return False
        record.backoff_s = min(BACKOFF_MAX_S, max(BACKOFF_MIN_S, record.backoff_s * 2))
        record.suspected_until_s = now + record.backoff_s
        return True

    def is_suspected(self, upstream: Lifetime, now: float) -> bool:
        """Return whether openings should avoid an upstream."""
        record = self._records.get(upstream)
        return record is not None and now < record.suspected_until_s

    def get_failures(self, upstream: Lifetime) -> int:
        """Return the number of failures since the last answer."""
        record = self._records.get(upstream)
        return record.failures if record else 0

    def expire(self, now: float) -> None:
        """Discard records without recent failures; most of their upstreams have ended."""
        for upstream, record in list(self._records.items()):
            if now - record.failed_s > RETENTION_S:
                del self._records[upstream]
