"""Detects from the times of responses that the upstreams are overloaded.

While queues are full, an upstream that works may accept no connection in time, so that timeouts say
less about it. Only responses that arrived are counted: an upstream that is down gives none, and
never makes the others look overloaded.

An overload replaces the bounds of ``reachability`` by the ``OVERLOAD_`` constants: a timeout has to
repeat for longer, and probes are rarer. Nothing else depends on it.
"""

from abc import ABC, abstractmethod

LATE_RESPONSE_S = 0.15
"""A response that takes longer has probably waited for a slot."""

LATE_TARGET_SHARE = 0.25
"""Share of a route's latency target up to which no response is late; the service may be slow."""

LATE_SHARE = 0.1
"""Share of late responses from which the upstreams count as overloaded. Overloaded upstreams reject
most requests at once, so that the late ones are a minority."""

HALF_LIFE_S = 1.0
"""Responses count half after this long; an overload is noticed and forgotten in about as long."""

MIN_RESPONSES = 3.0
"""With fewer recent responses than this, one slow request would look like an overload."""


OVERLOAD_CONFIRMATION_S = 2.0
"""Under overload an upstream has to time out and to answer nobody here for this long. A full queue
of connections drops opening segments until the upstream accepts the next one; a machine that is
down stays silent, and callers wait longer than this for their responses. An overload in which all
responses stop is remembered for as long."""


class OverloadDetector(ABC):
    """Tells whether the upstreams that this entry uses are overloaded."""

    @abstractmethod
    def record_response(
        self,
        duration_s: float,
        now: float,
        target_s: float | None = None,
        retransmission_age_s: float | None = None,
    ) -> None:
        """Record the time from a request to the first acknowledged byte of its response.

        :param target_s: time within which the route's callers want their responses, if known.
        :param retransmission_age_s: time since the last retransmission of the request, ``None`` if
            there was none.
        """

    @abstractmethod
    def is_overloaded(self, now: float) -> bool:
        """Return whether many responses have been late recently."""


class NoOverloadDetector(OverloadDetector):
    """Never detects an overload; for a monitor that sees no responses."""

    def record_response(
        self,
        duration_s: float,
        now: float,
        target_s: float | None = None,
        retransmission_age_s: float | None = None,
    ) -> None:
        """Do nothing."""

    def is_overloaded(self, now: float) -> bool:
        """Return False."""
        return False


class LateShare:
    """Decayed counts of the responses and of the late ones.

    :param half_life_s: time after which a response counts half.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._responses = 0.0
        self._late = 0.0
        self._updated_s = 0.0

    def record(
        self,
        duration_s: float,
        now: float,
        target_s: float | None = None,
        retransmission_age_s: float | None = None,
    ) -> None:
        """Record a response, unless the loss of a packet explains why it took longer.

        The parameters are those of ``OverloadDetector.record_response``.
        """
        late_s = max(LATE_RESPONSE_S, LATE_TARGET_SHARE * (target_s or 0.0))
        if retransmission_age_s is not None and retransmission_age_s <= late_s:
            return
        self._decay(now)
        self._responses += 1.0
        if duration_s > late_s:
            self._late += 1.0

    def compute(self, now: float) -> float | None:
        """Return the share of late responses, ``None`` if there are too few to judge by."""
        self._decay(now)
        if self._responses < MIN_RESPONSES:
            return None
        return self._late / self._responses

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._updated_s) / self._half_life_s)
        self._responses *= factor
        self._late *= factor
        self._updated_s = now


class LateResponseDetector(OverloadDetector):
    """Judges by the share of late responses."""

    def __init__(self) -> None:
        self._late_share = LateShare(HALF_LIFE_S)
        self._overloaded_s = float("-inf")

    def record_response(
        self,
        duration_s: float,
        now: float,
        target_s: float | None = None,
        retransmission_age_s: float | None = None,
    ) -> None:
        """Record a response, unless the loss of a packet explains why it took longer."""
        self._late_share.record(duration_s, now, target_s, retransmission_age_s)
        self.is_overloaded(now)

    def is_overloaded(self, now: float) -> bool:
        """Return whether many responses have been late recently."""
        late_share = self._late_share.compute(now)
        if late_share is None:
            # The worst overload leaves no responses to judge by.
            return now - self._overloaded_s < OVERLOAD_CONFIRMATION_S
        is_overloaded = late_share >= LATE_SHARE
        self._overloaded_s = now if is_overloaded else float("-inf")
        return is_overloaded


def create_overload_detector() -> OverloadDetector:
    """Create the overload detector of an entry."""
    return LateResponseDetector()
